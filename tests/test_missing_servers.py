"""Services that lack servers, owners or a valid record, beside sound ones."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web

from fuchsiatrack.directory.departurebudget import DepartureBudget
from fuchsiatrack.directory.servers import ServerDirectory
from fuchsiatrack.gateway import daemon as daemon_module
from fuchsiatrack.gateway.serverselection import OwnerSelector, SelectionRequest
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.ranges.leadership import Leadership
from fuchsiatrack.ranges.ownershipcache import OwnershipCache
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from tests.fleet import Fleet, configuration, route, run_fleet

READS = route("reads", "/reads/", "safe", "catalogue")
KEYED = route("stock", "/stock/", "safe", "stock")
# A keyed service without a sound server.
BROKEN = route("nozzles", "/nozzles/", "safe", "nozzles")
SHARDED = ("stock", "nozzles")
# A guard for tests that would hang; nothing is measured against it.
TIMEOUT_S = 20.0
# Within the time after which a lost server's keys have an owner again.
OWNER_TIMEOUT_S = 6.0


@pytest.fixture
async def fleet():
    """Yield a fleet with two sound services, whose configuration is published, without daemons."""
    async with run_fleet() as running:
        running.publish(1, [READS, KEYED], sharded=SHARDED)
        await running.add_server("catalogue-0", "catalogue")
        await running.add_server("stock-0", "stock", keyed=True)
        yield running


class TestServiceWithoutServer:
    """A keyed service without a server costs only its own requests."""

    async def test_new_service_without_server_leaves_the_others_served(self, fleet: Fleet):
        """Guards against a version that stops all routes of all daemons."""
        daemon = await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        fleet.publish(2, [READS, KEYED, BROKEN], sharded=SHARDED)
        await _wait_for(lambda: daemon._configuration.current.version == 2)
        await _check_sound_services(fleet)
        assert (await fleet.call("/nozzles/", key=1))[0] == 503
        assert daemon.is_ready

    async def test_daemon_that_starts_beside_it_serves_the_others(self, fleet: Fleet):
        """Guards against daemons that serve nothing after a restart."""
        fleet.publish(2, [READS, KEYED, BROKEN], sharded=SHARDED)
        await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        await _check_sound_services(fleet)

    async def test_first_server_owns_the_keys_soon(self, fleet: Fleet):
        fleet.publish(2, [READS, KEYED, BROKEN], sharded=SHARDED)
        await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        await fleet.add_server("nozzles-0", "nozzles", keyed=True)
        await _wait_served(fleet, "/nozzles/", OWNER_TIMEOUT_S)

    @pytest.mark.parametrize("departure", ["announce", "withdraw"])
    async def test_service_whose_servers_all_left_leaves_the_others_served(
        self, fleet: Fleet, departure: str
    ):
        """Guards against daemons that wait for owners while every server drains or is gone."""
        fleet.publish(2, [READS, KEYED, BROKEN], sharded=SHARDED)
        server = await fleet.add_server("nozzles-0", "nozzles", keyed=True)
        await fleet.add_daemon("entry-1")
        await _wait_served(fleet, "/nozzles/", TIMEOUT_S)
        server.announce("draining") if departure == "announce" else server.withdraw()
        await fleet.add_daemon("entry-2")
        await fleet.wait_ready()
        await _check_sound_services(fleet, "entry-1")
        await _check_sound_services(fleet, "entry-2")
        await fleet.add_server("nozzles-1", "nozzles", keyed=True)
        await _wait_served(fleet, "/nozzles/", 2 * OWNER_TIMEOUT_S)

    async def test_server_that_accepts_no_grants_leaves_the_others_served(self, fleet: Fleet):
        fleet.publish(2, [READS, KEYED, BROKEN], sharded=SHARDED)
        server = await fleet.add_server("nozzles-0", "nozzles", keyed=True)
        server._handle_grant = lambda body: web.Response(status=500)
        await fleet.add_daemon("entry-1")
        await fleet.add_daemon("entry-2")
        await fleet.wait_ready()
        await _check_sound_services(fleet)

    async def test_request_without_server_is_rejected_at_once(self):
        """Guards against callers that wait for an owner that no server can be."""
        selector = _create_owner_selector()
        selection = selector.select(SelectionRequest("nozzles", 1, 0, SystemClock().now() + 60_000))
        with pytest.raises(RequestError) as rejection:
            selection.send(None)
        assert rejection.value.reason is ErrorReason.NO_SERVER
        assert rejection.value.retry_after_ms


class TestUnreadableRecord:
    """A record that can't be decoded costs only the requests of what it describes."""

    async def test_service_whose_map_is_malformed_leaves_the_others_served(self, fleet: Fleet):
        """Guards against daemons that don't become ready beside one malformed map."""
        fleet.publish(2, [READS, KEYED, BROKEN], sharded=SHARDED)
        await fleet.add_server("nozzles-0", "nozzles", keyed=True)
        fleet.log_service.put("keyed.ownership", "map/nozzles", {"ranges": "odd"})
        await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        await _check_sound_services(fleet)

    @pytest.mark.parametrize(
        "change",
        [{"RouteType": "new-type"}, {"Service": "unlisted"}, {"Timeout": 5}, {"Priority": "high"}],
        ids=lambda change: next(iter(change)),
    )
    async def test_malformed_route_leaves_the_others_served(self, fleet: Fleet, change: dict):
        """Guards against a version that is rejected whole, or never read after a restart."""
        odd = {**BROKEN, **change}
        published = configuration(2, [READS, KEYED, odd], SHARDED)
        published["Services"] = configuration(2, [READS, KEYED, BROKEN], SHARDED)["Services"]
        fleet.log_service.put("keyed.op", "config", published)
        await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        await _check_sound_services(fleet)
        status, _, headers = await fleet.call("/nozzles/", key=1)
        assert status == 503

    async def test_malformed_service_leaves_the_others_served(self, fleet: Fleet):
        published = configuration(2, [READS, KEYED, BROKEN], SHARDED)
        next(item for item in published["Services"] if item["Name"] == "nozzles")[
            "MaxConnections"
        ] = "many"
        fleet.log_service.put("keyed.op", "config", published)
        await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        await _check_sound_services(fleet)
        assert (await fleet.call("/nozzles/", key=1))[0] == 503

    async def test_malformed_route_hides_a_route_with_a_shorter_prefix(self, fleet: Fleet):
        """Guards against requests that run at the service of another route (ROUTE)."""
        odd = {**route("odd", "/reads/odd/", "safe", "catalogue"), "RouteType": "new-type"}
        fleet.publish(2, [READS, KEYED, odd], sharded=SHARDED)
        await fleet.add_daemon("entry-1")
        await fleet.wait_ready()
        assert (await fleet.call("/reads/odd/1"))[0] == 503
        assert (await fleet.call("/reads/1"))[0] == 200


class TestUnreadableOwnership:
    """The owners are missing while the configuration and the servers are known."""

    async def test_plain_service_is_served_without_the_owners(self, fleet: Fleet, monkeypatch):
        """Guards against a store that is partly down and stops services without keys too."""
        monkeypatch.setattr(daemon_module, "OWNERS_WAIT_MAX_MS", 300)
        fleet.log_service.unavailable_topics.add("keyed.ownership")
        daemon = await fleet.add_daemon("entry-1")
        await _wait_for(lambda: daemon.can_serve)
        assert (await fleet.call("/reads/"))[0] == 200
        assert (await fleet.call("/stock/", key=1))[0] == 503
        await fleet.wait_ready()

    async def test_daemon_that_knows_no_owners_is_not_ready_yet(self, fleet: Fleet, monkeypatch):
        """Other daemons may know them, and the load balancer prefers those that are ready."""
        monkeypatch.setattr(daemon_module, "OWNERS_WAIT_MAX_MS", 60_000)
        fleet.log_service.unavailable_topics.add("keyed.ownership")
        daemon = await fleet.add_daemon("entry-1")
        await _wait_for(lambda: daemon.can_serve)
        await asyncio.sleep(0.5)
        assert not daemon.is_ready
        fleet.log_service.unavailable_topics.clear()
        await fleet.wait_ready()
        await _check_sound_services(fleet)


def _create_owner_selector() -> OwnerSelector:
    clock = SystemClock()
    directory = ServerDirectory(clock, DepartureBudget(2_000, 3_000))
    leadership = Leadership.__new__(Leadership)
    return OwnerSelector(directory, OwnershipCache(leadership, clock), clock)


async def _check_sound_services(fleet: Fleet, vm: str = "entry-1") -> None:
    statuses = [
        (await fleet.call("/reads/", vm))[0],
        *[(await fleet.call("/stock/", vm, key=key))[0] for key in (0, 30_000, 65_535)],
    ]
    assert statuses == [200] * 4


async def _wait_served(fleet: Fleet, path: str, timeout_s: float) -> None:
    """Wait until a request with a key is served at *path*."""

    async def is_served() -> bool:
        return (await fleet.call(path, key=1))[0] == 200

    await _wait_for(is_served, timeout_s)


async def _wait_for(
    condition: Callable[[], bool | Awaitable[bool]], timeout_s: float = TIMEOUT_S
) -> None:
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if await result if isinstance(result, Awaitable) else result:
                return
            await asyncio.sleep(0.02)
