"""Moves between servers that don't check grants wait until the old owner can run no request."""

from __future__ import annotations

import asyncio

from fakes import NodeClock, run_virtual

from fuchsiatrack.control.routelease import RouteLeaseManager
from fuchsiatrack.kernel.clock import drift_upper_bound

LEASE_MS, MAX_REQUEST_MS, REVOKED_OFFSET = 2_000, 4_000, 50


class StubLeadership:
    """A leadership that has been active since its creation."""

    def __init__(self, clock):
        self.term = 7
        self.active_from = clock.now()
        self.is_leading = True

    def has_valid_lease(self):
        return self.is_leading


def scenario(steps):
    async def run():
        clock = NodeClock()
        leadership = StubLeadership(clock)
        await steps(
            RouteLeaseManager(leadership, clock, LEASE_MS, lambda: MAX_REQUEST_MS), leadership
        )

    run_virtual(run())


async def wait_until_earlier_leases_end():
    await asyncio.sleep((drift_upper_bound(LEASE_MS) + MAX_REQUEST_MS) / 1000)


class TestRouteLeaseManager:
    def test_new_leader_waits_until_earlier_leases_expire(self):
        async def steps(manager, leadership):
            assert not manager.is_drained("p", REVOKED_OFFSET)
            await wait_until_earlier_leases_end()
            assert manager.is_drained("p", REVOKED_OFFSET)

        scenario(steps)

    def test_waits_until_each_daemon_has_applied_the_move(self):
        async def steps(manager, leadership):
            await wait_until_earlier_leases_end()
            assert manager.renew("one", 7, REVOKED_OFFSET, ())
            assert manager.renew("two", 7, REVOKED_OFFSET - 1, ())
            assert not manager.is_drained("p", REVOKED_OFFSET)
            manager.renew("two", 7, REVOKED_OFFSET, ())
            assert manager.is_drained("p", REVOKED_OFFSET)

        scenario(steps)

    def test_waits_for_requests_that_may_still_run(self):
        async def steps(manager, leadership):
            await wait_until_earlier_leases_end()
            manager.renew("one", 7, REVOKED_OFFSET, ("p",))
            assert not manager.is_drained("p", REVOKED_OFFSET)
            assert manager.is_drained("q", REVOKED_OFFSET)

        scenario(steps)

    def test_lost_daemon_counts_until_its_requests_must_have_ended(self):
        async def steps(manager, leadership):
            await wait_until_earlier_leases_end()
            manager.renew("one", 7, REVOKED_OFFSET - 1, ())
            await asyncio.sleep(LEASE_MS / 1000)
            assert not manager.is_drained("p", REVOKED_OFFSET)
            await wait_until_earlier_leases_end()
            assert manager.is_drained("p", REVOKED_OFFSET)

        scenario(steps)

    def test_grants_no_lease_without_leadership_or_for_another_term(self):
        async def steps(manager, leadership):
            assert not manager.renew("one", 6, REVOKED_OFFSET, ())
            leadership.is_leading = False
            assert not manager.renew("one", 7, REVOKED_OFFSET, ())

        scenario(steps)
