"""What leaders leave to their successors: term records, notices, and grants that are valid."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable

import pytest

from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.peers.loadreports import TermEndNotice
from fuchsiatrack.ranges.grantrenewer import EXTENDED_GRANT_DURATION_MS, GRANT_DURATION_MS
from fuchsiatrack.ranges.inheritedgrants import GrantTimings, InheritedGrants
from fuchsiatrack.ranges.leadership import LEASE_DURATION_MS
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap
from fuchsiatrack.ranges.ownershipcache import map_key
from fuchsiatrack.ranges.records import STATE_STREAM, TERM_KEY, EndedTerm, Term
from tests.fakes import NodeClock, run_virtual
from tests.leaderfleet import Fate, LeaderFleet, _call_later, quiet, run_fleet
from tests.test_owner_incident import (
    FORMER_TERM,
    INCARNATIONS,
    SERVICE,
    Leader,
    OneLog,
    Servers,
    ServersClient,
    Site,
    Voter,
    _put,
)


class LateResignation:
    """A log that executes the first resignation `delay` milliseconds after the next claim."""

    def __init__(self, fleet: LeaderFleet, delay: int) -> None:
        self._append: Callable = fleet.log.append
        self._delay = delay
        self._resignation: tuple | None = None
        self.is_claimed = False
        fleet.log.append = self.append

    def append(self, stream, records, at=None, writer=None):
        """Append to the log, as `LogService.append`."""
        is_term = stream == STATE_STREAM and any(key == TERM_KEY for key, _ in records)
        if is_term and writer is not None and self._resignation is None:
            self._resignation = (stream, records, at, writer)
            return PlatformUnavailable("no response")
        response = self._append(stream, records, at, writer)
        if is_term and writer is None and not self.is_claimed:
            self.is_claimed = True
            _call_later(self._delay, lambda: self._append(*self._resignation))
        return response


async def _resign_late(repeats_first: bool) -> tuple[int, list[str]]:
    """Return for how many ms two daemons led after a late resignation, and the violations."""
    fleet = LeaderFleet(servers=6, repeats_first=repeats_first)
    try:
        await fleet.start()
        await fleet.wait(3_000)
        former = fleet.leader
        for name in fleet.daemons.keys() - {former.name}:
            # The fence follows the claim only after the late resignation.
            fleet.network.add_fate("append 0", name, Fate(response_delay=400))
        resignation = LateResignation(fleet, 100)
        former.spawn(former.service.resign())
        await fleet.wait(100)
        former.kill()
        fleet._ended.append(former)
        await fleet.wait_until(lambda: resignation.is_claimed, 10_000)
        await fleet.wait(1_500)
        # The new leader saves a move, reads its own record, and then pauses its reads.
        fleet.drain_server(fleet.running[0])
        await fleet.wait_until(lambda: fleet.log.end(STATE_STREAM) > 4, 5_000)
        await fleet.wait(500)
        await fleet.start_daemon(former.name)
        both_lead = 0
        for _ in range(1_000):
            await asyncio.sleep(0.01)
            services = [daemon.service for daemon in fleet.daemons.values()]
            leading = sum(item.leadership.has_valid_lease() for item in services)
            both_lead += 10 * (leading > 1)
        return both_lead, list(fleet.audit.violations)
    finally:
        await fleet.close()


class TestLateResignation:
    """A resignation that is executed after the next claim doesn't hide that claim."""

    @pytest.mark.parametrize("repeats_first", [True, False])
    def test_no_two_daemons_lead_at_once(self, repeats_first: bool):
        with quiet():
            both_lead, violations = run_fleet(_resign_late(repeats_first))
        assert not both_lead
        assert not violations


class SlowServersClient(ServersClient):
    """Servers that respond to grants after 500 ms; `sent` has the time and duration of each."""

    def __init__(self, servers: Servers) -> None:
        super().__init__(servers)
        self.sent: list[tuple[int, int]] = []

    async def grant(self, server, grant, timeout):
        self.sent.append((self._servers.clock.now(), grant.duration))
        await super().grant(server, grant, timeout)
        await asyncio.sleep(0.5)


class TestExtendedGrantsOfSeveralRanges:
    """What a leader reports covers each extended grant, however long it takes to send them."""

    def test_last_extended_grant_is_reported(self):
        async def run() -> None:
            site = Site()
            site.stop_leader()
            await site.wait(10)
            ranges = tuple(
                OwnedRange(index * 4_096, index * 4_096 + 4_095, INCARNATIONS[index % 4], 5)
                for index in range(16)
            )
            site.saved.append(OwnershipMap(ranges, 5, 5))
            site.start_leader()
            client = SlowServersClient(site.servers)
            site.controller._renewer._grant_client = client
            await site.wait(12_000)
            assert site.controller.extended_grants_remaining == 0
            site.leadership.is_lease_at_risk = True
            await site.wait(250)
            site.leadership.is_lease_at_risk = False
            await site.wait(2_500)
            ends = [sent_at + time for sent_at, time in client.sent if time > GRANT_DURATION_MS]
            remaining = max(ends) - site.clock.now()
            reported = site.controller.extended_grants_remaining
            site.stop_leader()
            assert reported >= remaining > 0

        run_virtual(run())


class TestTermWithAnUnreadableMap:
    """A leader that can't read a map passes on what earlier leaders may have granted by it."""

    @pytest.mark.parametrize("resigned", [True, False])
    def test_resignation_reports_what_the_term_inherited(self, resigned: bool):
        async def run() -> None:
            shared = OneLog(repeats_first=True)
            _put(shared, map_key(SERVICE), b"nonsense")
            long_for = 6_000 if resigned else 0
            former = dataclasses.replace(FORMER_TERM, resigned=resigned, long_for=long_for)
            _put(shared, TERM_KEY, former.encode())
            clock = NodeClock()
            started_at = clock.now()
            leader = Leader(shared, clock, Servers(clock), (SERVICE,))
            await leader.wait_leading()
            won_at = leader.service.leadership.won_at
            await leader.service.resign()
            records = shared.partition(STATE_STREAM).records
            term = Term.decode([item for item in records if item.key == TERM_KEY][-1].value)
            leader.close()
            ends_at = won_at + LEASE_DURATION_MS + EXTENDED_GRANT_DURATION_MS
            if resigned:
                ends_at = started_at + long_for
            assert term.long_for >= ends_at - clock.now()

        run_virtual(run())


class TestOwnTermThatEnded:
    """A daemon that has ended its term doesn't take it up again."""

    @pytest.mark.parametrize("repeats_first", [True, False])
    def test_record_that_is_read_again_does_not_revive_the_term(self, repeats_first: bool):
        async def run() -> None:
            voter = Voter(OneLog(repeats_first), "vm-1")
            await voter.wait_leading()
            record = voter.leadership.current.encode()
            voter.leadership.observe_term(2)
            voter.leadership.apply_term_record(record)
            assert not voter.leadership.holds_term
            await asyncio.sleep(0.5)
            assert not voter.leadership.has_valid_lease()
            for task in voter.tasks:
                task.cancel()

        run_virtual(run())


class TestNoticesOfOlderBuilds:
    """A notice without what the leader inherited says nothing of how long grants last."""

    def test_notice_without_earlier_leaders_caps_nothing(self):
        async def run() -> None:
            clock = NodeClock()
            inherited = InheritedGrants(clock, GrantTimings(2_500, 600, 4_000, 7_500))
            before = inherited.arrive_by, inherited.valid_until
            notice = TermEndNotice.decode(b'{"ended_term": 4, "long_for": 0}')
            now = clock.now()
            inherited.cap(
                EndedTerm(4, now + notice.sending_remaining, now + notice.extended_grants_remaining)
            )
            assert (inherited.arrive_by, inherited.valid_until) == before

        run_virtual(run())
