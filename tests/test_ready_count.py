"""What a daemon knows of the number of daemons when it says that it is ready."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from aiohttp import web

from tests.fleet import Fleet, route, run_fleet

PATIENT = {"Timeout": "20000ms", "TargetLatency": "15000ms"}
READS = route("reads", "/reads/", "safe", "catalogue", **PATIENT)
KEYED = route("stock", "/stock/", "safe", "stock", **PATIENT)
DAEMONS = 9
SERVERS = 4
# Enough for each server to be selected for several.
REQUESTS = 100
# Of a counted daemon at all servers of a service: its initial limit is below its share.
ADMITTED = 16
TIMEOUT_S = 10.0


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


class TestWithoutLeader:
    """Readiness doesn't depend on a leader that isn't there."""

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
