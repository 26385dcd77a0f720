"""Load reports from every daemon to the leader, and the leader's replies, as UDP datagrams.

Datagrams fit better than a stream here: a report replaces the one before, a lost one costs
nothing, and a silent leader shows by missing replies.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping

from fuchsiatrack.kernel.clock import Clock

# Pause between two reports, in milliseconds: three are lost before the leader counts as silent.
REPORT_PERIOD = 300
# Keys in one datagram; more are sent in further ones.
KEYS_PER_DATAGRAM = 400
# A daemon that sent no report for this long is no longer counted, in milliseconds.
MEMBER_TIMEOUT = 3_000
# Largest datagram, in bytes; larger ownership maps are read from the log only.
DATAGRAM_MAX = 60_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ServiceTimeStats:
    """Answers of one server since the last report: how many, and their mean time in ms."""

    samples: int
    mean: float


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What one daemon has counted for one service since its last report.

    `offsets` is how far the daemon has read each stream.
    """

    vm: str
    incarnation: str
    term: int
    service: str = ""
    keys: Mapping[int, int] = dataclasses.field(default_factory=dict)
    servers: Mapping[str, ServiceTimeStats] = dataclasses.field(default_factory=dict)
    offsets: Mapping[str, int] = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the report as JSON."""
        body = {
            "vm": self.vm,
            "incarnation": self.incarnation,
            "term": self.term,
            "service": self.service,
            "keys": list(self.keys.items()),
            "servers": [[name, row.samples, row.mean] for name, row in self.servers.items()],
            "offsets": dict(self.offsets),
        }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> LoadReport:
        """Return the report that `encode` wrote; raise ValueError for anything else."""
        try:
            body = json.loads(data)
            servers = {name: ServiceTimeStats(count, mean) for name, count, mean in body["servers"]}
            keys = {int(key): int(count) for key, count in body["keys"]}
            return cls(
                body["vm"],
                body["incarnation"],
                body["term"],
                body["service"],
                keys,
                servers,
                _decode_offsets(body["offsets"]),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a load report: {error!r}") from error


@dataclasses.dataclass(frozen=True)
class ReportAck:
    """The leader's reply: its term, how many daemons report to it, and how far it has read.

    `renewal_failing` says that its renewals fail.
    """

    term: int
    daemons: int
    renewal_failing: bool = False
    offsets: Mapping[str, int] = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the reply as JSON."""
        body = {
            "leader_term": self.term,
            "daemons": self.daemons,
            "faltering": self.renewal_failing,
            "offsets": dict(self.offsets),
        }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> ReportAck:
        """Return the reply that `encode` wrote; raise ValueError for anything else."""
        try:
            body = json.loads(data)
            return cls(
                int(body["leader_term"]),
                int(body["daemons"]),
                bool(body["faltering"]),
                _decode_offsets(body["offsets"]),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a reply: {error!r}") from error


@dataclasses.dataclass(frozen=True)
class TermEndNotice:
    """What the leader of an ended `term` says: it sends nothing more.

    Long grants may last for `extended_grants_remaining` milliseconds more.
    """

    term: int
    extended_grants_remaining: int

    def encode(self) -> bytes:
        """Return the last word as JSON."""
        body = {"ended_term": self.term, "long_for": self.extended_grants_remaining}
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> TermEndNotice:
        """Return the last word that `encode` wrote; raise ValueError for anything else."""
        try:
            body = json.loads(data)
            return cls(int(body["ended_term"]), int(body["long_for"]))
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a last word: {error!r}") from error


@dataclasses.dataclass(frozen=True)
class OwnershipUpdate:
    """A service's ownership map as the leader of `term` has just written it to the log."""

    term: int
    service: str
    revision: int
    ownership: bytes

    def encode(self) -> bytes:
        """Return the update: one line of JSON, then the compressed map."""
        head = {"update_term": self.term, "service": self.service, "revision": self.revision}
        line = json.dumps(head, separators=(",", ":")).encode()
        return line + b"\n" + zlib.compress(self.ownership)

    @classmethod
    def decode(cls, data: bytes) -> OwnershipUpdate:
        """Return the update that `encode` wrote; raise ValueError for anything else."""
        line, _, packed = data.partition(b"\n")
        try:
            head = json.loads(line)
            ownership = zlib.decompress(packed)
            return cls(head["update_term"], head["service"], int(head["revision"]), ownership)
        except (KeyError, TypeError, zlib.error) as error:
            raise ValueError(f"not an ownership update: {error!r}") from error


class MembershipTracker:
    """The daemons that report to this leader, with the addresses that they report from."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, int] = {}
        self._addresses: dict[str, tuple[str, int]] = {}

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Where the daemons that have reported lately take datagrams."""
        limit = self._clock.now() - MEMBER_TIMEOUT
        return tuple(
            address for vm, address in self._addresses.items() if self._seen.get(vm, 0) >= limit
        )

    def record_address(self, vm: str, address: tuple[str, int]) -> None:
        """Take in where *vm* sent a report from."""
        self._addresses[vm] = address

    @property
    def count(self) -> int:
        """How many daemons have reported lately."""
        limit = self._clock.now() - MEMBER_TIMEOUT
        self._seen = {vm: at for vm, at in self._seen.items() if at >= limit}
        return len(self._seen)

    def record_report(self, vm: str) -> None:
        """Take in a report of *vm*."""
        self._seen[vm] = self._clock.now()


class ReportProtocol(asyncio.DatagramProtocol):
    """Sends this daemon's reports and answers those of others while it leads.

    *take_report* returns the reply, or None while this daemon doesn't lead; *take_ack* gets
    what the leader replies.
    """

    def __init__(
        self,
        take_report: Callable[[LoadReport, tuple[str, int]], ReportAck | TermEndNotice | None],
        take_ack: Callable[[ReportAck], None],
        take_update: Callable[[OwnershipUpdate], None],
        take_term_end_notice: Callable[[TermEndNotice], None],
    ) -> None:
        self._take_report = take_report
        self._take_ack = take_ack
        self._take_update = take_update
        self._take_term_end_notice = take_term_end_notice
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            ack = self._dispatch(data, addr)
        except ValueError as error:
            log.warning("datagram can't be read", extra={"from": addr[0], "why": str(error)})
            return
        if ack and self._transport:
            self._transport.sendto(ack.encode(), addr)

    def _dispatch(self, data: bytes, address: tuple[str, int]) -> ReportAck | TermEndNotice | None:
        """Hand a datagram to its taker; the first field tells its kind."""
        if data.startswith(b'{"update_term"'):
            self._take_update(OwnershipUpdate.decode(data))
            return None
        if data.startswith(b'{"ended_term"'):
            self._take_term_end_notice(TermEndNotice.decode(data))
            return None
        if data.startswith(b'{"leader_term"'):
            self._take_ack(ReportAck.decode(data))
            return None
        return self._take_report(LoadReport.decode(data), address)

    def error_received(self, exc: Exception) -> None:
        log.info("report failed", extra={"why": repr(exc)})

    def close(self) -> None:
        """Give back the port."""
        if self._transport is not None:
            self._transport.close()

    def send(self, report: LoadReport, address: str) -> None:
        """Send *report* to the leader at *address*, IP:PORT."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        for part in _split(report):
            self._transport.sendto(part.encode(), (host, int(port)))

    def broadcast_update(
        self, update: OwnershipUpdate, addresses: Iterable[tuple[str, int]]
    ) -> None:
        """Send *update* to each of *addresses*; daemons that miss it read the log."""
        data = update.encode()
        if len(data) <= DATAGRAM_MAX:
            self._send_to_all(data, addresses)

    def broadcast_ack(self, ack: ReportAck, addresses: Iterable[tuple[str, int]]) -> None:
        """Send *ack* to each of *addresses*, unasked."""
        self._send_to_all(ack.encode(), addresses)

    def _send_to_all(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for address in addresses:
            self._transport.sendto(data, address)


def _decode_offsets(body: dict) -> dict[str, int]:
    return {str(name): int(offset) for name, offset in body.items()}


def _split(report: LoadReport) -> Iterator[LoadReport]:
    items = list(report.keys.items())
    yield dataclasses.replace(report, keys=dict(items[:KEYS_PER_DATAGRAM]))
    for start in range(KEYS_PER_DATAGRAM, len(items), KEYS_PER_DATAGRAM):
        keys = dict(items[start : start + KEYS_PER_DATAGRAM])
        yield dataclasses.replace(report, keys=keys, servers={})
