"""How long keys have no holder after the loss or restart of their server, on virtual time."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiatrack.ranges.ownership import LAST_KEY
from tests.leaderfleet import RESTART_BOUND_MS, LeaderFleet, quiet, run_fleet

SAMPLE_KEYS = range(0, LAST_KEY, 911)


async def _restart_server(slots: int, phase: int, loses_leader: bool) -> None:
    """Restart a server under its id, and check that its keys have a holder in time."""
    fleet = LeaderFleet(3, 4, True)
    try:
        await fleet.start()
        await fleet.wait(6_000 + phase)
        process = fleet.find_server(0)
        keys = [key for key in SAMPLE_KEYS if process.holds(key)]
        if loses_leader:
            fleet.restart_daemon(fleet.leader, 9_000)
        fleet.stop_server(process)
        fleet.start_server(process.server, process.address, slots=slots)
        async with asyncio.timeout(10):
            while fleet.leader is None:
                await fleet.wait(10)
        await fleet.wait(RESTART_BOUND_MS)
        assert not [key for key in keys if not fleet.holders(key)]
        # Also while the keys are moved on to other servers.
        for _ in range(100):
            await fleet.wait(100)
            assert not [key for key in keys if len(fleet.holders(key)) > 1]
    finally:
        await fleet.close()


class TestRestartedServer:
    """Keys of a restarted server have a holder within 1.5 s once a leader knows of the restart."""

    @pytest.mark.parametrize("loses_leader", [False, True])
    @pytest.mark.parametrize("slots", [1, 4])
    @pytest.mark.parametrize("phase", [0, 300, 700])
    def test_keys_do_not_wait_for_an_earlier_leaders_lease(
        self, slots: int, phase: int, loses_leader: bool
    ):
        with quiet():
            run_fleet(_restart_server(slots, phase, loses_leader))
