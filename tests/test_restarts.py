"""What daemons know after a restart, and requests at servers that are silent meanwhile."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiatrack_standins.fleet.logservice import LogServiceMode
from tests.fleet import Fleet, route, run_fleet

ORDERS = route("orders", "/orders/", "unsafe", "booking", Timeout="6000ms")
READS = route("reads", "/reads/", "safe", "catalogue", Timeout="6000ms")
KEYED = route("stock", "/stock/", "safe", "stock")
KEYS = range(0, 65_536, 4_096)
CHANGE_TIMEOUT_S = 8.0


@pytest.fixture
async def fleet():
    """Yield a fleet with two daemons, three services and their servers."""
    async with run_fleet() as running:
        running.publish(1, [READS, ORDERS, KEYED], sharded=("stock",))
        for index in range(2):
            await running.add_server(f"booking-{index}", "booking")
            await running.add_server(f"catalogue-{index}", "catalogue")
            await running.add_server(f"stock-{index}", "stock", keyed=True)
        for index in range(2):
            await running.add_daemon(f"entry-{index}")
        await running.wait_ready()
        yield running


class TestRestart:
    """A restarted daemon doesn't go back to what has ended."""

    @pytest.mark.parametrize("is_history_lost", [False, True])
    async def test_server_that_left_gets_no_requests(self, fleet: Fleet, is_history_lost: bool):
        left = fleet.servers["booking-0"]
        left.withdraw()
        if is_history_lost:
            fleet.log_service.partition("keyed.servers").expire()
        await _restart_all(fleet)
        statuses = [(await fleet.call("/orders/", method="POST"))[0] for _ in range(8)]
        assert statuses == [200] * 8
        assert not left.runs

    async def test_server_that_lost_its_keys_gets_none_of_their_requests(self, fleet: Fleet):
        drained = fleet.servers["stock-0"]
        await _wait_for(lambda: drained.grants)
        drained.announce("draining")
        await _wait_for(lambda: not any(drained.owns(key) for key in KEYS))
        before = len(drained.grant_requests)
        await _restart_all(fleet)
        statuses = [(await fleet.call("/stock/", key=key))[0] for key in KEYS]
        assert statuses == [200] * len(KEYS)
        assert not drained.runs and len(drained.grant_requests) == before

    async def test_route_that_was_withdrawn_serves_no_request(self, fleet: Fleet):
        fleet.publish(2, [READS, KEYED], sharded=("stock",))
        await _wait_for(lambda: all(_version(fleet, vm) == 2 for vm in fleet.daemons))
        await _restart_all(fleet)
        assert (await fleet.call("/orders/", method="POST"))[0] == 404


class TestSilence:
    """Running work is neither repeated nor given up because a process is silent for a while."""

    @pytest.mark.parametrize(
        ("path", "method", "service"),
        [("/orders/", "POST", "booking"), ("/reads/", "GET", "catalogue")],
    )
    async def test_request_at_a_server_whose_entry_expires_is_finished_there(
        self, fleet: Fleet, path: str, method: str, service: str
    ):
        servers = [item for item in fleet.servers.values() if item.service == service]
        for server in servers:
            server.work_ms = 3_000
        call = asyncio.create_task(fleet.call(path, method=method, deadline=6_000))
        await _wait_for(lambda: any(server.runs for server in servers))
        [running] = [server for server in servers if server.runs]
        running.withdraw()
        status, _, _ = await call
        assert status == 200
        assert [len(server.runs) for server in servers if server.runs] == [1]

    async def test_owners_keep_their_keys_while_the_log_service_is_silent(self, fleet: Fleet):
        await _wait_for(lambda: all(_owners(fleet).values()))
        before = _owners(fleet)
        fleet.log_service.mode = LogServiceMode.UNRESPONSIVE
        # Longer than the entries of servers last without being renewed.
        await asyncio.sleep(6)
        statuses = [(await fleet.call("/stock/", key=key))[0] for key in KEYS]
        fleet.log_service.mode = LogServiceMode.SERVING
        assert statuses == [200] * len(KEYS)
        assert _owners(fleet) == before


def _version(fleet: Fleet, vm: str) -> int:
    return fleet.daemons[vm]._configuration.current.version


def _owners(fleet: Fleet) -> dict[int, list[str]]:
    return {
        key: [name for name, server in fleet.servers.items() if server.owns(key)] for key in KEYS
    }


async def _restart_all(fleet: Fleet) -> None:
    """Kill all daemons at once and start as many new ones."""
    for vm in tuple(fleet.daemons):
        await fleet.kill_daemon(vm)
        fleet.settings.pop(vm)
    for index in range(2):
        await fleet.add_daemon(f"later-{index}")
    await fleet.wait_ready()


async def _wait_for(condition) -> None:
    async with asyncio.timeout(CHANGE_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)
