"""Everything of a daemon that has to do with who owns which keys."""

from __future__ import annotations

import asyncio
import collections
import functools
import logging
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from fuchsiatrack.control.keyedlog import KeyedLog, StreamFollower
from fuchsiatrack.directory.servers import ServerDirectory
from fuchsiatrack.gateway.serverstate import ServerStates
from fuchsiatrack.gateway.settings import GatewaySettings
from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.peers.loadreports import (
    REPORT_PERIOD,
    LastWord,
    LoadReport,
    Members,
    OwnershipUpdate,
    Reply,
    ReportChannel,
    ServerTimes,
)
from fuchsiatrack.ranges.book import OwnershipBook, map_key
from fuchsiatrack.ranges.controller import RangeController
from fuchsiatrack.ranges.granting import RangeGranter
from fuchsiatrack.ranges.ownership import OwnershipMap
from fuchsiatrack.ranges.planner import BalancedPlanner
from fuchsiatrack.ranges.records import STATE_STREAM, Term
from fuchsiatrack.ranges.term import Leadership

WATCH_PERIOD = 50
# Pause between reads of ownership from the log, in milliseconds; the leader's updates come by
# datagram, and the log is where a missed one is found.
OWNERSHIP_PAUSE = 3_000
# Least time between reads after requests that reached the wrong server, in milliseconds.
MISROUTED_PAUSE = 300
# Without a reply of the leader for this long, nobody tells of missed records, in milliseconds.
PEERS_TIMEOUT = 1_200
# Longest wait for the record of a resignation, in milliseconds: one append, within the time in
# which a stopping daemon takes requests anyway.
RESIGN_TIMEOUT = 1_000
PLANNER = "balanced"

log = logging.getLogger(__name__)


class RangeService:
    """Follows ownership, reports load, and controls all keyed services while it leads."""

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: str,
        log_service: KeyedLog,
        granter: RangeGranter,
        directory: ServerDirectory,
        states: ServerStates,
        clock: Clock,
        rng: random.Random,
        can_lead: Callable[[], bool],
        keyed_services: Callable[[], tuple[str, ...]],
        followers: Mapping[str, StreamFollower],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._granter = granter
        self._directory = directory
        self._states = states
        self._clock = clock
        self._keyed_services = keyed_services
        self._controllers: dict[str, RangeController] = {}
        self._control: dict[str, asyncio.Task] = {}
        self._controlled_term = 0
        self._is_resigning = False
        self._members = Members(clock)
        self._counts: dict[str, collections.Counter[int]] = {}
        self._channel = ReportChannel(
            self._take_report, self._take_reply, self._take_update, self._take_last_word
        )
        self._last_word: LastWord | None = None
        self._ended_at = 0
        self._former_ends: tuple[int, int] = (0, 0)
        self._heard_at = clock.now()
        self._misrouted_at = 0
        self._told_term = 0
        self._former_address = ""
        self._daemons = settings.expected_daemons
        me = Term(0, settings.vm, incarnation, str(settings.reports))
        self.leadership = Leadership(
            me,
            log_service,
            clock,
            rng,
            self._may_claim(can_lead),
            lambda: self._follower.next,
            lambda: self._follower.hurry(),
        )
        self.book = OwnershipBook(self.leadership, clock)
        self._follower = StreamFollower(
            log_service,
            STATE_STREAM,
            clock,
            self.book.take_listing,
            self.book.take_record,
            OWNERSHIP_PAUSE,
        )
        self._followers = {**followers, "ownership": self._follower}

    @property
    def daemons(self) -> int:
        """How many daemons share the limits of backend servers, as last counted by a leader."""
        return self._daemons

    def note_key(self, service: str, key: int) -> None:
        """Count a request for *key*."""
        self._counts.setdefault(service, collections.Counter())[key] += 1

    def note_misrouted(self) -> None:
        """Take in that a server doesn't hold a key, so that this daemon may lack an update."""
        now = self._clock.now()
        if now - self._misrouted_at >= MISROUTED_PAUSE:
            self._misrouted_at = now
            self._follower.hurry()

    async def start(self) -> None:
        """Open the port for reports."""
        loop = asyncio.get_running_loop()
        address = (self._settings.reports.host, self._settings.reports.port)
        await loop.create_datagram_endpoint(lambda: self._channel, local_addr=address)

    def jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return what has to run."""
        return [self._follower.run(), self.leadership.run(), self._report(), self._lead()]

    async def resign(self) -> None:
        """Give up leadership, if held, so that another daemon takes over at once.

        While the log doesn't answer nobody could take over, so that this daemon goes on granting.
        """
        if self._is_resigning or not self.leadership.is_mine:
            return
        if not self.leadership.is_confirmed:
            log.warning("term is kept, as the log doesn't answer")
            return
        self._is_resigning = True
        term, addresses = self.leadership.current.number, self._members.addresses
        self._stop_control()
        try:
            async with asyncio.timeout(RESIGN_TIMEOUT / 1_000):
                await self.leadership.resign(self._long_for())
        except TimeoutError:
            log.warning("term could not be resigned")
        self._channel.send_replies(Reply(term, len(addresses), faltering=True), addresses)

    def close(self) -> None:
        """Stop control and give back the port."""
        self._stop_control()
        self._channel.close()

    def _may_claim(self, can_lead: Callable[[], bool]) -> Callable[[], bool]:
        return lambda: can_lead() and self._follower.caught_up.is_set()

    # Control

    async def _lead(self) -> None:
        """Run one controller for each keyed service while this daemon leads."""
        while True:
            if self.leadership.may_act():
                if not self._is_resigning:
                    self._start_control()
            elif not self.leadership.is_mine:
                self._stop_control()
            await self._clock.sleep(WATCH_PERIOD)

    def _start_control(self) -> None:
        term = self.leadership.current.number
        if term != self._controlled_term:
            self._stop_control()
            self._controlled_term = term
        for service in self._keyed_services():
            if service not in self._control:
                controller = self._create_controller(service)
                self._controllers[service] = controller
                self._control[service] = asyncio.create_task(self._control_service(controller))

    async def _control_service(self, controller: RangeController) -> None:
        try:
            await controller.run()
        except Exception:
            log.exception("control failed; the term is given up")
            self._stop_control()
            await self.leadership.resign(self._long_for())

    def _stop_control(self) -> None:
        if self._controlled_term:
            ends = max((item.long_for for item in self._controllers.values()), default=0)
            self._last_word = LastWord(self._controlled_term, ends)
            self._ended_at = self._clock.now()
        for task in self._control.values():
            task.cancel()
        self._control.clear()
        self._controllers.clear()
        self._controlled_term = 0

    def _long_for(self) -> int:
        """Return for how long grants of the term that this daemon has just ended may last."""
        if self._last_word is None:
            return 0
        return max(0, self._last_word.long_for - (self._clock.now() - self._ended_at))

    def _create_controller(self, service: str) -> RangeController:
        async def save(ownership: OwnershipMap) -> None:
            value = ownership.encode()
            await self.leadership.append(map_key(service), value)
            self.book.take_map(service, value)
            term = self.leadership.current.number
            update = OwnershipUpdate(term, service, ownership.revision, value)
            self._channel.publish(update, self._members.addresses)

        planner: type[BalancedPlanner] = registry.find("range_planner", PLANNER)
        controller = RangeController(
            service,
            self.leadership,
            self._directory,
            self._granter,
            planner(),
            self._clock,
            self._settings.max_hold,
            self.book.find(service),
            functools.partial(self.book.moving_since, service),
            save,
        )
        former = max(self.leadership.former_long_for, self._former_ends)
        if former[0] == self.leadership.current.number - 1 > 0:
            controller.shorten_holds(max(0, former[1] - self._clock.now()))
        return controller

    # Reports

    async def _report(self) -> None:
        """Send this daemon's counts to the leader."""
        while True:
            await self._clock.sleep(REPORT_PERIOD)
            if self._clock.now() - self._heard_at > PEERS_TIMEOUT:
                for follower in self._followers.values():
                    follower.lose_peers()
            term = self.leadership.current
            self._tell_former_leader(term)
            if not term.report_address or term.resigned:
                continue
            for report in self._create_reports(term.number):
                if term.incarnation == self._incarnation:
                    self._take_reply_of(self._take_report(report, None))
                else:
                    self._channel.send(report, term.report_address)

    def _tell_former_leader(self, term: Term) -> None:
        """Tell the leader before this one that its term has ended, in case it can't read that."""
        if term.number == self._told_term:
            return
        former, self._told_term = self._former_address, term.number
        self._former_address = term.report_address
        if former and former != term.report_address:
            report = LoadReport(self._settings.vm, self._incarnation, term.number)
            self._channel.send(report, former)

    def _create_reports(self, term: int) -> list[LoadReport]:
        counts, self._counts = self._counts, {}
        times = {
            name: ServerTimes(samples, round(mean, 2))
            for name, (samples, mean) in self._states.take_times().items()
        }
        vm, incarnation = self._settings.vm, self._incarnation
        reports = []
        for service in self._keyed_services():
            listed = {entry.id for entry in self._directory.of_service(service)}
            own = {name: row for name, row in times.items() if name in listed}
            keys = dict(counts.get(service, {}))
            reports.append(LoadReport(vm, incarnation, term, service, keys, own, self._offsets()))
        return reports or [LoadReport(vm, incarnation, term, offsets=self._offsets())]

    def _offsets(self) -> dict[str, int]:
        """Return how far each stream was read, but for ownership, which comes by datagram."""
        followers = self._followers.items()
        return {name: item.next for name, item in followers if item is not self._follower}

    def _take_report(
        self, report: LoadReport, address: tuple[str, int] | None
    ) -> Reply | LastWord | None:
        self.leadership.hear_term(report.term)
        if not self.leadership.is_mine and self._controlled_term:
            self._stop_control()
        last_word = self._last_word
        if last_word is not None and last_word.term < report.term:
            return LastWord(last_word.term, self._long_for())
        if not self.leadership.may_act() or report.term != self.leadership.current.number:
            return None
        self._members.note(report.vm)
        if address is not None:
            self._members.note_address(report.vm, address)
            self._hear_offsets(report.offsets)
        controller = self._controllers.get(report.service)
        if controller is not None:
            controller.load.add(report.keys)
            for server, row in report.servers.items():
                controller.times.add(server, row.samples, row.mean)
        faltering = self.leadership.is_faltering
        return Reply(report.term, self._members.count, faltering, self._offsets())

    def _take_last_word(self, word: LastWord) -> None:
        """Take in that the leader before this one has stopped."""
        if word.term != self.leadership.current.number - 1 or self._former_ends[0] == word.term:
            return
        self._former_ends = (word.term, self._clock.now() + word.long_for)
        fields = {"term": word.term, "long_for_ms": word.long_for}
        log.info("leader before has stopped", extra=fields)
        for controller in self._controllers.values():
            controller.shorten_holds(word.long_for)

    def _take_reply_of(self, reply: Reply | LastWord | None) -> None:
        if isinstance(reply, Reply):
            self._take_reply(reply)

    def _take_reply(self, reply: Reply) -> None:
        self.leadership.hear_leader(reply.term, reply.faltering)
        self._heard_at = self._clock.now()
        self._hear_offsets(reply.offsets)
        # A leader that has just begun has not heard of every daemon yet.
        settled = self._clock.now() - self._leader_since() > 2 * REPORT_PERIOD
        if settled:
            self._daemons = max(1, reply.daemons)

    def _hear_offsets(self, offsets: Mapping[str, int]) -> None:
        """Compare how far a peer has read."""
        for name, follower in self._followers.items():
            follower.hear(offsets.get(name, 0))

    def _take_update(self, update: OwnershipUpdate) -> None:
        if update.term >= self.leadership.current.number:
            self.book.take_map(update.service, update.ownership)

    def _leader_since(self) -> int:
        return self.leadership.changed_at
