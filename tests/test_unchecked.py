"""Servers that don't check grants: a move waits until nothing can reach or run on the old owner."""

from __future__ import annotations

import asyncio

from fakes import NodeClock, run_virtual

from fuchsiatrack.control.routelease import RouteLeaseManager
from fuchsiatrack.kernel.clock import drift_upper_bound

LEASE, SETTLE, REVOKED = 2_000, 4_000, 50


class StubLeadership:
    """A leadership that has been entitled since its creation."""

    def __init__(self, clock):
        self.term = 7
        self.active_from = clock.now()
        self.acting = True

    def has_valid_lease(self):
        return self.acting


def scenario(steps):
    async def run():
        clock = NodeClock()
        leadership = StubLeadership(clock)
        await steps(RouteLeaseManager(leadership, clock, LEASE, lambda: SETTLE), leadership)

    run_virtual(run())


async def pass_takeover():
    await asyncio.sleep((drift_upper_bound(LEASE) + SETTLE) / 1000)


class TestRouteLeaseManager:
    def test_new_leader_waits_for_leases_of_the_old_one(self):
        async def steps(leases, leadership):
            assert not leases.is_drained("p", REVOKED)
            await pass_takeover()
            assert leases.is_drained("p", REVOKED)

        scenario(steps)

    def test_waits_until_each_daemon_has_applied_the_move(self):
        async def steps(leases, leadership):
            await pass_takeover()
            assert leases.renew("one", 7, REVOKED, ())
            assert leases.renew("two", 7, REVOKED - 1, ())
            assert not leases.is_drained("p", REVOKED)
            leases.renew("two", 7, REVOKED, ())
            assert leases.is_drained("p", REVOKED)

        scenario(steps)

    def test_waits_for_requests_that_may_still_run(self):
        async def steps(leases, leadership):
            await pass_takeover()
            leases.renew("one", 7, REVOKED, ("p",))
            assert not leases.is_drained("p", REVOKED)
            assert leases.is_drained("q", REVOKED)

        scenario(steps)

    def test_lost_daemon_counts_until_its_requests_have_ended(self):
        async def steps(leases, leadership):
            await pass_takeover()
            leases.renew("one", 7, REVOKED - 1, ())
            await asyncio.sleep(LEASE / 1000)
            assert not leases.is_drained("p", REVOKED)
            await pass_takeover()
            assert leases.is_drained("p", REVOKED)

        scenario(steps)

    def test_gives_no_lease_without_leadership_or_for_another_term(self):
        async def steps(leases, leadership):
            assert not leases.renew("one", 6, REVOKED, ())
            leadership.acting = False
            assert not leases.renew("one", 7, REVOKED, ())

        scenario(steps)
