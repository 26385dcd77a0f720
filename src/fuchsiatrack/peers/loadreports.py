"""Load reports from every daemon to the leader, and the leader's replies, as UDP datagrams.

Datagrams fit better than a stream here: a report replaces the one before, a lost one costs
nothing, and a silent leader shows by missing replies.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable, Iterator, Mapping

from fuchsiatrack.kernel.clock import Clock

# Pause between two reports, in milliseconds: three are lost before the leader counts as silent.
REPORT_PERIOD = 300
# Keys in one datagram; more are sent in further ones.
KEYS_PER_DATAGRAM = 400
# A daemon that sent no report for this long is no longer counted, in milliseconds.
MEMBER_TIMEOUT = 3_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ServerTimes:
    """Answers of one server since the last report: how many, and their mean time in ms."""

    samples: int
    mean: float


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What one daemon has counted for one service since its last report."""

    vm: str
    incarnation: str
    term: int
    service: str = ""
    keys: Mapping[int, int] = dataclasses.field(default_factory=dict)
    servers: Mapping[str, ServerTimes] = dataclasses.field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the report as JSON."""
        body = {
            "vm": self.vm,
            "incarnation": self.incarnation,
            "term": self.term,
            "service": self.service,
            "keys": list(self.keys.items()),
            "servers": [[name, row.samples, row.mean] for name, row in self.servers.items()],
        }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> LoadReport:
        """Return the report that `encode` wrote; raise ValueError for anything else."""
        try:
            body = json.loads(data)
            servers = {name: ServerTimes(count, mean) for name, count, mean in body["servers"]}
            keys = {int(key): int(count) for key, count in body["keys"]}
            return cls(
                body["vm"], body["incarnation"], body["term"], body["service"], keys, servers
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a load report: {error!r}") from error


@dataclasses.dataclass(frozen=True)
class Reply:
    """The leader's reply: its term and how many daemons report to it."""

    term: int
    daemons: int

    def encode(self) -> bytes:
        """Return the reply as JSON."""
        return json.dumps({"leader_term": self.term, "daemons": self.daemons}).encode()

    @classmethod
    def decode(cls, data: bytes) -> Reply:
        """Return the reply that `encode` wrote; raise ValueError for anything else."""
        try:
            body = json.loads(data)
            return cls(int(body["leader_term"]), int(body["daemons"]))
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a reply: {error!r}") from error


class Members:
    """The daemons that report to this leader."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, int] = {}

    @property
    def count(self) -> int:
        """How many daemons have reported lately."""
        limit = self._clock.now() - MEMBER_TIMEOUT
        self._seen = {vm: at for vm, at in self._seen.items() if at >= limit}
        return len(self._seen)

    def note(self, vm: str) -> None:
        """Take in a report of *vm*."""
        self._seen[vm] = self._clock.now()


class ReportChannel(asyncio.DatagramProtocol):
    """Sends this daemon's reports and answers those of others while it leads.

    *take_report* returns the reply, or None while this daemon doesn't lead; *take_reply* gets
    what the leader replies.
    """

    def __init__(
        self,
        take_report: Callable[[LoadReport], Reply | None],
        take_reply: Callable[[Reply], None],
    ) -> None:
        self._take_report = take_report
        self._take_reply = take_reply
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            if b'"leader_term"' in data:
                self._take_reply(Reply.decode(data))
                return
            reply = self._take_report(LoadReport.decode(data))
        except ValueError as error:
            log.warning("datagram can't be read", extra={"from": addr[0], "why": str(error)})
            return
        if reply and self._transport:
            self._transport.sendto(reply.encode(), addr)

    def error_received(self, exc: Exception) -> None:
        log.info("report failed", extra={"why": repr(exc)})

    def send(self, report: LoadReport, address: str) -> None:
        """Send *report* to the leader at *address*, IP:PORT."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        for part in _split(report):
            self._transport.sendto(part.encode(), (host, int(port)))


def _split(report: LoadReport) -> Iterator[LoadReport]:
    items = list(report.keys.items())
    yield dataclasses.replace(report, keys=dict(items[:KEYS_PER_DATAGRAM]))
    for start in range(KEYS_PER_DATAGRAM, len(items), KEYS_PER_DATAGRAM):
        keys = dict(items[start : start + KEYS_PER_DATAGRAM])
        yield dataclasses.replace(report, keys=keys, servers={})
