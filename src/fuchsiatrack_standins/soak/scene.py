"""Everything that a soak runs: store, servers behind links, daemons, callers."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
from collections.abc import AsyncIterator

from fuchsiatrack_standins.fleet.instance import InstanceStandIn
from fuchsiatrack_standins.fleet.store import StoreStandIn
from fuchsiatrack_standins.soak.callers import HOST, KEYS, Callers
from fuchsiatrack_standins.soak.daemons import DaemonProcess, State
from fuchsiatrack_standins.soak.links import FaultyLink

SERVICES = {"booking": 3, "reading": 3, "stock": 4}
ROUTES = (
    ("orders", "/orders/", "unsafe", "booking"),
    ("reads", "/reads/", "safe", "reading"),
    ("keyed", "/keyed/", "safe", "stock"),
)
# The bound in which the users' rules want service back after the loss of everything, in seconds.
RECOVERY_S = 15.0
WORK_MS = 15


class Scene:
    """A store, servers and daemons; `everyone` holds also the servers that have ended."""

    def __init__(self, daemons: int, seed: int, directory: pathlib.Path) -> None:
        self._directory = directory
        self._daemon_count = daemons
        self._seed = seed
        self._names = itertools.count(1)
        self._version = 0
        self.store = StoreStandIn()
        self.servers: dict[str, InstanceStandIn] = {}
        self.everyone: list[InstanceStandIn] = []
        self.server_links: dict[str, FaultyLink] = {}
        self.store_links: list[FaultyLink] = []
        self.daemons: list[DaemonProcess] = []
        self.callers: Callers | None = None

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        await self.store.start()
        self.publish()
        for service, count in SERVICES.items():
            for _ in range(count):
                await self.add_server(service)
        for index in range(1, self._daemon_count + 1):
            link = FaultyLink(self.store.address)
            await link.start()
            self.store_links.append(link)
            daemon = DaemonProcess(index, link.address, self._directory)
            self.daemons.append(daemon)
            await daemon.start()
        self.callers = Callers(self.daemons, self._seed)
        await self.wait_served()

    def publish(self) -> None:
        """Put a new version of the configuration in force."""
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
        self.store.put("keyed.op", "config", configuration)

    async def add_server(self, service: str, name: str = "") -> InstanceStandIn:
        """Start and list a server; one with the *name* of an ended one is its next life."""
        name = name or f"{service}-{next(self._names)}"
        server = InstanceStandIn(
            self.store, name, service, keyed=service == "stock", work_ms=WORK_MS
        )
        await server.start(listed=False)
        link = self.server_links[name] = FaultyLink(server.address)
        await link.start()
        server.address = link.address
        server.announce()
        self.servers[name] = server
        self.everyone.append(server)
        return server

    async def end_server(self, name: str) -> None:
        """End a server without a word."""
        await self.server_links.pop(name).stop()
        await self.servers.pop(name).stop()

    async def wait_served(self) -> list[str]:
        """Return what is still not served after `RECOVERY_S`, by every daemon."""
        missing: list[str] = []
        try:
            async with asyncio.timeout(RECOVERY_S):
                while missing := [item async for item in self._unserved()]:
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return missing
        for daemon in self.daemons:
            daemon.state = State.WELL
        return []

    async def _unserved(self) -> AsyncIterator[str]:
        for daemon in self.daemons:
            if not await daemon.is_ready(self.callers.session):
                yield f"{daemon.vm} is not ready"
                continue
            calls = [("POST", "/orders/", None), ("GET", "/reads/", None)]
            calls += [("GET", "/keyed/", key) for key in KEYS]
            for method, path, key in calls:
                call = await self.callers.call(daemon, method, path, key)
                if call.status != 200:
                    yield f"{daemon.vm} answers {call.status} to {path} key {key}: {call.text}"
                    break

    async def stop(self) -> None:
        """End everything."""
        if self.callers is not None:
            await self.callers.close()
        for daemon in self.daemons:
            await daemon.stop()
        for link in (*self.store_links, *self.server_links.values()):
            await link.stop()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()
