"""What a daemon knows of the number of daemons when it says that it is ready."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import heapq
import itertools
import logging
import random
from collections.abc import Callable

import pytest
from aiohttp import web

from fuchsiatrack.gateway import daemon as daemon_module
from fuchsiatrack.gateway.rangeservice import RangeService
from fuchsiatrack.peers.daemoncount import DaemonCount
from fuchsiatrack.peers.loadreports import (
    MEMBER_TIMEOUT_MS,
    REPORT_PERIOD_MS,
    MembershipTracker,
    ReportAck,
)
from fuchsiatrack.ranges.leadership import Leadership
from tests.fleet import Fleet, route, run_fleet
from tests.test_ranges import ManualClock

PATIENT = {"Timeout": "20000ms", "TargetLatency": "15000ms"}
READS = route("reads", "/reads/", "safe", "catalogue", **PATIENT)
KEYED = route("stock", "/stock/", "safe", "stock", **PATIENT)
DAEMONS = 9
SERVERS = 4
# Enough for each server to be selected for several.
REQUESTS = 100
# Of a counted daemon at all servers of a service: its initial limit is below its share.
ADMITTED = 16
TIMEOUT_S = 20.0


@pytest.fixture
async def fleet():
    """Yield a fleet with servers of 8 slots, whose requests wait for `release`, without daemons."""
    async with run_fleet() as running:
        running.release = asyncio.Event()

        async def respond(request: web.BaseRequest, headers: dict[str, str]) -> web.Response:
            await running.release.wait()
            return web.Response(headers=headers, text="served")

        running.publish(1, [READS, KEYED], sharded=("stock",))
        for service in ("catalogue", "stock"):
            for index in range(SERVERS):
                server = await running.add_server(
                    f"{service}-{index}", service, keyed=service == "stock", slots=8
                )
                server.response_handler = respond
        yield running


class TestReadyDaemon:
    """A daemon that says that it is ready has its share of the servers."""

    @pytest.mark.parametrize("service", ["catalogue", "stock"])
    async def test_daemon_that_joins_serves_as_many_requests_as_the_others(
        self, fleet: Fleet, service: str
    ):
        for index in range(DAEMONS - 1):
            await fleet.add_daemon(f"entry-{index}")
        await fleet.wait_led()
        await fleet.add_daemon("joined")
        await fleet.wait_ready()
        await _check_share(fleet, "joined", service)

    @pytest.mark.parametrize("service", ["catalogue", "stock"])
    async def test_daemon_that_starts_again_serves_as_many_requests_as_the_others(
        self, fleet: Fleet, service: str
    ):
        for index in range(DAEMONS):
            await fleet.add_daemon(f"entry-{index}")
        await fleet.wait_led()
        leaders = [vm for vm, daemon in fleet.daemons.items() if _leads(daemon)]
        restarted = next(vm for vm in fleet.daemons if vm not in leaders)
        await fleet.kill_daemon(restarted)
        await fleet.add_daemon(restarted)
        await fleet.wait_ready()
        await _check_share(fleet, restarted, service)

    @pytest.mark.parametrize("service", ["catalogue", "stock"])
    async def test_daemons_that_start_together_serve_as_many_requests(
        self, fleet: Fleet, service: str
    ):
        await asyncio.gather(*(fleet.add_daemon(f"entry-{index}") for index in range(DAEMONS)))
        await fleet.wait_ready()
        await _check_share(fleet, f"entry-{DAEMONS - 1}", service)


class TestWithoutCount:
    """Readiness depends neither on a leader that isn't there nor on its count."""

    async def test_daemon_is_ready_beside_a_leader_that_is_gone(self, fleet: Fleet, monkeypatch):
        """It reads the owners from the log, and can serve."""
        await fleet.add_daemon("leader")
        await fleet.wait_led()
        await fleet.kill_daemon("leader")
        daemon = await fleet.add_daemon("entry-1")
        leadership = daemon._range_service.leadership
        monkeypatch.setattr(leadership, "_can_lead", lambda: False)
        await fleet.wait_ready()
        assert daemon._range_service.counted_daemons is None
        assert not leadership.holds_term

    async def test_daemon_is_ready_beside_a_leader_that_never_counts_it(
        self, fleet: Fleet, monkeypatch
    ):
        monkeypatch.setattr(
            MembershipTracker, "is_count_settled", lambda *arguments, **options: False
        )
        await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        assert fleet.daemons["entry-1"]._range_service.counted_daemons is None

    async def test_daemon_is_counted_by_a_leader_of_an_earlier_build(
        self, fleet: Fleet, monkeypatch
    ):
        """Guards against daemons without their share while a build is rolled out."""
        encode = ReportAck.encode

        def encode_as_before(ack: ReportAck) -> bytes:
            return encode(dataclasses.replace(ack, settled=None))

        monkeypatch.setattr(ReportAck, "encode", encode_as_before)
        await fleet.add_daemon("leader")
        await fleet.wait_led()
        daemon = await fleet.add_daemon("entry-1")
        await fleet.wait_led()
        assert daemon._range_service.counted_daemons == 2

    async def test_daemon_serves_while_it_waits_for_the_count(self, fleet: Fleet, monkeypatch):
        """Guards against a site without service when all of its daemons start again at once."""
        monkeypatch.setattr(daemon_module, "COUNT_WAIT_MAX_MS", 60_000)
        monkeypatch.setattr(RangeService, "awaits_count", True)
        fleet.release.set()
        daemon = await fleet.add_daemon("entry-1")
        await _wait_for(lambda: daemon.can_serve)
        assert (await fleet.call("/reads/"))[0] == 200
        assert not daemon.is_ready

    async def test_daemon_stays_ready_when_the_leader_is_silent_later(self, fleet: Fleet):
        """Guards against a site whose daemons all say that they aren't ready after a takeover."""
        await fleet.add_daemon("leader")
        await fleet.wait_led()
        daemon = await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        await fleet.kill_daemon("leader")
        await _wait_for(daemon._range_service.leadership.has_valid_lease)
        assert daemon.is_ready


class TestNewLeader:
    """Daemons take no count from a leader that hasn't heard of all of them."""

    async def test_count_of_a_term_that_took_long_to_begin_lacks_no_daemon(
        self, fleet: Fleet, monkeypatch, caplog
    ):
        """Guards against shares of a count of those that reported first."""
        for index in range(4):
            await fleet.add_daemon(f"entry-{index}")
        await fleet.wait_led()
        services = {vm: daemon._range_service for vm, daemon in fleet.daemons.items()}
        await _wait_for(lambda: all(item.counted_daemons == 4 for item in services.values()))
        caplog.set_level(logging.INFO)
        begin_term = Leadership._begin_term

        async def begin_late(leadership: Leadership) -> None:
            await asyncio.sleep(2)
            await begin_term(leadership)

        monkeypatch.setattr(Leadership, "_begin_term", begin_late)
        leader = next(vm for vm, daemon in fleet.daemons.items() if _leads(daemon))
        await fleet.kill_daemon(leader)
        services.pop(leader)
        await _wait_for(lambda: all(item.counted_daemons == 3 for item in services.values()))
        counts = [getattr(item, "daemons", None) for item in caplog.records]
        assert {count for count in counts if count is not None} == {3}


class Member:
    """A daemon that reports to the leader; times in milliseconds."""

    def __init__(self, vm: str, phase: int, clock: ManualClock) -> None:
        self.vm = vm
        self.phase = phase
        self.daemon_count = DaemonCount()
        self.membership = MembershipTracker(clock)
        self.lost_last = False


class CountFleet:
    """Daemons that are counted by leaders that change, in virtual time.

    They start, end and start again at any moment, and one of them leads.  A share of the
    datagrams is lost, but never two of one daemon in a row.
    """

    def __init__(self, seed: int, loss: float) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.loss = loss
        self.members: dict[str, Member] = {}
        self.leader: str | None = None
        self.won_at = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def counted_shares(self) -> float:
        """The sum of the shares of all counted daemons, 1 if it is all that is shared.

        Each uncounted one adds the smallest share that there is.
        """
        counts = [item.daemon_count.current for item in self.members.values()]
        return sum(1 / count for count in counts if count is not None)

    def start(self, vm: str) -> None:
        """Start a daemon, which reports at once and then in its own phase."""
        member = Member(vm, self.rng.randrange(REPORT_PERIOD_MS), self.clock)
        self.members[vm] = member
        self.after(self.rng.randint(20, 80), lambda: self._report(member))
        self.after(REPORT_PERIOD_MS + member.phase, lambda: self._report_always(member))

    def kill(self, vm: str) -> None:
        """End a daemon; another leads 1 to 3 s later if it was the leader."""
        del self.members[vm]
        if vm == self.leader:
            self.leader = None
            self.after(self.rng.randint(1_000, 3_000), self._take_over)

    def resign(self) -> None:
        """End the term of the leader; any daemon, also the same one, leads soon after."""
        self.leader = None
        self.after(self.rng.randint(100, 500), self._take_over)

    def after(self, delay: int, action: Callable[[], None]) -> None:
        """Run *action* in *delay* milliseconds."""
        heapq.heappush(self._events, (self.clock.time + delay, next(self._numbers), action))

    def run(self, until: int) -> float:
        """Run all events until *until* and return the largest sum of counted shares."""
        worst = 0.0
        while self._events and self._events[0][0] <= until:
            self.clock.time, _, action = heapq.heappop(self._events)
            action()
            worst = max(worst, self.counted_shares)
        return worst

    def _take_over(self) -> None:
        if not self.members:
            self.after(500, self._take_over)
            return
        self.leader = self.rng.choice(sorted(self.members))
        self.won_at = self.clock.time

    def _report_always(self, member: Member) -> None:
        if self.members.get(member.vm) is member:
            self._report(member)
            self.after(REPORT_PERIOD_MS, lambda: self._report_always(member))

    def _report(self, member: Member) -> None:
        member.lost_last = not member.lost_last and self.rng.random() < self.loss
        if not member.lost_last:
            is_counted = member.daemon_count.current is not None
            self.after(self.rng.randint(1, 5), lambda: self._acknowledge(member, is_counted))

    def _acknowledge(self, member: Member, is_counted: bool) -> None:
        if self.leader is None:
            return
        membership, led_for = self.members[self.leader].membership, self.clock.time - self.won_at
        membership.record_report(member.vm, led_for, is_counted)
        is_settled = membership.is_count_settled(member.vm, led_for)
        count = membership.count
        self.after(self.rng.randint(1, 5), lambda: member.daemon_count.record(count, is_settled))


class TestCountedDaemons:
    """No count that a daemon uses is too small."""

    @pytest.mark.parametrize("loss", [0.0, 0.2])
    @pytest.mark.parametrize("seed", range(20))
    def test_counted_shares_never_exceed_what_is_shared(self, seed: int, loss: float):
        """Guards against shares that a daemon takes before the others have heard of it."""
        fleet = CountFleet(seed, loss)
        vms = [f"vm-{index}" for index in range(fleet.rng.choice([3, 9, 30]))]
        for vm in vms:
            fleet.after(fleet.rng.randrange(2_000), functools.partial(fleet.start, vm))
        fleet.after(fleet.rng.randint(1, 3_000), fleet._take_over)
        for at in range(4_000, 60_000, 500):
            fleet.after(at, lambda: _disturb(fleet, vms))
        assert fleet.run(60_000) <= 1.0 + 1e-9
        # What remains is counted and shared out again.
        for vm in vms:
            if vm not in fleet.members:
                fleet.start(vm)
        fleet.run(70_000)
        assert fleet.counted_shares == pytest.approx(1.0)

    def test_restarted_daemon_is_counted_at_once(self):
        clock = ManualClock()
        membership = MembershipTracker(clock)
        for clock.time in (0, 300, 600, 900):
            membership.record_report("vm-1")
        clock.time = 900 + MEMBER_TIMEOUT_MS
        membership.record_report("vm-1")
        assert membership.is_count_settled("vm-1", led_for=60_000)

    def test_daemon_that_was_not_counted_any_more_is_new(self):
        clock = ManualClock()
        membership = MembershipTracker(clock)
        for clock.time in (0, 300, 600, 900, 901 + MEMBER_TIMEOUT_MS):
            membership.record_report("vm-1")
        assert not membership.is_count_settled("vm-1", led_for=60_000)

    @pytest.mark.parametrize(("is_counted", "settles_after"), [(False, 700), (True, 1_400)])
    def test_leader_that_has_just_won_its_term_has_no_settled_count(
        self, is_counted: bool, settles_after: int
    ):
        """Guards against the count of a term that took long to begin, or of a leader's return.

        Daemons that a former leader has counted also have to hear of the first complete count.
        """
        clock = ManualClock()
        membership = MembershipTracker(clock)
        for clock.time in range(0, 6_000, 100):
            membership.record_report("vm-1", clock.time, is_counted)
        assert not membership.is_count_settled("vm-1", led_for=0)
        won_at = clock.time
        for clock.time in range(won_at, won_at + 2_000, 100):
            membership.record_report("vm-1", clock.time - won_at, is_counted)
            is_settled = membership.is_count_settled("vm-1", clock.time - won_at)
            assert is_settled == (clock.time - won_at >= settles_after)

    def test_count_that_is_not_settled_replaces_only_a_smaller_one(self):
        daemon_count = DaemonCount()
        daemon_count.record(9, is_settled=False)
        assert daemon_count.current is None
        daemon_count.record(9, is_settled=True)
        daemon_count.record(2, is_settled=False)
        assert daemon_count.current == 9
        daemon_count.record(12, is_settled=False)
        assert daemon_count.current == 12


def _disturb(fleet: CountFleet, vms: list[str]) -> None:
    """End the term, kill all daemons or one, or start one that doesn't run."""
    vm, kind = fleet.rng.choice(vms), fleet.rng.random()
    if kind < 0.2:
        fleet.resign()
    elif kind < 0.25:
        for running in tuple(fleet.members):
            fleet.kill(running)
        for stopped in vms:
            fleet.start(stopped)
    elif vm in fleet.members:
        fleet.kill(vm)
    else:
        fleet.start(vm)


async def _wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


async def _check_share(fleet: Fleet, vm: str, service: str) -> None:
    """Check that as many requests through *vm* as of a counted daemon reach the servers."""
    path = {"catalogue": "/reads/", "stock": "/stock/"}[service]
    keys = [index * 65_536 // REQUESTS if service == "stock" else None for index in range(REQUESTS)]
    calls = [asyncio.create_task(fleet.call(path, vm, key=key, deadline=19_000)) for key in keys]
    servers = [server for server in fleet.servers.values() if server.service == service]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(TIMEOUT_S):
            while sum(len(server.runs) for server in servers) < ADMITTED:
                await asyncio.sleep(0.02)
    admitted = {server.id: len(server.runs) for server in servers}
    fleet.release.set()
    statuses = [(await call)[0] for call in calls]
    assert admitted == {server.id: ADMITTED // SERVERS for server in servers}
    assert statuses == [200] * REQUESTS


def _leads(daemon) -> bool:
    return daemon._range_service.leadership.holds_term
