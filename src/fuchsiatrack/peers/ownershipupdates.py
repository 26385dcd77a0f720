"""Datagrams by which the leader tells all daemons of ownership that it has appended to the log."""

from __future__ import annotations

import dataclasses
import json
import zlib

from fuchsiatrack.kernel.fields import decode_object, decoding, field, natural
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
        header = decode_object(line)
        return cls(
            natural(header, "update_term"),
            field(header, "service", str),
            natural(header, "revision"),
            _decompress(compressed),
        )


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
        header = decode_object(line)
        with decoding("an ownership change"):
            rows = json.loads(_decompress(compressed))
            change = OwnershipChange(
                natural(header, "base"),
                natural(header, "revision"),
                natural(header, "fence"),
                tuple(decode_range(row) for row in rows),
            )
            return cls(natural(header, "change_term"), field(header, "service", str), change)


def _decompress(data: bytes) -> bytes:
    try:
        return zlib.decompress(data)
    except zlib.error as error:
        raise ValueError(f"not compressed: {error}") from error
