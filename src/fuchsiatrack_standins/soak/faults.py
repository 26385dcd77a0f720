"""The faults of a soak; each begins, lasts, and ends again."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from fuchsiatrack_standins.fleet.instance import InstanceStandIn
from fuchsiatrack_standins.fleet.store import Mode
from fuchsiatrack_standins.soak.daemons import GRACE_S, DaemonProcess, State
from fuchsiatrack_standins.soak.links import LinkMode
from fuchsiatrack_standins.soak.scene import Scene

# How long a fault lasts, in seconds.
LENGTH_S = (0.3, 3.0)
# How long a leaving server goes on serving after its entry says so, in seconds.
DRAIN_S = 2.5
BAD_MODES = (Mode.BUSY, Mode.MANY, Mode.SILENT, Mode.LOSING_ANSWERS)
BAD_LINKS = (LinkMode.SLOW, LinkMode.SILENT, LinkMode.NO_ANSWERS, LinkMode.RESET)


class Faults:
    """Draws faults of a seed; `broken` says what a fault itself showed."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self._scene = scene
        self._rng = random.Random(seed)
        self._store_lock = asyncio.Lock()
        self._busy: set[str] = set()
        self.played: list[str] = []
        self.broken: list[str] = []

    async def run(self, duration: float) -> None:
        """Begin a fault every second or so for *duration* seconds, and wait for their ends."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration
        tasks = []
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(0.2, 1.6))
            kind = self._rng.choice(self._kinds())
            self.played.append(kind.__name__.strip("_"))
            tasks.append(asyncio.create_task(kind(self._rng.uniform(*LENGTH_S))))
        await asyncio.gather(*tasks)

    def _kinds(self) -> tuple[Callable[[float], Awaitable[None]], ...]:
        return (
            self._store_fault,
            self._store_link_fault,
            self._server_link_fault,
            self._server_leaves,
            self._server_restarts,
            self._daemon_paused,
            self._daemon_killed,
            self._daemon_stopped,
            self._daemons_told,
            self._versions,
        )

    async def _store_fault(self, length: float) -> None:
        mode = self._rng.choice(BAD_MODES)
        async with self._store_lock:
            self._scene.store.mode = mode
            await asyncio.sleep(length * 2)
            self._scene.store.mode = Mode.SERVING

    async def _store_link_fault(self, length: float) -> None:
        link = self._rng.choice(self._scene.store_links)
        link.set_mode(self._rng.choice(BAD_LINKS))
        await asyncio.sleep(length)
        link.set_mode(LinkMode.WELL)

    async def _server_link_fault(self, length: float) -> None:
        link = self._rng.choice(tuple(self._scene.server_links.values()))
        link.set_mode(self._rng.choice(BAD_LINKS))
        await asyncio.sleep(length)
        link.set_mode(LinkMode.WELL)

    async def _server_leaves(self, length: float) -> None:
        server = self._take_server()
        if server is None:
            return
        await self._scene.add_server(server.service)
        server.announce("draining")
        await asyncio.sleep(DRAIN_S + length)
        server.withdraw()
        await self._scene.end_server(server.id)
        self._busy.discard(server.id)

    async def _server_restarts(self, length: float) -> None:
        server = self._take_server()
        if server is None:
            return
        await self._scene.end_server(server.id)
        await asyncio.sleep(length)
        await self._scene.add_server(server.service, server.id)
        self._busy.discard(server.id)

    async def _daemon_paused(self, length: float) -> None:
        daemon = self._take_daemon(State.FAULTY)
        if daemon is None:
            return
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(length)
        daemon.send(signal.SIGCONT)
        # Requests that waited meanwhile are answered late.
        await asyncio.sleep(1.0)
        daemon.state = State.WELL

    async def _daemon_killed(self, length: float) -> None:
        daemon = self._take_daemon(State.FAULTY)
        if daemon is None:
            return
        daemon.send(signal.SIGKILL)
        await daemon.wait(GRACE_S)
        await asyncio.sleep(length)
        await self._restart(daemon)

    async def _daemon_stopped(self, length: float) -> None:
        daemon = self._take_daemon(State.STOPPING)
        if daemon is None:
            return
        daemon.send(signal.SIGTERM)
        code = await daemon.wait(GRACE_S)
        if code != 0:
            self.broken.append(f"{daemon.vm} ended with {code} within {GRACE_S} s of SIGTERM")
            daemon.send(signal.SIGKILL)
            await daemon.wait(GRACE_S)
        await asyncio.sleep(length)
        daemon.state = State.FAULTY
        await self._restart(daemon)

    async def _daemons_told(self, length: float) -> None:
        for daemon in self._scene.daemons:
            if daemon.state is State.WELL:
                daemon.send(signal.SIGHUP)

    async def _versions(self, length: float) -> None:
        for _ in range(4):
            self._scene.publish()
            await asyncio.sleep(0.2)

    async def _restart(self, daemon: DaemonProcess) -> None:
        await daemon.start()
        while not await daemon.is_ready(self._scene.callers.session):
            await asyncio.sleep(0.1)
        daemon.state = State.WELL

    def _take_daemon(self, state: State) -> DaemonProcess | None:
        well = [daemon for daemon in self._scene.daemons if daemon.state is State.WELL]
        if not well:
            return None
        daemon = self._rng.choice(well)
        daemon.state = state
        return daemon

    def _take_server(self) -> InstanceStandIn | None:
        free = [server for name, server in self._scene.servers.items() if name not in self._busy]
        if not free:
            return None
        server = self._rng.choice(free)
        self._busy.add(server.id)
        return server
