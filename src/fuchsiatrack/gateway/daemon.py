"""One run of a gateway daemon: its parts, its start, its reloads and its graceful stop."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import random
import secrets
import signal
from collections.abc import Coroutine
from typing import Any

from fuchsiatrack.control.compactedlog import StreamConsumer
from fuchsiatrack.directory.servers import ServerDirectory
from fuchsiatrack.gateway.adapter import PlatformAdapter
from fuchsiatrack.gateway.admission import AdmissionQueues
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.endpoints import MetricsPage, ReadinessPage
from fuchsiatrack.gateway.forwarder import ForwarderDependencies
from fuchsiatrack.gateway.listener import CallerListener
from fuchsiatrack.gateway.rangeservice import RangeService
from fuchsiatrack.gateway.retrybudget import RetryBudgetSettings, SharedRetryBudget
from fuchsiatrack.gateway.serverselection import BalancedSelector, OwnerSelector, ServerSelector
from fuchsiatrack.gateway.serverstats import ServerStatsRegistry
from fuchsiatrack.gateway.settings import Endpoint, GatewaySettings, SettingsError
from fuchsiatrack.gateway.sources import ConfigurationHolder, DirectoryFeed
from fuchsiatrack.gateway.textmetrics import TextMetrics
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.model.routes import RoutedService

# How long a stopping daemon goes on taking requests, in milliseconds: the balancer asks once a
# second and needs two answers.
LEAVE_TIME = 2_600
# Part of the grace of a stop after which what is still open is cut off, in milliseconds before
# the end.
STOP_MARGIN = 400
# Longest wait for the next part of a request's body, in milliseconds.
BODY_IDLE_TIMEOUT = 10_000
HOUSEKEEPING_PERIOD = 1_000
# Pause between reads of the directory after an entry came, in milliseconds: servers often list
# themselves together, and leaving ones are still served for some time, at least four times this.
DIRECTORY_PAUSE = 500

log = logging.getLogger(__name__)


class GatewayDaemon:
    """Everything that one gateway daemon runs."""

    def __init__(
        self, adapter: PlatformAdapter, settings: GatewaySettings, settings_path: pathlib.Path
    ) -> None:
        self._adapter = adapter
        self._settings = settings
        self._settings_path = settings_path
        self._settings_seen = _modified_at(settings_path)
        self._clock = SystemClock()
        self._rng = random.Random()
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._connections = ConnectionPool(self._clock)
        self._control_connections = ConnectionPool(self._clock)
        self._stats = ServerStatsRegistry(self._clock)
        self._queues = AdmissionQueues(self._clock)
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._log = adapter.open_log(settings)
        self._configuration = ConfigurationHolder(adapter)
        self._directory = ServerDirectory(self._clock)
        self._metrics = TextMetrics()
        self._consumers = self._create_consumers()
        self._ranges = RangeService(
            settings,
            secrets.token_hex(6),
            self._log,
            adapter.open_grant_client(self._control_connections),
            self._directory,
            self._stats,
            self._clock,
            self._rng,
            self._can_lead,
            self._keyed_services,
            self._consumers,
        )
        self._selectors = self._create_selectors()
        self._listener = CallerListener(self._create_dependencies(), self._metrics)
        self._readiness = ReadinessPage(lambda: self.is_ready and not self._stop.is_set())
        self._metrics_page = MetricsPage(self._metrics, self._gauges)

    @property
    def is_listening(self) -> bool:
        """Whether every listener is open."""
        return bool(self._tasks)

    @property
    def is_ready(self) -> bool:
        """Whether configuration, servers and owners are known."""
        table = self._configuration.table
        if table is None or not self._consumers["directory"].caught_up.is_set():
            return False
        return all(
            self._ranges.ownership_cache.find(name).ranges for name in self._keyed_services()
        )

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT has been obeyed."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self._settings
        await self._readiness.start(settings.readiness)
        await self._listener.start(settings.callers)
        await self._metrics_page.start(Endpoint(settings.callers.host, settings.metrics_port))
        await self._ranges.start()
        log.info("daemon started", extra={"vm": settings.vm, "callers": str(settings.callers)})
        jobs = [*(item.run() for item in self._consumers.values()), *self._ranges.jobs()]
        jobs.append(self._keep_house())
        self._tasks = [asyncio.create_task(self._supervise(job)) for job in jobs]
        await self._stop.wait()
        await self._shut_down()

    async def _supervise(self, job: Coroutine[Any, Any, None]) -> None:
        try:
            await job
        except Exception:
            log.exception("task failed; the daemon stops")
            self._stop.set()

    async def kill(self) -> None:
        """End at once, as a killed process does, but give back what the event loop holds."""
        await self._listener.stop(0)
        await self._close()

    async def _shut_down(self) -> None:
        log.info("stop begins", extra={"in_flight": self._listener.in_flight})
        started = self._clock.now()
        self._listener.start_draining()
        await self._ranges.resign()
        await self._clock.sleep_until(started + LEAVE_TIME)
        left = started + self._settings.stop_grace - STOP_MARGIN - self._clock.now()
        await self._listener.stop(max(left, 0))
        # The log may have come back meanwhile.
        await self._ranges.resign()
        await self._close()
        log.info("daemon stopped", extra={"took_ms": self._clock.now() - started})

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._ranges.close()
        await self._readiness.stop()
        await self._metrics_page.stop()
        self._connections.close()
        self._control_connections.close()
        await self._log.close()

    # Parts

    def _create_consumers(self) -> dict[str, StreamConsumer]:
        feed = DirectoryFeed(self._adapter, self._directory)
        holder = self._configuration
        return {
            "configuration": StreamConsumer(
                self._log,
                self._adapter.configuration_stream,
                self._clock,
                holder.apply_snapshot,
                holder.apply_record,
            ),
            "directory": StreamConsumer(
                self._log,
                self._adapter.directory_stream,
                self._clock,
                feed.apply_snapshot,
                feed.apply_record,
                DIRECTORY_PAUSE,
            ),
        }

    def _create_selectors(self) -> dict[bool, ServerSelector]:
        """Return the choosers of services that are keyed and of those that aren't."""
        domain = self._settings.failure_domain
        balanced = BalancedSelector(self._directory, self._stats, domain, self._clock, self._rng)
        return {
            True: OwnerSelector(self._directory, self._ranges.ownership_cache, self._clock),
            False: balanced,
        }

    def _create_dependencies(self) -> ForwarderDependencies:
        return ForwarderDependencies(
            header_codec=self._adapter.header_codec,
            clock=self._clock,
            rng=self._rng,
            connections=self._connections,
            stats=self._stats,
            queues=self._queues,
            directory=self._directory,
            table=lambda: self._configuration.table,
            is_ready=lambda: self.is_ready,
            selector=self._selector,
            budget=self._budget,
            daemons=lambda: self._ranges.daemons,
            note_key=self._ranges.note_key,
            note_misrouted=self._ranges.note_misrouted,
            body_idle_timeout=BODY_IDLE_TIMEOUT,
        )

    def _selector(self, service: RoutedService) -> ServerSelector:
        return self._selectors[service.keyed]

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            terms = RetryBudgetSettings(
                settings.retry_ratio, settings.retry_fixed, settings.retry_window
            )
            budget = self._budgets[service] = SharedRetryBudget(terms, self._clock)
        return budget

    def _keyed_services(self) -> tuple[str, ...]:
        table = self._configuration.table
        services = table.services.values() if table else ()
        return tuple(item.name for item in services if item.keyed)

    def _can_lead(self) -> bool:
        known = all(item.caught_up.is_set() for item in self._consumers.values())
        return known and self._configuration.table is not None and not self._stop.is_set()

    # Upkeep

    def _reload(self) -> None:
        """Read the settings file again; what can't be read leaves the settings as they are."""
        self._settings_seen = _modified_at(self._settings_path)
        try:
            settings = self._adapter.load_settings(self._settings_path)
        except SettingsError as error:
            log.error("settings are kept", extra={"why": str(error)})
            return
        changed = settings != self._settings
        self._settings = settings
        if changed:
            self._budgets.clear()
        log.info("settings read again", extra={"changed": changed})

    async def _keep_house(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_PERIOD)
            if _modified_at(self._settings_path) != self._settings_seen:
                self._reload()
            self._directory.expire()
            listed = frozenset((item.id, item.address) for item in self._directory.entries.values())
            self._connections.sweep(listed)
            self._queues.keep_only(frozenset(self._directory.entries))

    def _gauges(self) -> dict[str, float]:
        table = self._configuration.table
        at_servers, waiting = self._queues.totals()
        return {
            "requests_at_servers": at_servers,
            "requests_waiting": waiting,
            "configuration_version": table.version if table else 0,
            "servers_listed": len(self._directory.entries),
            "callers_connected": self._listener.connections,
            "requests_in_flight": self._listener.in_flight,
            "server_connections_opened": self._connections.opened,
            "daemons_counted": self._ranges.daemons,
            "leading": int(self._ranges.leadership.has_valid_lease()),
        }


def _modified_at(path: pathlib.Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log.warning("settings file can't be looked at", extra={"why": str(error)})
        return 0
