"""Random faults of a soak test; each one starts, lasts for a while and is repaired."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import math
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

from fuchsiatrack_standins.fleet.logservice import LogServiceMode
from fuchsiatrack_standins.fleet.server import ServerStandIn
from fuchsiatrack_standins.soak.daemons import STOP_GRACE_S, DaemonProcess, DaemonState
from fuchsiatrack_standins.soak.environment import Environment
from fuchsiatrack_standins.soak.faultproxy import ProxyMode
from fuchsiatrack_standins.soak.guarantees import Disturbance

# Range of the duration that is passed to each fault; some faults last longer than it.
FAULT_DURATION_S = (0.3, 3.0)
# A draining server serves for at least this long after its entry reports that it is draining.
DRAIN_S = 2.5
# A limit lasts for this long and a random time, and changes once.
LIMIT_S = 8.0
LIMITED_AT_ONCE_MAX = 3
# Limits in requests per second, from below one for each daemon to little less than the load. One
# has all the digits that a float may need.
LIMIT_RATES = (0.5, 2.5, 7.6000000000000005, 19.8)
MALFORMED_LIMITS = ("", "-1", "nan", "1e9", "8,5")
# Values of `Retry-After`, in seconds; some are malformed.
PAUSES = ("0.3", "1", "2.5", "4", "soon", "-1")
# Ages of the copies from which the log comes back, in seconds; an infinite one is empty.
COPY_AGES_S = (0.2, 1.0, 3.0, 6.0, math.inf)
# How long the log is away before, and how long after it what others wrote is written again.
AWAY_S = (0.0, 0.5, 2.0, 4.0)
REWRITE_S = (0.0, 0.5, 2.0)
TOPICS_OF_OTHERS = ("keyed.op", "keyed.servers")
# Of so many seeds, one restores the log.
RESTORED_EVERY = 2
LOG_SERVICE_FAULTS = (
    LogServiceMode.BUSY,
    LogServiceMode.RATE_LIMITED,
    LogServiceMode.UNRESPONSIVE,
    LogServiceMode.LOSING_RESPONSES,
)
PROXY_FAULTS = (ProxyMode.SLOW, ProxyMode.UNRESPONSIVE, ProxyMode.NO_RESPONSES, ProxyMode.RESET)


class FaultInjector:
    """Injects random faults, determined by a seed, into an environment.

    `injected` lists the names of the faults in the order in which they started, `violations` the
    graceful stops that failed, `disturbances` the times in which a daemon may miss that a server
    leaves, and `link_faults` those in which the connections to a server were disturbed.  With
    *only_changes*, nothing disturbs the daemons: servers leave and are replaced, settings are
    reloaded and configurations published.
    """

    def __init__(self, environment: Environment, seed: int, only_changes: bool = False) -> None:
        self._environment = environment
        self._only_changes = only_changes
        self._seed = seed
        self._rng = random.Random(seed)
        self._log_service_lock = asyncio.Lock()
        self._reserved_servers: set[str] = set()
        self.injected: list[str] = []
        self.violations: list[str] = []
        self.disturbances: list[Disturbance] = []
        self.link_faults: dict[str, list[Disturbance]] = collections.defaultdict(list)

    async def run(self, duration: float) -> None:
        """Start about one fault a second for *duration* seconds, then wait for their ends."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration
        tasks = [
            asyncio.create_task(self._limit_servers(duration)),
            asyncio.create_task(self._turn_requests_away(duration)),
        ]
        if not self._only_changes and self._seed % RESTORED_EVERY == 0:
            tasks.append(asyncio.create_task(self._restore_log(duration)))
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(0.2, 1.6))
            fault = self._rng.choice(self._kinds())
            self.injected.append(fault.__name__.strip("_"))
            tasks.append(asyncio.create_task(fault(self._rng.uniform(*FAULT_DURATION_S))))
        await asyncio.gather(*tasks)

    # The method names are printed as the names of the faults.
    def _kinds(self) -> tuple[Callable[[float], Awaitable[None]], ...]:
        changes = (
            self._server_leaves,
            self._server_withdraws,
            self._servers_replaced,
            self._daemons_told,
            self._versions,
        )
        if self._only_changes:
            return changes
        return (
            *changes,
            self._store_fault,
            self._store_link_fault,
            self._server_link_fault,
            self._server_restarts,
            self._daemon_paused,
            self._daemon_killed,
            self._daemon_stopped,
            self._signals_in_series,
            self._stopped_while_starting,
            self._daemons_stopped_in_turn,
        )

    @contextlib.contextmanager
    def _disturbance(self) -> Iterator[None]:
        """Record that a daemon or the log service is faulty inside the block."""
        started_at_s = time.monotonic()
        position = len(self.disturbances)
        self.disturbances.append(Disturbance(started_at_s, math.inf))
        try:
            yield
        finally:
            self.disturbances[position] = Disturbance(started_at_s, time.monotonic())

    async def _store_fault(self, duration: float) -> None:
        """Make the log service faulty, one such fault at a time."""
        mode = self._rng.choice(LOG_SERVICE_FAULTS)
        async with self._log_service_lock:
            with self._disturbance():
                await self._disturb_log_service(mode, duration)

    async def _disturb_log_service(self, mode: LogServiceMode, duration: float) -> None:
        self._environment.log_service.mode = mode
        await asyncio.sleep(duration * 2)
        self._environment.log_service.mode = LogServiceMode.SERVING

    async def _restore_log(self, duration: float) -> None:
        """Let the log come back from copies of it, for *duration* seconds.

        Like limits, this has a random number generator of its own.
        """
        rng = random.Random(f"restorations-{self._seed}")
        log_service = self._environment.log_service
        end_s = time.monotonic() + duration
        while time.monotonic() < end_s:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            age = rng.choice(COPY_AGES_S)
            copied = {} if math.isinf(age) else log_service.copy()
            await asyncio.sleep(0.0 if math.isinf(age) else age)
            async with self._log_service_lock:
                with self._disturbance():
                    self.injected.append("log_restored")
                    away = rng.choice(AWAY_S)
                    if away:
                        mode = rng.choice((LogServiceMode.BUSY, LogServiceMode.UNRESPONSIVE))
                        await self._disturb_log_service(mode, away / 2)
                    lost = {
                        topic: dict(log_service.partition(topic).newest)
                        for topic in TOPICS_OF_OTHERS
                    }
                    log_service.restore(copied)
                    await asyncio.sleep(rng.choice(REWRITE_S))
                    for topic, newest in lost.items():
                        log_service.rewrite(topic, newest)

    async def _store_link_fault(self, duration: float) -> None:
        """Disturb one daemon's connections to the log service."""
        proxy = self._rng.choice(self._environment.log_service_proxies)
        with self._disturbance():
            proxy.set_mode(self._rng.choice(PROXY_FAULTS))
            await asyncio.sleep(duration)
            proxy.set_mode(ProxyMode.HEALTHY)

    async def _server_link_fault(self, duration: float) -> None:
        """Disturb all connections to one server."""
        name, proxy = self._rng.choice(tuple(self._environment.server_proxies.items()))
        started_at_s = time.monotonic()
        proxy.set_mode(self._rng.choice(PROXY_FAULTS))
        self.link_faults[name].append(Disturbance(started_at_s, math.inf))
        position = len(self.link_faults[name]) - 1
        await asyncio.sleep(duration)
        proxy.set_mode(ProxyMode.HEALTHY)
        self.link_faults[name][position] = Disturbance(started_at_s, time.monotonic())

    async def _server_leaves(self, duration: float) -> None:
        """Start a replacement for a server, drain the server and stop it."""
        server = self._take_server()
        if server is None:
            return
        await self._environment.add_server(server.service)
        server.says_leaving = True
        server.announce("draining")
        await asyncio.sleep(DRAIN_S + duration)
        server.withdraw()
        await self._environment.stop_server(server.id)
        self._reserved_servers.discard(server.id)

    async def _server_withdraws(self, duration: float) -> None:
        """Start a replacement for a server, remove its entry without notice and stop it later."""
        server = self._take_server()
        if server is None:
            return
        await self._environment.add_server(server.service)
        # Its responses say so before the log service does.
        server.says_leaving = True
        await asyncio.sleep(duration)
        server.withdraw()
        await asyncio.sleep(DRAIN_S + duration)
        await self._environment.stop_server(server.id)
        self._reserved_servers.discard(server.id)

    async def _servers_replaced(self, duration: float) -> None:
        """Let servers leave one after the other, with new configurations in between."""
        changes = []
        for change in (self._server_leaves, self._server_withdraws, self._server_leaves):
            changes.append(asyncio.create_task(change(duration)))
            self._environment.publish_configuration()
            await asyncio.sleep(duration / 4)
        await asyncio.gather(*changes)

    async def _limit_servers(self, duration: float) -> None:
        """Let other servers name limits in turn, one to three at once, for *duration* seconds.

        Limits have a random number generator of their own, so that a seed injects the same faults
        as without them.
        """
        rng = random.Random(f"limits-{self._seed}")
        end_s = time.monotonic() + duration
        while time.monotonic() < end_s:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            servers = tuple(self._environment.servers.values())
            limited = rng.sample(servers, min(len(servers), rng.randint(1, LIMITED_AT_ONCE_MAX)))
            await asyncio.gather(*(self._limit_server(server, rng) for server in limited))

    async def _limit_server(self, server: ServerStandIn, rng: random.Random) -> None:
        """Let *server* name a limit, another one, a malformed value, and none again."""
        server.name_limit(str(rng.choice(LIMIT_RATES)))
        await asyncio.sleep(LIMIT_S / 2 + rng.uniform(*FAULT_DURATION_S))
        server.name_limit(str(rng.choice(LIMIT_RATES)))
        await asyncio.sleep(LIMIT_S / 2)
        server.name_limit(rng.choice(MALFORMED_LIMITS))
        await asyncio.sleep(0.5)
        server.name_limit(None)

    async def _turn_requests_away(self, duration: float) -> None:
        """Let other servers in turn reject everything for a moment and ask for a pause.

        Like limits, this has a random number generator of its own.
        """
        rng = random.Random(f"pauses-{self._seed}")
        end_s = time.monotonic() + duration
        while time.monotonic() < end_s:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            server = rng.choice(tuple(self._environment.servers.values()))
            server.retry_after, server.rejects_all = rng.choice(PAUSES), True
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            server.retry_after, server.rejects_all = None, False

    async def _server_restarts(self, duration: float) -> None:
        """Stop a server abruptly, then start its next incarnation."""
        server = self._take_server()
        if server is None:
            return
        await self._environment.stop_server(server.id)
        await asyncio.sleep(duration)
        await self._environment.add_server(server.service, server.id)
        self._reserved_servers.discard(server.id)

    async def _daemon_paused(self, duration: float) -> None:
        daemon = self._take_daemon(DaemonState.FAULTY)
        if daemon is None:
            return
        with self._disturbance():
            daemon.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            daemon.send_signal(signal.SIGCONT)
        # Requests that waited during the pause get late responses.
        await asyncio.sleep(1.0)
        daemon.state = DaemonState.HEALTHY

    async def _daemon_killed(self, duration: float) -> None:
        daemon = self._take_daemon(DaemonState.FAULTY)
        if daemon is None:
            return
        with self._disturbance():
            daemon.send_signal(signal.SIGKILL)
            await daemon.wait(STOP_GRACE_S)
            await asyncio.sleep(duration)
            await self._restart(daemon)

    async def _daemon_stopped(self, duration: float) -> None:
        daemon = self._take_daemon(DaemonState.STOPPING)
        if daemon is not None:
            await self._stop_and_restart(daemon, (signal.SIGTERM,), duration)

    async def _signals_in_series(self, duration: float) -> None:
        """Reload and stop a daemon, both again while it stops, and restart it at once."""
        daemon = self._take_daemon(DaemonState.STOPPING)
        signals = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        if daemon is not None:
            await self._stop_and_restart(daemon, signals, 0.0)

    async def _daemons_stopped_in_turn(self, duration: float) -> None:
        """Stop one daemon after the other while the previous ones still stop."""
        stops = []
        for _ in range(max(1, len(self._environment.daemons) // 2)):
            stops.append(asyncio.create_task(self._daemon_stopped(0.0)))
            await asyncio.sleep(duration / 2)
        await asyncio.gather(*stops)

    async def _stopped_while_starting(self, duration: float) -> None:
        """Kill a daemon, stop it again while it starts, and start it once more."""
        daemon = self._take_daemon(DaemonState.FAULTY)
        if daemon is None:
            return
        with self._disturbance():
            daemon.send_signal(signal.SIGKILL)
            await daemon.wait(STOP_GRACE_S)
            await daemon.start()
            await asyncio.sleep(duration / 2)
            daemon.send_signal(signal.SIGTERM)
            # Before its handlers are installed, the signal ends the process with another code.
            if await daemon.wait(STOP_GRACE_S) is None:
                self.violations.append(f"{daemon.vm}: runs {STOP_GRACE_S} s after SIGTERM")
                await daemon.kill()
            await self._restart(daemon)

    async def _stop_and_restart(
        self, daemon: DaemonProcess, signals: Sequence[signal.Signals], pause: float
    ) -> None:
        with self._disturbance():
            stopped_at_s = math.inf
            for signal_number in signals:
                if signal_number is signal.SIGTERM:
                    stopped_at_s = min(stopped_at_s, time.monotonic())
                daemon.send_signal(signal_number)
                await asyncio.sleep(self._rng.uniform(0.0, 0.3) if len(signals) > 1 else 0.0)
            exit_code = await daemon.wait(STOP_GRACE_S - (time.monotonic() - stopped_at_s))
            if exit_code != 0:
                self.violations.append(
                    f"{daemon.vm}: exit code {exit_code}, not 0, within {STOP_GRACE_S} s of SIGTERM"
                )
                await daemon.kill()
            await asyncio.sleep(pause)
            daemon.state = DaemonState.FAULTY
            await self._restart(daemon)

    async def _daemons_told(self, duration: float) -> None:
        """Make all healthy daemons reload their settings."""
        for daemon in self._environment.daemons:
            if daemon.state is DaemonState.HEALTHY:
                daemon.send_signal(signal.SIGHUP)

    async def _versions(self, duration: float) -> None:
        """Publish several versions of the configuration in quick succession."""
        for _ in range(4):
            self._environment.publish_configuration()
            await asyncio.sleep(0.2)

    async def _restart(self, daemon: DaemonProcess) -> None:
        await daemon.start()
        while not await daemon.is_ready(self._environment.callers.session):
            await asyncio.sleep(0.1)
        daemon.state = DaemonState.HEALTHY

    def _take_daemon(self, state: DaemonState) -> DaemonProcess | None:
        """Put a random healthy daemon into *state* and return it, or None if none is healthy."""
        healthy_daemons = [
            daemon for daemon in self._environment.daemons if daemon.state is DaemonState.HEALTHY
        ]
        if not healthy_daemons:
            return None
        daemon = self._rng.choice(healthy_daemons)
        daemon.state = state
        return daemon

    def _take_server(self) -> ServerStandIn | None:
        """Reserve a random server for a fault, or return None if all are reserved."""
        free_servers = [
            server
            for name, server in self._environment.servers.items()
            if name not in self._reserved_servers
        ]
        if not free_servers:
            return None
        server = self._rng.choice(free_servers)
        self._reserved_servers.add(server.id)
        return server
