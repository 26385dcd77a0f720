"""Datagrams by which the leader tells all daemons of ownership that it has appended to the log."""

from __future__ import annotations

import dataclasses
import json
import zlib

from fuchsiatrack.ranges.ownership import decode_range, encode_range
from fuchsiatrack.ranges.ownershipchange import OwnershipChange


@dataclasses.dataclass(frozen=True)
class OwnershipUpdate:
    """A service's whole ownership map that the leader of `term` has just appended to the log.

    `revision` is the map's own count of its changes.
    """

    term: int
    service: str
    revision: int
    ownership: bytes

    def encode(self) -> bytes:
        """Return the update as one line of JSON, followed by the compressed map."""
        # The first key must stay first: `ReportProtocol` identifies the message by it.
        header = {"update_term": self.term, "service": self.service, "revision": self.revision}
        line = json.dumps(header, separators=(",", ":")).encode()
        return line + b"\n" + zlib.compress(self.ownership)

    @classmethod
    def decode(cls, data: bytes) -> OwnershipUpdate:
        """Return the update encoded in *data*; raise ValueError if it encodes none."""
        line, _, compressed = data.partition(b"\n")
        try:
            header = json.loads(line)
            ownership = zlib.decompress(compressed)
            return cls(header["update_term"], header["service"], int(header["revision"]), ownership)
        except (KeyError, TypeError, zlib.error) as error:
            raise ValueError(f"not an ownership update: {error!r}") from error


@dataclasses.dataclass(frozen=True)
class OwnershipChangeNotice:
    """A change of a service's ownership map that the leader of `term` has appended to the log.

    Daemons before December 2026 can't decode it, and read the map from the log instead.
    """

    term: int
    service: str
    change: OwnershipChange

    def encode(self) -> bytes:
        """Return the notice as one line of JSON, followed by the compressed ranges."""
        change = self.change
        header = {
            # Must stay first: `ReportProtocol` identifies the message by it.
            "change_term": self.term,
            "service": self.service,
            "base": change.base,
            "revision": change.revision,
            "fence": change.fence,
        }
        ranges = [encode_range(item) for item in change.ranges]
        line, rows = (json.dumps(item, separators=(",", ":")).encode() for item in (header, ranges))
        return line + b"\n" + zlib.compress(rows)

    @classmethod
    def decode(cls, data: bytes) -> OwnershipChangeNotice:
        """Return the notice encoded in *data*; raise ValueError if it encodes none."""
        line, _, compressed = data.partition(b"\n")
        try:
            header = json.loads(line)
            rows = json.loads(zlib.decompress(compressed))
            change = OwnershipChange(
                int(header["base"]),
                int(header["revision"]),
                int(header["fence"]),
                tuple(decode_range(row) for row in rows),
            )
            return cls(int(header["change_term"]), str(header["service"]), change)
        except (KeyError, TypeError, zlib.error) as error:
            raise ValueError(f"not an ownership change: {error!r}") from error
