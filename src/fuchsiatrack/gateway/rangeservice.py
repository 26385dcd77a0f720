"""Key range ownership in one daemon: replication, load reports and range controllers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import functools
import logging
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from fuchsiatrack.coldstart.coldservers import ColdServers
from fuchsiatrack.coldstart.failuretally import FailureTally
from fuchsiatrack.coldstart.terms import ColdBound
from fuchsiatrack.control.compactedlog import CompactedLog, StreamConsumer
from fuchsiatrack.directory.servers import ServerDirectory
from fuchsiatrack.gateway.permitchannel import LeaderPermitChannel
from fuchsiatrack.gateway.serverstats import ServerStatsRegistry
from fuchsiatrack.gateway.settings import GatewaySettings
from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.trafficcounter import TrafficCounter, TrafficPurpose
from fuchsiatrack.limits.permits import UNCOUNTED_DAEMONS
from fuchsiatrack.limits.registry import LimitRegistry
from fuchsiatrack.limits.retryratio import RetryBudgetSettings
from fuchsiatrack.peers.daemoncount import DaemonCount
from fuchsiatrack.peers.loadreports import (
    LEAVING_PER_REPORT,
    REPORT_PERIOD_MS,
    LoadReport,
    MembershipTracker,
    ReportAck,
    ReportProtocol,
    ServiceTimeStats,
    TermEndNotice,
)
from fuchsiatrack.peers.ownershipupdates import OwnershipChangeNotice, OwnershipUpdate
from fuchsiatrack.peers.servicetimetable import ServiceTimeTable
from fuchsiatrack.ranges.controller import RangeController
from fuchsiatrack.ranges.grantclient import RangeGrantClient
from fuchsiatrack.ranges.grantrenewer import grant_timings
from fuchsiatrack.ranges.inheritedgrants import InheritedGrants
from fuchsiatrack.ranges.leadership import SUCCESSION_DELAY_MS, Leadership, NotLeading
from fuchsiatrack.ranges.ownership import OwnershipMap
from fuchsiatrack.ranges.ownershipcache import OwnershipCache, map_key
from fuchsiatrack.ranges.ownershipchange import OwnershipHistory
from fuchsiatrack.ranges.planner import BalancedPlanner
from fuchsiatrack.ranges.records import ERA_KEY, STATE_STREAM, EndedTerm, Term, encode_era
from fuchsiatrack.ranges.restoredgrants import MAX_CONTINUATION_MS, RestoredGrants

LEADERSHIP_CHECK_INTERVAL_MS = 50
# Pause between reads of ownership from the log; the leader sends updates as datagrams, and these
# reads recover lost ones.
OWNERSHIP_READ_PAUSE_MS = 3_000
# The same while the leader's acknowledgements show whether an update was lost.
ASSISTED_OWNERSHIP_READ_PAUSE_MS = 30_000
# Ownership maps are large, and the leader sends them as datagrams anyway, so that a read which is
# merely slow must not be repeated.
OWNERSHIP_ATTEMPT_INTERVAL_MS = 1_500
# Shortest interval between reads that misrouted requests trigger.
MISROUTED_READ_INTERVAL_MS = 300
# Without an acknowledgement for this long, no peer reports missed records to this daemon.
ACK_TIMEOUT_MS = 1_200
# A leader that sent no acknowledgement for this long isn't expected to count this daemon.
COUNT_ACK_TIMEOUT_MS = 2 * REPORT_PERIOD_MS
# Time for one append of the resignation, within the time in which a stopping daemon still accepts
# requests anyway.
RESIGN_TIMEOUT_MS = 1_000
PLANNER_NAME = "balanced"

log = logging.getLogger(__name__)


class RangeService:
    """Replicates ownership, reports load, and controls all keyed services while leading."""

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: str,
        log_service: CompactedLog,
        grant_client: RangeGrantClient,
        directory: ServerDirectory,
        stats: ServerStatsRegistry,
        clock: Clock,
        rng: random.Random,
        can_lead: Callable[[], bool],
        keyed_services: Callable[[], tuple[str, ...]],
        consumers: Mapping[str, StreamConsumer],
        traffic: TrafficCounter,
        limits: LimitRegistry,
        find_retry_settings: Callable[[], RetryBudgetSettings],
        cold_servers: ColdServers | None = None,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._cold_servers = cold_servers or ColdServers(lambda name: None, ColdBound, clock)
        self._failure_tally = FailureTally()
        self._traffic = traffic
        self._incarnation = incarnation
        self._grant_client = grant_client
        self._directory = directory
        self._stats = stats
        self._clock = clock
        self._keyed_services = keyed_services
        self._controllers: dict[str, RangeController] = {}
        self._controller_tasks: dict[str, asyncio.Task] = {}
        self._controlled_term = 0
        # The latest term in which a controller failed.
        self._failed_term = 0
        self._is_resigning = False
        self._membership = MembershipTracker(clock)
        self._service_time_table = ServiceTimeTable(
            clock, lambda server: directory.find(server) is not None
        )
        self._key_counts: dict[str, collections.Counter[int]] = {}
        self.permit_channel = LeaderPermitChannel(
            limits,
            clock,
            self._find_leader_address,
            lambda request, address: self._protocol.send_permit_request(request, address),
            lambda: self.leadership.has_valid_lease(),
            lambda: self.leadership.current.number,
            find_retry_settings,
        )
        self._protocol = ReportProtocol(
            self._handle_report,
            self._handle_ack,
            self._handle_update,
            self._handle_change,
            self._handle_term_end_notice,
            self.permit_channel.handle_request,
            self.permit_channel.handle_retry_request,
            self.permit_channel.handle_response,
            self._count_datagram,
        )
        # Of the term that this daemon controls, or controlled last.
        self._inherited = self._create_inherited_grants()
        self._prepared_term = 0
        # The latest term in which this daemon waited for the end of unknown grants.
        self._awaited_term = 0
        # The latest term that this daemon led, and the latest one whose leader sent a notice.
        self._ended_term = EndedTerm()
        self._notified_term = EndedTerm()
        self._last_ack_at = clock.now()
        self._misrouted_read_at = 0
        # The revisions of the leader's maps that the latest acknowledgement showed to be newer.
        self._revisions_behind: dict[str, int] = {}
        self._last_notified_term = 0
        self._last_report_address = ""
        self._daemon_count = DaemonCount()
        self._era = log_service.era
        self._restored = RestoredGrants(
            clock, grant_timings(settings.max_hold), settings.is_first_start
        )
        # The term that this daemon controlled when the log was restored last, 0 if none; whether
        # the present term continues it, with its grants.
        self._interrupted_term = 0
        self._is_continuing = False
        self._latest_peer_era = -1
        own_term = Term(0, settings.vm, incarnation, str(settings.reports))
        self.leadership = Leadership(
            own_term,
            log_service,
            clock,
            rng,
            self._claim_condition(can_lead),
            lambda: self._consumer.next,
            lambda: self._consumer.poll_now(),
        )
        self.ownership_cache = OwnershipCache(self.leadership, clock)
        self._era.changed.subscribe(self._handle_era)
        self.leadership.changed.subscribe(self._handle_term)
        self.ownership_cache.confirmed.subscribe(self._restored.record_confirmation)
        self._consumer = StreamConsumer(
            log_service,
            STATE_STREAM,
            clock,
            self.ownership_cache.apply_records,
            self.ownership_cache.apply_records,
            OWNERSHIP_READ_PAUSE_MS,
            OWNERSHIP_ATTEMPT_INTERVAL_MS,
            newest_only=True,
            rng=rng,
        )
        self._consumers = {**consumers, "ownership": self._consumer}

    @property
    def has_read_owners(self) -> bool:
        """Whether the ownership maps on the log have been read since the start."""
        return self._consumer.caught_up.is_set()

    @property
    def daemon_count(self) -> int:
        """How many daemons share the connections of backend servers, as far as is known."""
        return self._daemon_count.current or UNCOUNTED_DAEMONS

    @property
    def counted_daemons(self) -> int | None:
        """How many daemons a leader counted last, None if this daemon has heard of no count."""
        return self._daemon_count.current

    @property
    def awaits_count(self) -> bool:
        """Whether no leader has counted the daemons yet, and one may soon."""
        heard_at = max(self._last_ack_at, self.leadership.term_changed_at)
        is_leader_silent = self._clock.now() - heard_at >= COUNT_ACK_TIMEOUT_MS
        return self.counted_daemons is None and not is_leader_silent

    def record_key(self, service: str, key: int) -> None:
        """Count a request for *key*."""
        self._key_counts.setdefault(service, collections.Counter())[key] += 1

    def record_misrouted(self) -> None:
        """Read ownership soon, since a server that doesn't own a key hints at a missed update."""
        self._read_ownership_soon()

    def _read_ownership_soon(self) -> None:
        now = self._clock.now()
        if now - self._misrouted_read_at >= MISROUTED_READ_INTERVAL_MS:
            self._misrouted_read_at = now
            self._consumer.poll_now()

    async def start(self) -> None:
        """Open the UDP port for reports."""
        loop = asyncio.get_running_loop()
        address = (self._settings.reports.host, self._settings.reports.port)
        await loop.create_datagram_endpoint(lambda: self._protocol, local_addr=address)

    def jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return the background tasks to run."""
        return [
            self._consumer.run(),
            self.leadership.run(),
            self._send_reports(),
            self._run_controllers(),
        ]

    async def resign(self) -> None:
        """Resign the term, if held, so that another daemon takes over at once.

        While the log service is unavailable no daemon could take over, so this one keeps granting.
        """
        if self._is_resigning or not self.leadership.holds_term:
            return
        if not self.leadership.is_renewal_current:
            log.warning("term kept because the log is unavailable")
            return
        self._is_resigning = True
        term, addresses = self.leadership.current.number, self._membership.addresses
        self._stop_controllers()
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT_MS / 1_000):
                await self._resign_term()
        except TimeoutError:
            log.warning("term resignation timed out")
        # Reported as failing, so that a daemon that has not read the resignation claims the next
        # term without waiting for `LEADER_TIMEOUT_MS`.
        self._protocol.broadcast_ack(
            ReportAck(term, len(addresses), renewal_failing=True, settled=False), addresses
        )

    def close(self) -> None:
        """Stop the controllers and close the port."""
        self._stop_controllers()
        self._protocol.close()

    def _claim_condition(self, can_lead: Callable[[], bool]) -> Callable[[], bool]:
        return lambda: (
            can_lead()
            and self._consumer.caught_up.is_set()
            and self._consumer.is_current
            and not self._restored.defers_claim(SUCCESSION_DELAY_MS)
        )

    # Restorations of the log

    def _handle_era(self, era: int) -> None:
        """Note whether this daemon knows all grants when the log turns out to be restored."""
        self._restored.record_era(era)
        leadership = self.leadership
        since_renewal = self._clock.now() - leadership.renewed_at
        is_leader = leadership.holds_term and leadership.current.number == self._controlled_term
        knows_grants = is_leader and since_renewal < MAX_CONTINUATION_MS
        self._interrupted_term = self._controlled_term if knows_grants else 0

    def _handle_term(self, term: Term) -> None:
        """Stop the controllers of an earlier term before the new one has a lease."""
        if self._controlled_term and term.number != self._controlled_term:
            self._stop_controllers()

    async def _prepare_term(self) -> bool:
        """Return whether controllers may start in the term that has just been won.

        On a log that was restored, or may have been, a leader that led before goes on with its
        grants, and any other one waits until there are none.  On a new one, the era is confirmed at
        once, so that daemons that start from now on know the log.
        """
        self._is_continuing = False
        if self._prepared_term != self.leadership.current.number:
            self._prepared_term = self.leadership.current.number
            self._inherited = self._create_inherited_grants()
        was_doubtful = self._restored.is_doubtful
        succeeded = self.leadership.succeeded_term
        self._is_continuing = was_doubtful and 0 < succeeded == self._interrupted_term
        if not self._is_continuing and self._restored.remaining:
            self._log_wait()
            return False
        try:
            if was_doubtful:
                await self._write_maps()
            if not self._is_continuing:
                await self._confirm_era()
        except NotLeading as error:
            log.info("term ended before its start", extra={"why": str(error)})
            return False
        if was_doubtful:
            fields = {
                "era": self._era.current,
                "term": self.leadership.current.number,
                "continued": self._is_continuing,
                "wait_ms": self._restored.remaining,
            }
            log.warning("ownership written again after a restoration", extra=fields)
        return self.leadership.has_valid_lease()

    def _log_wait(self) -> None:
        """Log once for each term that unknown grants are awaited."""
        term = self.leadership.current.number
        if term == self._awaited_term:
            return
        self._awaited_term = term
        fields = {
            "era": self._era.current,
            "term": term,
            "restored": self._restored.is_restored,
            "wait_ms": self._restored.remaining,
        }
        log.warning("no keys granted until unknown grants have ended", extra=fields)

    async def _write_maps(self) -> None:
        """Write the maps again under numbers of the log's era, with new fences if not continuing.

        Raises NotLeading if the term ends first.
        """
        for service, ownership in self.ownership_cache.maps.items():
            ownership = ownership.start_above(self._era.first_number)
            if not self._is_continuing:
                ownership = ownership.restart()
            await self._write_map(service, ownership.with_revision(ownership.revision + 1))

    async def _write_map(self, service: str, ownership: OwnershipMap) -> None:
        value = ownership.encode()
        await self.leadership.append(map_key(service), value)
        self.ownership_cache.apply_map(service, value)
        term = self.leadership.current.number
        update = OwnershipUpdate(term, service, ownership.revision, value)
        self._protocol.broadcast_update(update, self._membership.addresses)

    async def _confirm_era(self) -> None:
        """Record on the log that its maps show all grants, unless it says so."""
        era = self._era.current
        if era is None or self._restored.is_confirmed:
            return
        await self.leadership.append(ERA_KEY, encode_era(era))
        self._restored.record_confirmation(era)
        log.info("era confirmed", extra={"era": era, "term": self.leadership.current.number})

    async def _end_continuation(self) -> None:
        """Confirm the era once no unknown grant can be valid any more."""
        if self._is_continuing and not self._restored.remaining:
            try:
                await self._confirm_era()
            except NotLeading as error:
                log.info("term ended before the confirmation", extra={"why": str(error)})
            self._is_continuing = False

    def _record_doubt(self, era: int | None) -> None:
        """Stop granting if another daemon has seen a restoration that this one hasn't."""
        was_doubtful = self._restored.is_doubtful
        self._restored.record_doubt(era)
        if self._restored.is_doubtful and not was_doubtful and self._controlled_term:
            log.warning("controllers stopped after a restoration", extra={"era": era})
            self._stop_controllers()

    def _may_change(self) -> bool:
        return not self._restored.is_doubtful

    def _observe_peer_era(self, era: int | None) -> None:
        """Read now if a peer has seen a later era of the log; its responses then show it here."""
        if era is None or era <= max(self._latest_peer_era, self._era.current or -1):
            return
        self._latest_peer_era = era
        for consumer in self._consumers.values():
            consumer.poll_now()

    # Range controllers

    async def _run_controllers(self) -> None:
        """Run one controller for each keyed service while this daemon leads.

        A term in which a controller failed is resigned.
        """
        while True:
            self._check_controllers()
            if self.leadership.holds_term and self._failed_term == self.leadership.current.number:
                await self._resign_term()
            elif self.leadership.has_valid_lease():
                if not self._is_resigning:
                    await self._start_controllers()
                    await self._end_continuation()
            elif not self.leadership.holds_term:
                self._stop_controllers()
            await self._clock.sleep(LEADERSHIP_CHECK_INTERVAL_MS)

    async def _start_controllers(self) -> None:
        term = self.leadership.current.number
        if term != self._controlled_term:
            self._stop_controllers()
            if not await self._prepare_term() or term != self.leadership.current.number:
                return
            self._start_term(term)
        for service in self._keyed_services():
            if service not in self._controller_tasks and self.ownership_cache.is_readable(service):
                controller = self._create_controller(service)
                self._controllers[service] = controller
                self._controller_tasks[service] = asyncio.create_task(controller.run())

    def _check_controllers(self) -> None:
        """Stop all controllers if one has failed."""
        for service, task in self._controller_tasks.items():
            if task.done() and not task.cancelled() and task.exception() is not None:
                fields = {"service": service, "term": self._controlled_term}
                log.error(
                    "controller failed; resigning the term", extra=fields, exc_info=task.exception()
                )
                self._failed_term = self._controlled_term
                self._stop_controllers()
                return

    def _stop_controllers(self) -> None:
        if self._controlled_term:
            extended_grants_remaining = max(
                (item.extended_grants_remaining for item in self._controllers.values()), default=0
            )
            valid_until = self._clock.now() + extended_grants_remaining
            self._ended_term = EndedTerm(
                self._controlled_term,
                self._inherited.arrive_by,
                max(valid_until, self._inherited.valid_until),
            )
        for task in self._controller_tasks.values():
            task.cancel()
        self._controller_tasks.clear()
        self._controllers.clear()
        self._controlled_term = 0

    async def _resign_term(self) -> None:
        """Resign the term, whose controllers have been stopped, and state what grants remain."""
        ended, now = self._ended_term, self._clock.now()
        if ended.number != self.leadership.current.number:
            # Nothing was controlled in the term, so that only earlier leaders may have sent grants.
            inherited = self._create_inherited_grants()
            term = self.leadership.current.number
            ended = EndedTerm(term, inherited.arrive_by, inherited.valid_until)
        await self.leadership.resign(
            max(0, ended.valid_until - now), max(0, ended.sends_until - now)
        )

    def _create_inherited_grants(self) -> InheritedGrants:
        return InheritedGrants(self._clock, grant_timings(self._settings.max_hold))

    def _start_term(self, term: int) -> None:
        """Note what is known of the grants of earlier leaders when *term* starts."""
        self._controlled_term = term
        if not self.ownership_cache.has_maps:
            # Maps are written before keys are granted.
            self._inherited.clear()
        for previous in (self.leadership.resigned_term, self._notified_term):
            if previous.number == term - 1 > 0:
                self._inherited.cap(previous)
        first = 0 if self._restored.has_former_era else self._era.first_term + 1
        self.permit_channel.start_term(first)

    def _create_controller(self, service: str) -> RangeController:
        history = OwnershipHistory()

        async def save(ownership: OwnershipMap) -> None:
            if self._restored.is_doubtful:
                raise NotLeading("the log was restored")
            await self._confirm_era()
            value = ownership.encode()
            await self.leadership.append(map_key(service), value)
            change = history.record(self.ownership_cache.find(service), ownership)
            self.ownership_cache.apply_map(service, value)
            term = self.leadership.current.number
            update = (
                OwnershipChangeNotice(term, service, change)
                if change
                else OwnershipUpdate(term, service, ownership.revision, value)
            )
            self._protocol.broadcast_update(update, self._membership.addresses)

        planner: type[BalancedPlanner] = registry.find("range_planner", PLANNER_NAME)
        return RangeController(
            service,
            self.leadership,
            self._directory,
            self._grant_client,
            planner(),
            self._clock,
            self._settings.max_hold,
            self.ownership_cache.find(service).start_above(self._era.first_number),
            functools.partial(self.ownership_cache.moving_since, service),
            save,
            self._limits,
            self._inherited,
            self._may_change,
        )

    # Reports

    async def _send_reports(self) -> None:
        """Send this daemon's load reports to the leader."""
        has_reported = False
        while True:
            due_at = self._clock.now() + REPORT_PERIOD_MS
            if not has_reported:
                has_reported = await self._send_first_report(due_at)
            await self._clock.sleep_until(due_at)
            if self._clock.now() - self._last_ack_at > ACK_TIMEOUT_MS:
                self._consumer.set_pause(OWNERSHIP_READ_PAUSE_MS)
                for consumer in self._consumers.values():
                    consumer.mark_isolated()
            term = self.leadership.current
            self._update_poll_modes(term)
            self._notify_previous_leader(term)
            self._report(term)

    async def _send_first_report(self, deadline: int) -> bool:
        """Report at once if a leader is known before *deadline*, and return whether one is.

        It counts this daemon from then on.  Later reports keep their own times, so that those of
        all daemons don't arrive at once.
        """
        while self._clock.now() < deadline:
            term = self.leadership.current
            if term.report_address and not term.resigned:
                self._report(term)
                return True
            await self._clock.sleep(LEADERSHIP_CHECK_INTERVAL_MS)
        return False

    def _report(self, term: Term) -> None:
        """Send this daemon's load reports to the leader of *term*, if it has one."""
        if not term.report_address or term.resigned:
            return
        for report in self._create_reports(term.number):
            if term.incarnation == self._incarnation:
                self._handle_local_ack(self._handle_report(report, None))
            else:
                self._protocol.send(report, term.report_address)

    def _update_poll_modes(self, term: Term) -> None:
        """Let the leader poll often the streams whose offsets it acknowledges."""
        is_leading = term.incarnation == self._incarnation and not term.resigned
        for name in self._offsets():
            self._consumers[name].set_leading(is_leading)

    def _notify_previous_leader(self, term: Term) -> None:
        """Report *term* to the previous leader, which may be unable to read the log."""
        if term.number == self._last_notified_term:
            return
        previous_address, self._last_notified_term = self._last_report_address, term.number
        self._last_report_address = term.report_address
        if previous_address and previous_address != term.report_address:
            report = LoadReport(
                self._settings.vm,
                self._incarnation,
                term.number,
                failure_domain=self._settings.failure_domain,
            )
            self._protocol.send(report, previous_address)

    def _create_reports(self, term: int) -> list[LoadReport]:
        counts, self._key_counts = self._key_counts, {}
        popped = self._stats.pop_service_times()
        # What keys a server can own depends on how slow its machine is, too.
        times_by_server = {
            name: ServiceTimeStats(samples, round(mean, 2))
            for name, (samples, mean, _) in popped.items()
        }
        usual_times = {
            name: ServiceTimeStats(samples, round(usual_mean, 2))
            for name, (samples, _, usual_mean) in popped.items()
        }
        vm, incarnation = self._settings.vm, self._incarnation
        domain = self._settings.failure_domain
        limits = self._limits.notices(self._clock.now())
        reports = []
        for service in self._keyed_services():
            listed = {entry.id for entry in self._directory.of_service(service)}
            service_times = {name: row for name, row in times_by_server.items() if name in listed}
            keys = dict(counts.get(service, {}))
            reports.append(
                LoadReport(
                    vm, incarnation, term, service, keys, service_times, self._offsets(), domain
                )
            )
        if not reports:
            reports = [
                LoadReport(vm, incarnation, term, offsets=self._offsets(), failure_domain=domain)
            ]
        leaving = self._directory.announced_departures[-LEAVING_PER_REPORT:]
        is_uncounted = self.counted_daemons is None
        reports = [
            dataclasses.replace(
                report,
                uncounted=is_uncounted,
                era=self._era.current,
                restored=self._restored.is_restored and self._restored.remaining > 0,
            )
            for report in reports
        ]
        servers = {**self._unkeyed_times(usual_times), **reports[0].servers}
        reports[0] = dataclasses.replace(
            reports[0],
            servers=servers,
            limits=limits,
            leaving=leaving,
            unreached=self._cold_servers.notices(),
        )
        return reports

    def _unkeyed_times(
        self, times_by_server: Mapping[str, ServiceTimeStats]
    ) -> dict[str, ServiceTimeStats]:
        """Return the times of servers of services without keys."""
        keyed = self._keyed_services()
        found = {name: self._directory.find(name) for name in times_by_server}
        return {
            name: times_by_server[name]
            for name, entry in found.items()
            if entry is not None and entry.service not in keyed
        }

    def _offsets(self) -> dict[str, int]:
        """Return the next offset of each stream, except ownership, which arrives by datagram."""
        consumers = self._consumers.items()
        return {name: item.next for name, item in consumers if item is not self._consumer}

    def _count_datagram(
        self, purpose: TrafficPurpose, address: tuple[str, int], sent: int, received: int
    ) -> None:
        self._traffic.add(purpose, self._membership.failure_domain(address), sent, received)

    def _handle_report(
        self, report: LoadReport, address: tuple[str, int] | None
    ) -> ReportAck | TermEndNotice | None:
        self._observe_peer_era(report.era)
        if report.restored and not self._restored.is_confirmed:
            self._record_doubt(report.era)
        self.leadership.observe_term(report.term)
        if not self.leadership.holds_term and self._controlled_term:
            self._stop_controllers()
        if not self.leadership.has_valid_lease() or report.term != self.leadership.current.number:
            return self._respond_after_term(report.term)
        now = self._clock.now()
        self._limits.merge(report.limits, now)
        self._failure_tally.record(report.vm, report.unreached, now)
        for incarnation in report.leaving:
            self._directory.record_leaving(incarnation)
        led_for = now - self.leadership.won_at
        self._membership.record_report(report.vm, led_for, not report.uncounted)
        if address is not None:
            self._membership.record_address(report.vm, address, report.failure_domain)
            self._observe_peer_offsets(report.offsets, report.era)
        controller = self._controllers.get(report.service)
        if controller is not None:
            controller.key_load.add(report.keys)
            for server, row in report.servers.items():
                controller.service_times.add(server, row.samples, row.mean)
        for server, row in self._unkeyed_times(report.servers).items():
            self._service_time_table.add(server, row.samples, row.mean)
        renewal_failing = self.leadership.is_renewal_failing
        return ReportAck(
            report.term,
            self._membership.count,
            renewal_failing,
            self._offsets(),
            self.ownership_cache.revisions,
            self._limits.notices(now),
            self._membership.is_count_settled(report.vm, led_for),
            self._service_time_table.due_for(report.vm, self._membership.count),
            self._failure_tally.confirmed(now),
            self._era.current,
        )

    def _respond_after_term(self, reported_term: int) -> TermEndNotice | None:
        """Return the notice of this daemon's latest term, if it ended before *reported_term*."""
        ended, now = self._ended_term, self._clock.now()
        if not 0 < ended.number < reported_term:
            return None
        return TermEndNotice(
            ended.number, max(0, ended.valid_until - now), max(0, ended.sends_until - now)
        )

    def _find_leader_address(self) -> str | None:
        """Return the address of another daemon that leads, None if there is none."""
        term = self.leadership.current
        is_other = bool(term.report_address) and term.incarnation != self._incarnation
        return term.report_address if is_other and not term.resigned else None

    def _handle_term_end_notice(self, notice: TermEndNotice) -> None:
        """Cap the inherited grants after the previous leader stopped."""
        if (
            notice.term != self.leadership.current.number - 1
            or self._notified_term.number == notice.term
        ):
            return
        now = self._clock.now()
        self._notified_term = EndedTerm(
            notice.term, now + notice.sending_remaining, now + notice.extended_grants_remaining
        )
        fields = {
            "term": notice.term,
            "long_for_ms": notice.extended_grants_remaining,
            "sending_for_ms": notice.sending_remaining,
        }
        log.info("previous leader stopped", extra=fields)
        if self._controlled_term == self.leadership.current.number:
            self._inherited.cap(self._notified_term)
            for controller in self._controllers.values():
                controller.apply_inherited_bounds()

    def _handle_local_ack(self, ack: ReportAck | TermEndNotice | None) -> None:
        if isinstance(ack, ReportAck):
            self._handle_ack(ack)

    def _handle_ack(self, ack: ReportAck) -> None:
        self.leadership.record_heartbeat(ack.term, ack.renewal_failing)
        self._last_ack_at = self._clock.now()
        if ack.term == self.leadership.current.number:
            self.permit_channel.record_ack(ack.limits is not None)
            self._record_count(ack)
        self._limits.merge(ack.limits or (), self._clock.now())
        self._stats.record_shared_times(ack.service_times)
        self._cold_servers.merge(ack.unreached, self._directory.latest_entry)
        self._observe_peer_era(ack.era)
        self._observe_peer_offsets(ack.offsets, ack.era)
        self._observe_revisions(ack.revisions)

    def _record_count(self, ack: ReportAck) -> None:
        if ack.settled is not None:
            self._daemon_count.record(ack.daemon_count, ack.settled)
            return
        known_for = self._clock.now() - self.leadership.term_changed_at
        self._daemon_count.record(ack.daemon_count, known_for > 2 * REPORT_PERIOD_MS)

    def _observe_peer_offsets(self, offsets: Mapping[str, int], era: int | None) -> None:
        """Compare a peer's offsets with those of this daemon's consumers.

        Offsets of a former era say nothing.
        """
        if era != self._era.current and (era is not None or self._era.restorations):
            return
        for name, consumer in self._consumers.items():
            consumer.observe_peer_offset(offsets.get(name, 0))

    def _observe_revisions(self, revisions: Mapping[str, int]) -> None:
        """Read ownership from the log if the leader's maps have been newer for two reports.

        A map that has just changed arrives by datagram.
        """
        own = self.ownership_cache.revisions
        behind = {name: item for name, item in revisions.items() if own.get(name, 0) < item}
        if any(own.get(name, 0) < item for name, item in self._revisions_behind.items()):
            self._read_ownership_soon()
        self._revisions_behind = behind
        if revisions:
            self._consumer.set_pause(ASSISTED_OWNERSHIP_READ_PAUSE_MS)

    def _handle_update(self, update: OwnershipUpdate) -> None:
        if update.term >= self.leadership.current.number:
            self.ownership_cache.apply_map(update.service, update.ownership)

    def _handle_change(self, notice: OwnershipChangeNotice) -> None:
        if notice.term >= self.leadership.current.number:
            is_current = self.ownership_cache.apply_change(notice.service, notice.change)
            if not is_current:
                self._read_ownership_soon()
