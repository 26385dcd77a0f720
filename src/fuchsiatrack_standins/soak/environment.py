"""Environment of a soak test: log service, backend servers behind proxies, daemons, callers."""

from __future__ import annotations

import asyncio
import functools
import itertools
import pathlib

from fuchsiatrack_standins.fleet.logservice import LogServiceStandIn
from fuchsiatrack_standins.fleet.server import ServerStandIn
from fuchsiatrack_standins.soak.callers import HOST, KEYS, Callers
from fuchsiatrack_standins.soak.connectingcaller import ConnectingCaller
from fuchsiatrack_standins.soak.daemons import DaemonProcess, DaemonState
from fuchsiatrack_standins.soak.faultproxy import FaultProxy
from fuchsiatrack_standins.soak.persistentcaller import PersistentCaller
from fuchsiatrack_standins.soak.pipeliningcaller import PipeliningCaller, respond
from fuchsiatrack_standins.soak.rawcaller import RawCaller
from fuchsiatrack_standins.soak.slowcaller import SlowCaller
from fuchsiatrack_standins.soak.uploadcaller import UploadCaller

# Number of servers of each service.
SERVICES = {"booking": 3, "reading": 3, "stock": 4}
# Name, path prefix, route type and service.
ROUTES = (
    ("orders", "/orders/", "unsafe", "booking"),
    ("reads", "/reads/", "safe", "reading"),
    ("keyed", "/keyed/", "safe", "stock"),
)
SERVICE_OF_PATH = {prefix: service for _, prefix, _, service in ROUTES}
# The rules of the users' platform require that requests are served again this soon after a complete
# outage.
RECOVERY_TIMEOUT_S = 15.0
WORK_MS = 15
PERSISTENT_CALLERS_MAX = 16
# Name, type and number of the callers on raw connections.
RAW_CALLERS = (
    ("connecting", ConnectingCaller, 3),
    ("slow", SlowCaller, 4),
    ("pipelining", PipeliningCaller, 2),
    ("upload", UploadCaller, 2),
)
# Daemons that are probed at the same time.
CONCURRENT_PROBES = 16


class Environment:
    """Log service, servers and daemons; `all_servers` includes servers that have stopped.

    Each server is reached through its proxy of `server_proxies`, and each daemon calls the log
    service through its proxy of `log_service_proxies`.
    """

    def __init__(self, daemon_count: int, seed: int, directory: pathlib.Path) -> None:
        self._directory = directory
        self._daemon_count = daemon_count
        self._seed = seed
        self._server_numbers = itertools.count(1)
        self._version = 0
        self.log_service = LogServiceStandIn()
        self.log_service.era = 1
        self.servers: dict[str, ServerStandIn] = {}
        self.all_servers: list[ServerStandIn] = []
        self.server_proxies: dict[str, FaultProxy] = {}
        self.log_service_proxies: list[FaultProxy] = []
        self.daemons: list[DaemonProcess] = []
        self.callers: Callers | None = None
        self.persistent_callers: list[PersistentCaller] = []
        self.raw_callers: list[RawCaller] = []

    async def start(self) -> None:
        """Start everything, then wait up to `RECOVERY_TIMEOUT_S` until every daemon serves."""
        await self.log_service.start()
        self.publish_configuration()
        for service, count in SERVICES.items():
            for _ in range(count):
                await self.add_server(service)
        for index in range(1, self._daemon_count + 1):
            proxy = FaultProxy(self.log_service.address)
            await proxy.start()
            self.log_service_proxies.append(proxy)
            daemon = DaemonProcess(index, proxy.address, self._directory)
            self.daemons.append(daemon)
            await daemon.start()
        self.callers = Callers(self.daemons, self._seed)
        self.persistent_callers = [
            PersistentCaller(f"p{index}", daemon, self._seed, self.callers.calls.append)
            for index, daemon in enumerate(self.daemons[:PERSISTENT_CALLERS_MAX])
        ]
        self.raw_callers = [
            kind(f"{name}{index}", self.daemons, self._seed, self.callers.calls.append)
            for name, kind, count in RAW_CALLERS
            for index in range(count)
        ]
        await self.wait_until_served()

    def publish_configuration(self) -> None:
        """Publish the configuration under the next version."""
        self._version += 1
        fields = {"Timeout": "2000ms", "TargetLatency": "300ms", "Priority": 1, "MaxAttempts": 2}
        paths = [
            {"Name": name, "PathPrefix": prefix, "RouteType": kind, "Service": service, **fields}
            for name, prefix, kind, service in ROUTES
        ]
        services = [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 60,
                "Sharded": name == "stock",
            }
            for name in SERVICES
        ]
        limits = {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_000_000,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        }
        configuration = {
            "Version": f"{self._version:08x}",
            "Services": services,
            "Limits": limits,
            "VirtualHosts": [{"Host": HOST, "Paths": paths}],
        }
        self.log_service.put("keyed.op", "config", configuration)

    async def add_server(self, service: str, name: str = "") -> ServerStandIn:
        """Start a server and list it.

        With the *name* of a server that has stopped, start its next incarnation.
        """
        name = name or f"{service}-{next(self._server_numbers)}"
        server = ServerStandIn(
            self.log_service, name, service, keyed=service == "stock", work_ms=WORK_MS
        )
        server.response_handler = functools.partial(respond, name)
        await server.start(listed=False)
        proxy = self.server_proxies[name] = FaultProxy(server.address)
        await proxy.start()
        server.address = proxy.address
        server.announce()
        self.servers[name] = server
        self.all_servers.append(server)
        return server

    async def stop_server(self, name: str) -> None:
        """Reset a server's connections and stop it, without changing its entry."""
        await self.server_proxies.pop(name).stop()
        await self.servers.pop(name).stop()

    async def wait_until_served(self) -> list[str]:
        """Wait until every daemon serves requests of every kind, then mark all as healthy.

        Return the failures that remain after `RECOVERY_TIMEOUT_S`.
        """
        failures: list[str] = []
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while failures := await self._probe_daemons():
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return failures
        for daemon in self.daemons:
            daemon.state = DaemonState.HEALTHY
        return []

    async def _probe_daemons(self) -> list[str]:
        """Return the first failure of each daemon that is not ready or fails a request."""
        failures = []
        for first in range(0, len(self.daemons), CONCURRENT_PROBES):
            batch = self.daemons[first : first + CONCURRENT_PROBES]
            failures += await asyncio.gather(*map(self._probe, batch))
        return [failure for failure in failures if failure]

    async def _probe(self, daemon: DaemonProcess) -> str:
        if not await daemon.is_ready(self.callers.session):
            return f"{daemon.vm} is not ready"
        requests = [("POST", "/orders/", None), ("GET", "/reads/", None)]
        requests += [("GET", "/keyed/", key) for key in KEYS]
        for method, path, key in requests:
            call = await self.callers.call(daemon, method, path, key)
            if call.status != 200:
                return f"{daemon.vm} returned {call.status} for {path} key {key}: {call.text}"
        return ""

    async def stop(self) -> None:
        """Stop everything that was started."""
        if self.callers is not None:
            await self.callers.close()
        for daemon in self.daemons:
            await daemon.kill()
        for proxy in (*self.log_service_proxies, *self.server_proxies.values()):
            await proxy.stop()
        for server in self.servers.values():
            await server.stop()
        await self.log_service.stop()
