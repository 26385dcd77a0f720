"""Load reports from every daemon to the leader, and the leader's acknowledgements, over UDP.

Datagrams suit this better than a stream: a lost report only lowers the load that the leader
measures, by the counts since the report before; the next report has the current term and offsets;
and missing acknowledgements reveal an unresponsive leader.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable, Iterable, Iterator, Mapping

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.fields import decode_object, decoding, field, natural
from fuchsiatrack.kernel.trafficcounter import TrafficPurpose
from fuchsiatrack.limits.registry import LimitNotice
from fuchsiatrack.peers.ownershipupdates import OwnershipChangeNotice, OwnershipUpdate
from fuchsiatrack.peers.permitmessages import (
    REQUEST_PREFIX,
    RESPONSE_PREFIX,
    RETRY_REQUEST_PREFIX,
    PermitRequest,
    PermitResponse,
    RetryPermitRequest,
    decode_notices,
    encode_notices,
)
from fuchsiatrack.ranges.records import UNKNOWN_REMAINING_MS, decode_remaining

# Time between reports; the leader counts as unresponsive after three lost reports.
REPORT_PERIOD_MS = 300
# Further keys are sent in further datagrams.
KEYS_PER_DATAGRAM = 400
# The latest servers that said that they leave; the directory lists earlier ones as leaving by now.
LEAVING_PER_REPORT = 50
# A daemon that sent no report for this long is not counted.
MEMBER_TIMEOUT_MS = 3_000
# By then every daemon has reported to a new leader, or heard of what the leader counts, also if one
# datagram was lost.
COUNT_SETTLING_MS = 2 * REPORT_PERIOD_MS + 100
# Larger ownership maps are not sent; daemons read them from the log service.
MAX_DATAGRAM_BYTES = 60_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ServiceTimeStats:
    """Number of one server's responses since the last report, and their mean time in ms."""

    samples: int
    mean: float


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Counts of one daemon for one service since its last report.

    `keys` has the requests by key, an integer from 0 to 65535, `servers` the response times by
    server id, in the first report also those of services without keys, and `offsets` the offset up
    to which the daemon has read each stream.  `failure_domain` is that of the daemon, empty in
    reports of daemons before December 2026.
    `limits` has the limits that it knows, of servers of any service, and `leaving` the latest
    servers that told it in a response that they leave.  `uncounted` is true until a leader has told
    it the number of daemons, always false in reports of daemons before 6 December 2026.
    `unreached` has the servers that it failed to reach lately, with ages and no rates.  `era` is
    the era of the log to which the offsets belong, None if it isn't known, and `restored` whether
    servers may hold grants that the restored log doesn't show.
    """

    vm: str
    incarnation: str
    term: int
    service: str = ""
    keys: Mapping[int, int] = dataclasses.field(default_factory=dict)
    servers: Mapping[str, ServiceTimeStats] = dataclasses.field(default_factory=dict)
    offsets: Mapping[str, int] = dataclasses.field(default_factory=dict)
    failure_domain: str = ""
    limits: tuple[LimitNotice, ...] = ()
    leaving: tuple[ServerIncarnation, ...] = ()
    uncounted: bool = False
    unreached: tuple[LimitNotice, ...] = ()
    era: int | None = None
    restored: bool = False

    def encode(self) -> bytes:
        """Return the report as JSON."""
        leaving = [[item.server, item.started_at] for item in self.leaving]
        body = {
            "vm": self.vm,
            "incarnation": self.incarnation,
            "term": self.term,
            "service": self.service,
            "keys": list(self.keys.items()),
            "servers": [[name, row.samples, row.mean] for name, row in self.servers.items()],
            "offsets": dict(self.offsets),
            "domain": self.failure_domain,
            **({"limits": encode_notices(self.limits)} if self.limits else {}),
            **({"leaving": leaving} if leaving else {}),
            **({"uncounted": True} if self.uncounted else {}),
            **({"unreached": encode_notices(self.unreached)} if self.unreached else {}),
            **({"era": self.era} if self.era is not None else {}),
            **({"restored": True} if self.restored else {}),
        }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> LoadReport:
        """Return the report encoded in *data*; raise ValueError if it encodes none."""
        body = decode_object(data)
        with decoding("a load report"):
            rows = [
                {"server": server, "samples": samples, "mean": mean}
                for server, samples, mean in body["servers"]
            ]
            return cls(
                field(body, "vm", str),
                field(body, "incarnation", str),
                natural(body, "term"),
                field(body, "service", str),
                {int(key): int(count) for key, count in body["keys"]},
                {field(row, "server", str): _decode_service_times(row) for row in rows},
                _decode_offsets(body["offsets"]),
                str(body.get("domain", "")),
                decode_notices(body.get("limits", ())),
                tuple(
                    ServerIncarnation(str(server), int(started_at))
                    for server, started_at in body.get("leaving", ())
                ),
                field(body, "uncounted", bool) if "uncounted" in body else False,
                decode_notices(body.get("unreached", ())),
                natural(body, "era") if "era" in body else None,
                field(body, "restored", bool) if "restored" in body else False,
            )


@dataclasses.dataclass(frozen=True)
class ReportAck:
    """The leader's acknowledgement of a report, also sent without one when the leader resigns.

    `term` is its term, `daemon_count` the number of daemons that report to it, `offsets` the offset
    up to which it has read each stream, and `revisions` the revision of each service's ownership
    map.  `renewal_failing` is true while its lease renewals fail.  `limits` has the limits that it
    knows, None if it issues no permits, as leaders before 4 December 2026.  `settled` is whether
    all daemons have had time to be counted, and to hear of a count that includes the one that
    reported; None from leaders before 6 December 2026, which don't tell.  `service_times` has the
    times in milliseconds that all daemons have observed, by id of a server of a service without
    keys; mostly empty, since it is sent every few seconds.  `unreached` has the servers that
    several daemons failed to reach lately, with ages and no rates.  `era` is the era of the log to
    which the offsets belong, None if it isn't known.
    """

    term: int
    daemon_count: int
    renewal_failing: bool = False
    offsets: Mapping[str, int] = dataclasses.field(default_factory=dict)
    revisions: Mapping[str, int] = dataclasses.field(default_factory=dict)
    limits: tuple[LimitNotice, ...] | None = None
    settled: bool | None = None
    service_times: Mapping[str, int] = dataclasses.field(default_factory=dict)
    unreached: tuple[LimitNotice, ...] = ()
    era: int | None = None

    def encode(self) -> bytes:
        """Return the acknowledgement as JSON."""
        body = {
            # Must stay first: `ReportProtocol` identifies the message by it.
            "leader_term": self.term,
            "daemons": self.daemon_count,
            "faltering": self.renewal_failing,
            "offsets": dict(self.offsets),
            "revisions": dict(self.revisions),
        }
        if self.limits is not None:
            body["limits"] = encode_notices(self.limits)
        if self.settled is not None:
            body["settled"] = self.settled
        if self.service_times:
            body["times"] = dict(self.service_times)
        if self.unreached:
            body["unreached"] = encode_notices(self.unreached)
        if self.era is not None:
            body["era"] = self.era
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> ReportAck:
        """Return the acknowledgement encoded in *data*; raise ValueError if it encodes none."""
        body = decode_object(data)
        with decoding("an acknowledgement"):
            return cls(
                natural(body, "leader_term"),
                natural(body, "daemons"),
                bool(body["faltering"]),
                _decode_offsets(body["offsets"]),
                _decode_offsets(body.get("revisions", {})),
                decode_notices(body["limits"]) if "limits" in body else None,
                field(body, "settled", bool) if "settled" in body else None,
                _decode_service_time_table(body.get("times", {})),
                decode_notices(body.get("unreached", ())),
                natural(body, "era") if "era" in body else None,
            )


@dataclasses.dataclass(frozen=True)
class TermEndNotice:
    """Notice by the leader of `term` that the term has ended and that it sends nothing more in it.

    Grants of the term that were extended while its lease was at risk may last for
    `extended_grants_remaining` milliseconds more, and leaders before it may send grants for
    `sending_remaining` milliseconds more.
    """

    term: int
    extended_grants_remaining: int
    sending_remaining: int = UNKNOWN_REMAINING_MS

    def encode(self) -> bytes:
        """Return the notice as JSON."""
        # The first key must stay first: `ReportProtocol` identifies the message by it.
        body = {
            "ended_term": self.term,
            "long_for": self.extended_grants_remaining,
            "sending_for": self.sending_remaining,
        }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> TermEndNotice:
        """Return the notice encoded in *data*; raise ValueError if it encodes none."""
        body = decode_object(data)
        return cls(natural(body, "ended_term"), *decode_remaining(body))


class MembershipTracker:
    """Daemons that report to this leader, with the addresses that their reports come from."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # When each was first counted, and when it last reported.
        self._members: dict[str, tuple[int, int]] = {}
        # When one last reported early in a term that it had been counted before.
        self._counted_report_at: int | None = None
        self._addresses: dict[str, tuple[str, int]] = {}
        self._failure_domains: dict[tuple[str, int], str] = {}

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses of the daemons that reported within `MEMBER_TIMEOUT_MS`."""
        cutoff = self._clock.now() - MEMBER_TIMEOUT_MS
        return tuple(
            address
            for vm, address in self._addresses.items()
            if vm in self._members and self._members[vm][1] >= cutoff
        )

    def record_address(self, vm: str, address: tuple[str, int], failure_domain: str = "") -> None:
        """Record the IP address and port from which *vm*, in *failure_domain*, sent a report."""
        self._addresses[vm] = address
        self._failure_domains[address] = failure_domain

    def failure_domain(self, address: tuple[str, int]) -> str:
        """Return the failure domain of the daemon at *address*, empty if it isn't known."""
        return self._failure_domains.get(address, "")

    @property
    def count(self) -> int:
        """Number of daemons that reported within `MEMBER_TIMEOUT_MS`."""
        cutoff = self._clock.now() - MEMBER_TIMEOUT_MS
        self._members = {vm: item for vm, item in self._members.items() if item[1] >= cutoff}
        return len(self._members)

    def record_report(self, vm: str, led_for: int = 0, is_counted: bool = True) -> None:
        """Record the arrival of a report of *vm*, *led_for* ms after this leader won its term.

        *is_counted* is whether a leader has told *vm* the number of daemons.
        """
        now = self._clock.now()
        counted_since, reported_at = self._members.get(vm, (now, now))
        if reported_at < now - MEMBER_TIMEOUT_MS:
            counted_since = now
        self._members[vm] = (counted_since, now)
        if is_counted and led_for < COUNT_SETTLING_MS:
            self._counted_report_at = now

    def is_count_settled(self, vm: str, led_for: int) -> bool:
        """Return whether `count` lacks no daemon, and the others have heard that it has *vm*.

        *led_for* is the time since this leader won its term, in milliseconds.  Daemons that a
        former leader has counted keep its count until this one's is complete.
        """
        now = self._clock.now()
        counted_at = self._counted_report_at
        has_counted = counted_at is not None and counted_at >= now - led_for
        if led_for < (2 * COUNT_SETTLING_MS if has_counted else COUNT_SETTLING_MS):
            return False
        counted_since, _ = self._members.get(vm, (now, now))
        return now - counted_since >= COUNT_SETTLING_MS


class ReportProtocol(asyncio.DatagramProtocol):
    """UDP endpoint that sends this daemon's reports, and responds to others' while it leads.

    *on_report* returns the datagram to respond with: a `TermEndNotice` if a term that this daemon
    led has ended and the report's term is later, a `ReportAck` if this daemon leads the report's
    term, and else None.  *on_permit_request* and *on_retry_request* return the decision if this
    daemon leads, and else None.  *on_traffic* receives the purpose, the peer's address and the
    bytes sent and received of each datagram.  The other callbacks receive what the leader, or the
    leader of an ended term, sends.
    """

    def __init__(
        self,
        on_report: Callable[[LoadReport, tuple[str, int]], ReportAck | TermEndNotice | None],
        on_ack: Callable[[ReportAck], None],
        on_update: Callable[[OwnershipUpdate], None],
        on_change: Callable[[OwnershipChangeNotice], None],
        on_term_end_notice: Callable[[TermEndNotice], None],
        on_permit_request: Callable[[PermitRequest], PermitResponse | None],
        on_retry_request: Callable[[RetryPermitRequest], PermitResponse | None],
        on_permit_response: Callable[[PermitResponse], None],
        on_traffic: Callable[[TrafficPurpose, tuple[str, int], int, int], None],
    ) -> None:
        self._on_traffic = on_traffic
        self._on_report = on_report
        self._on_ack = on_ack
        self._on_update = on_update
        self._on_change = on_change
        self._on_term_end_notice = on_term_end_notice
        self._on_permit_request = on_permit_request
        self._on_retry_request = on_retry_request
        self._on_permit_response = on_permit_response
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            response = self._dispatch(data, addr)
        except ValueError as error:
            log.warning("malformed datagram", extra={"from": addr[0], "why": str(error)})
            return
        if response and self._transport:
            purpose = (
                TrafficPurpose.PERMIT
                if isinstance(response, PermitResponse)
                else TrafficPurpose.ACKNOWLEDGEMENT
            )
            self._send_datagram(purpose, response.encode(), addr)

    def _dispatch(
        self, data: bytes, address: tuple[str, int]
    ) -> ReportAck | TermEndNotice | PermitResponse | None:
        """Pass a datagram to its callback; the first JSON key identifies its type."""
        if data.startswith(b'{"update_term"'):
            self._on_traffic(TrafficPurpose.OWNERSHIP, address, 0, len(data))
            self._on_update(OwnershipUpdate.decode(data))
            return None
        if data.startswith(b'{"change_term"'):
            self._on_traffic(TrafficPurpose.OWNERSHIP, address, 0, len(data))
            self._on_change(OwnershipChangeNotice.decode(data))
            return None
        if data.startswith(b'{"ended_term"'):
            self._on_term_end_notice(TermEndNotice.decode(data))
            return None
        if data.startswith(b'{"leader_term"'):
            self._on_traffic(TrafficPurpose.ACKNOWLEDGEMENT, address, 0, len(data))
            self._on_ack(ReportAck.decode(data))
            return None
        if data.startswith(REQUEST_PREFIX):
            self._on_traffic(TrafficPurpose.PERMIT, address, 0, len(data))
            return self._on_permit_request(PermitRequest.decode(data))
        if data.startswith(RETRY_REQUEST_PREFIX):
            self._on_traffic(TrafficPurpose.PERMIT, address, 0, len(data))
            return self._on_retry_request(RetryPermitRequest.decode(data))
        if data.startswith(RESPONSE_PREFIX):
            self._on_traffic(TrafficPurpose.PERMIT, address, 0, len(data))
            self._on_permit_response(PermitResponse.decode(data))
            return None
        report = LoadReport.decode(data)
        self._on_traffic(TrafficPurpose.LOAD_REPORT, address, 0, len(data))
        return self._on_report(report, address)

    def error_received(self, exc: Exception) -> None:
        log.info("datagram send failed", extra={"why": repr(exc)})

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, report: LoadReport, address: str) -> None:
        """Send *report* to the leader at *address*, IP:PORT."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        for part in _split(report):
            self._send_datagram(TrafficPurpose.LOAD_REPORT, part.encode(), (host, int(port)))

    def send_permit_request(
        self, request: PermitRequest | RetryPermitRequest, address: str
    ) -> None:
        """Send *request* to the leader at *address*, IP:PORT."""
        host, _, port = address.rpartition(":")
        self._send_to_all(TrafficPurpose.PERMIT, request.encode(), [(host, int(port))])

    def broadcast_update(
        self,
        update: OwnershipUpdate | OwnershipChangeNotice,
        addresses: Iterable[tuple[str, int]],
    ) -> None:
        """Send *update* to each of *addresses*, unless it exceeds `MAX_DATAGRAM_BYTES`.

        Daemons that miss it read the map from the log service.
        """
        data = update.encode()
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._send_to_all(TrafficPurpose.OWNERSHIP, data, addresses)

    def broadcast_ack(self, ack: ReportAck, addresses: Iterable[tuple[str, int]]) -> None:
        """Send *ack* to each of *addresses*, without a report to acknowledge.

        A leader that resigns reports in it that its renewals fail.
        """
        self._send_to_all(TrafficPurpose.ACKNOWLEDGEMENT, ack.encode(), addresses)

    def _send_to_all(
        self, purpose: TrafficPurpose, data: bytes, addresses: Iterable[tuple[str, int]]
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for address in addresses:
            self._send_datagram(purpose, data, address)

    def _send_datagram(
        self, purpose: TrafficPurpose, data: bytes, address: tuple[str, int]
    ) -> None:
        self._transport.sendto(data, address)
        self._on_traffic(purpose, address, len(data), 0)


def _decode_service_times(row: dict) -> ServiceTimeStats:
    return ServiceTimeStats(natural(row, "samples"), field(row, "mean", float))


def _decode_service_time_table(body: dict) -> dict[str, int]:
    return {str(server): natural(body, server) for server in body}


def _decode_offsets(body: dict) -> dict[str, int]:
    return {str(name): int(offset) for name, offset in body.items()}


def _split(report: LoadReport) -> Iterator[LoadReport]:
    items = list(report.keys.items())
    yield dataclasses.replace(report, keys=dict(items[:KEYS_PER_DATAGRAM]))
    for start in range(KEYS_PER_DATAGRAM, len(items), KEYS_PER_DATAGRAM):
        keys = dict(items[start : start + KEYS_PER_DATAGRAM])
        yield dataclasses.replace(report, keys=keys, servers={}, limits=(), leaving=())
