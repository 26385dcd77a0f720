"""Life cycle of a gateway daemon: start, reload of settings and graceful stop."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import random
import secrets
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiatrack.callers.connectionbudget import ConnectionBudget, budget_limits
from fuchsiatrack.callers.kernelstate import descriptor_limit
from fuchsiatrack.callers.requestmemory import RequestMemory
from fuchsiatrack.callers.responsememory import ResponseMemory, body_limit
from fuchsiatrack.coldstart.coldservers import ColdServers
from fuchsiatrack.coldstart.terms import ColdStartTerms
from fuchsiatrack.control.compactedlog import CompactedRecord, ReadContext, StreamConsumer
from fuchsiatrack.control.readdelay import ReadDelay
from fuchsiatrack.directory.departurebudget import DepartureBudget
from fuchsiatrack.directory.evacuation import EvacuationBudget, Evacuations
from fuchsiatrack.directory.servers import EntryState, ServerDirectory, ServerIncarnation
from fuchsiatrack.gateway.adapter import PlatformAdapter
from fuchsiatrack.gateway.admission import AdmissionQueues
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.endpoints import MetricsEndpoint, ReadinessEndpoint
from fuchsiatrack.gateway.explanation import Explainer, Question
from fuchsiatrack.gateway.forwarder import ExchangeDependencies
from fuchsiatrack.gateway.listener import CallerListener
from fuchsiatrack.gateway.rangeservice import RangeService
from fuchsiatrack.gateway.sendwatch import SendWatch
from fuchsiatrack.gateway.serverselection import BalancedSelector, OwnerSelector, ServerSelector
from fuchsiatrack.gateway.serverstats import ServerStatsRegistry
from fuchsiatrack.gateway.settings import Endpoint, GatewaySettings, SettingsError
from fuchsiatrack.gateway.sources import (
    ConfigurationHolder,
    DirectoryUpdater,
    EvacuationUpdater,
)
from fuchsiatrack.gateway.stoppolicy import StopDeadline
from fuchsiatrack.gateway.textmetrics import TextMetrics
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.trafficcounter import TrafficCounter
from fuchsiatrack.limits.backoff import ServerBackoff
from fuchsiatrack.limits.permits import PermitPool
from fuchsiatrack.limits.registry import LimitRegistry
from fuchsiatrack.limits.retrybudget import RetryBudget
from fuchsiatrack.model.routes import RoutedService

# How long a stopping daemon keeps accepting requests: the load balancer polls readiness once a
# second and needs two failures.
DRAIN_NOTICE_MS = 2_600
# Requests still in flight are aborted this long before the end of the grace period.
STOP_MARGIN_MS = 400
# Longest wait for the next chunk of a request body.
BODY_IDLE_TIMEOUT_MS = 10_000
HOUSEKEEPING_INTERVAL_MS = 1_000
# Longest time for which a daemon that can serve isn't ready because it doesn't know the owners of
# keys.  It covers the election of a leader and its first assignment.
OWNERS_WAIT_MAX_MS = 5_000
# Longest time for which a daemon that knows the owners isn't ready because it hasn't been counted.
# Beside a leader that has just taken over it takes two settling times and one or two report
# periods.
COUNT_WAIT_MAX_MS = 2_500
START_CHECK_INTERVAL_MS = 20

log = logging.getLogger(__name__)


class GatewayDaemon:
    """A gateway daemon with its listeners and background tasks.

    *settings* were read from *settings_path* when that file had the time *settings_mtime_ns*, its
    present one by default.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        settings: GatewaySettings,
        settings_path: pathlib.Path,
        settings_mtime_ns: int | None = None,
    ) -> None:
        self._adapter = adapter
        self._settings = settings
        self._settings_path = settings_path
        if settings_mtime_ns is None:
            settings_mtime_ns = modification_time_ns(settings_path)
        self._settings_mtime_ns = settings_mtime_ns
        self._clock = SystemClock()
        self._rng = random.Random()
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._start_wait: asyncio.Task | None = None
        limit = body_limit(settings.memory)
        self._request_memory = RequestMemory(limit)
        self._response_memory = ResponseMemory(max_total=limit)
        self._connections = ConnectionPool(self._clock, self._response_memory)
        self._control_connections = ConnectionPool(self._clock, self._response_memory)
        self._stats = ServerStatsRegistry(self._clock)
        self._queues = AdmissionQueues(self._clock)
        self._metrics = TextMetrics()
        self._traffic = TrafficCounter(self._metrics, settings.failure_domain)
        self._log = adapter.open_log(settings, self._traffic)
        self._configuration = ConfigurationHolder(
            adapter, settings.config_apply, _read_delay(settings)
        )
        self._departure_budget = DepartureBudget(settings.drain, settings.contact)
        evacuations = Evacuations(self._clock, EvacuationBudget(settings.evacuation))
        self._directory = ServerDirectory(self._clock, self._departure_budget, evacuations)
        self._cold_servers = ColdServers(
            self._find_cold_start, lambda: self._settings.cold_bound, self._clock
        )
        self._limits = LimitRegistry(self._directory.is_listed, self._cold_servers)
        self._backoff = ServerBackoff()
        self._evacuation_updater = EvacuationUpdater(adapter, self._directory)
        self._consumers = self._create_consumers()
        self._range_service = RangeService(
            settings,
            secrets.token_hex(6),
            self._log,
            adapter.open_grant_client(self._control_connections, self._traffic, self._clock),
            self._directory,
            self._stats,
            self._clock,
            self._rng,
            self._can_lead,
            self._keyed_services,
            self._consumers,
            self._traffic,
            self._limits,
            lambda: self._settings.retry_budget,
            self._cold_servers,
        )
        self._retry_budget = RetryBudget(
            lambda: self._settings.retry_budget,
            self._range_service.permit_channel,
            self._clock,
            self._metrics,
        )
        self._permits = PermitPool(
            self._limits,
            self._range_service.permit_channel,
            lambda: self._range_service.counted_daemons,
            self._clock,
            self._rng,
            self._metrics,
        )
        self._balanced = self._create_balanced_selector()
        self._owners = OwnerSelector(
            self._directory, self._range_service.ownership_cache, self._clock
        )
        self._selectors: dict[bool, ServerSelector] = {True: self._owners, False: self._balanced}
        self._send_watch = SendWatch(self._metrics)
        self._directory.changed.subscribe(lambda server: self._send_watch.check())
        ownership_changed = self._range_service.ownership_cache.changed
        ownership_changed.subscribe(lambda service: self._send_watch.check())
        self._caller_budget = ConnectionBudget(
            budget_limits(settings.memory, settings.descriptors or descriptor_limit()),
            self._metrics,
        )
        dependencies = self._create_dependencies()
        self._explainer = Explainer(
            dependencies, self._balanced, self._owners, self._range_service.ownership_cache
        )
        self._listener = CallerListener(
            dependencies,
            self._metrics,
            self._response_memory,
            self._caller_budget,
        )
        self._readiness = ReadinessEndpoint(lambda: self.is_ready and not self._stop.is_set())
        self._metrics_endpoint = MetricsEndpoint(
            self._metrics,
            self._read_gauges,
            lambda query: self._explainer.explain(Question.parse(query)).to_document(),
        )

    @property
    def is_listening(self) -> bool:
        """Whether every listener is open."""
        return bool(self._tasks)

    @property
    def is_ready(self) -> bool:
        """Whether this daemon can serve, and had time to learn what it serves best with.

        That is the owners of keys, and its share of what all daemons share.  It waits for neither
        for long, and once ready it isn't unready for what a service lacks.
        """
        return self.can_serve and self._start_wait is not None and self._start_wait.done()

    @property
    def can_serve(self) -> bool:
        """Whether the configuration and the servers are known.

        What a service lacks, such as servers or owners, costs only its own requests.
        """
        is_directory_known = self._consumers["directory"].caught_up.is_set()
        return is_directory_known and self._configuration.current is not None

    @property
    def _knows_owners(self) -> bool:
        """Whether the owners are known of each keyed service that has a server to own its keys."""
        if not self._range_service.has_read_owners:
            return not self._keyed_services()
        return all(
            self._range_service.ownership_cache.find(name).ranges
            for name in self._keyed_services()
            if any(
                not entry.draining and not self._directory.is_evacuated(entry)
                for entry in self._directory.of_service(name)
            )
        )

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully; SIGHUP reloads the settings."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self._settings
        await self._readiness.start(settings.readiness)
        await self._listener.start(settings.callers)
        await self._metrics_endpoint.start(Endpoint(settings.callers.host, settings.metrics_port))
        await self._range_service.start()
        log.info("daemon started", extra={"vm": settings.vm, "callers": str(settings.callers)})
        jobs = [*(item.run() for item in self._consumers.values()), *self._range_service.jobs()]
        jobs += [self._directory.run(), self._run_housekeeping()]
        self._tasks = [asyncio.create_task(self._supervise(job)) for job in jobs]
        self._start_wait = asyncio.create_task(self._supervise(self._await_start()))
        await self._stop.wait()
        await self._shut_down()

    async def _supervise(self, job: Coroutine[Any, Any, None]) -> None:
        try:
            await job
        except Exception:
            log.exception("background task failed; stopping the daemon")
            self._stop.set()

    async def kill(self) -> None:
        """Stop at once, like a killed process, but release the event loop's resources."""
        await self._listener.stop(0)
        await self._close()

    async def _shut_down(self) -> None:
        log.info("daemon stopping", extra={"in_flight": self._listener.in_flight})
        started_at = self._clock.now()
        notice_ends_at = started_at + DRAIN_NOTICE_MS
        stop_deadline = StopDeadline(
            notice_ends_at, started_at + self._settings.stop_grace - STOP_MARGIN_MS
        )
        self._listener.start_draining(stop_deadline)
        await self._range_service.resign()
        await self._clock.sleep_until(notice_ends_at)
        remaining = stop_deadline.ends_at - self._clock.now()
        await self._listener.stop(max(remaining, 0))
        # The log service may have recovered in the meantime.
        await self._range_service.resign()
        await self._close()
        log.info("daemon stopped", extra={"took_ms": self._clock.now() - started_at})

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._start_wait is not None:
            self._start_wait.cancel()
        self._range_service.close()
        await self._readiness.stop()
        await self._metrics_endpoint.stop()
        self._connections.close()
        self._control_connections.close()
        await self._log.close()

    # Construction

    def _create_consumers(self) -> dict[str, StreamConsumer]:
        updater = DirectoryUpdater(self._adapter, self._directory, self._cold_servers.record_entry)
        evacuations = self._evacuation_updater
        configuration = self._configuration

        def apply_snapshot(records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
            evacuations.apply_snapshot(records, context)
            configuration.apply_records(records, context)

        def apply_records(records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
            evacuations.apply_records(records, context)
            configuration.apply_records(records, context)

        return {
            "configuration": StreamConsumer(
                self._log,
                self._adapter.configuration_stream,
                self._clock,
                apply_snapshot,
                apply_records,
                newest_only=True,
            ),
            "directory": StreamConsumer(
                self._log,
                self._adapter.directory_stream,
                self._clock,
                updater.apply_snapshot,
                updater.apply_records,
                self._departure_budget.read_pause,
            ),
        }

    def _create_balanced_selector(self) -> BalancedSelector:
        return BalancedSelector(
            self._directory,
            self._stats,
            self._settings.failure_domain,
            self._clock,
            self._rng,
            self._expected_delay,
            self._queues.queue_length,
        )

    def _create_dependencies(self) -> ExchangeDependencies:
        return ExchangeDependencies(
            header_codec=self._adapter.header_codec,
            clock=self._clock,
            rng=self._rng,
            connections=self._connections,
            stats=self._stats,
            queues=self._queues,
            limits=self._limits,
            backoff=self._backoff,
            cold_servers=self._cold_servers,
            permits=self._permits,
            retry_budget=self._retry_budget,
            directory=self._directory,
            metrics=self._metrics,
            traffic=self._traffic,
            table=lambda: self._configuration.current,
            is_ready=lambda: self.can_serve,
            find_selector=self._find_selector,
            daemon_count=lambda: self._range_service.daemon_count,
            record_key=self._range_service.record_key,
            record_misrouted=self._range_service.record_misrouted,
            request_memory=self._request_memory,
            response_memory=self._response_memory,
            send_watch=self._send_watch,
            body_idle_timeout=BODY_IDLE_TIMEOUT_MS,
        )

    def _find_selector(self, service: RoutedService) -> ServerSelector:
        return self._selectors[service.keyed]

    def _expected_delay(self, server: ServerIncarnation) -> int:
        """Return for how long *server* is known to take no request, in milliseconds."""
        pause = self._backoff.remaining(server, self._clock.now())
        return max(pause, self._permits.expected_delay(server))

    def _keyed_services(self) -> tuple[str, ...]:
        table = self._configuration.current
        services = table.services.values() if table else ()
        return tuple(item.name for item in services if item.keyed)

    def _find_cold_start(self, service: str) -> ColdStartTerms | None:
        table = self._configuration.current
        known = table.services.get(service) if table else None
        return known.cold_start if known else None

    def _can_lead(self) -> bool:
        all_caught_up = all(item.caught_up.is_set() for item in self._consumers.values())
        return all_caught_up and self._configuration.current is not None and not self._stop.is_set()

    async def _await_start(self) -> None:
        """Wait until this daemon can serve, knows the owners, and has been counted by a leader.

        The owners and the count are awaited for a bounded time, and the latter only as far as a
        leader responds.
        """
        while not self.can_serve:
            await self._clock.sleep(START_CHECK_INTERVAL_MS)
        await self._wait_while(lambda: not self._knows_owners, OWNERS_WAIT_MAX_MS)
        if not self._knows_owners:
            log.warning("ready without the owners of all keys")
        await self._wait_while(lambda: self._range_service.awaits_count, COUNT_WAIT_MAX_MS)

    async def _wait_while(self, condition: Callable[[], bool], timeout: int) -> None:
        """Wait while *condition* holds, up to *timeout* milliseconds."""
        deadline = self._clock.now() + timeout
        while condition() and self._clock.now() < deadline:
            await self._clock.sleep(START_CHECK_INTERVAL_MS)

    # Maintenance

    def _reload(self) -> None:
        """Reload the settings file; keep the previous settings if it is unusable."""
        self._settings_mtime_ns = modification_time_ns(self._settings_path)
        try:
            settings = self._adapter.load_settings(self._settings_path)
        except SettingsError as error:
            log.error("settings rejected; keeping the previous ones", extra={"why": str(error)})
            return
        changed = settings != self._settings
        self._settings = settings
        log.info("settings reloaded", extra={"changed": changed})

    def _reload_if_changed(self) -> None:
        """Reload the settings file if it was modified, which no signal may have told."""
        if modification_time_ns(self._settings_path) != self._settings_mtime_ns:
            self._reload()

    async def _run_housekeeping(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_INTERVAL_MS)
            self._reload_if_changed()
            listed = frozenset((item.id, item.address) for item in self._directory.entries.values())
            self._connections.sweep(listed)
            self._queues.keep_only(frozenset(self._directory.entries))
            self._evacuation_updater.expire()
            self._cold_servers.drop_outdated(self._directory.is_listed)
            self._limits.drop_outdated(self._clock.now())
            self._permits.drop_outdated()
            self._backoff.drop_outdated(self._clock.now())
            self._range_service.permit_channel.drop_idle()

    def _read_gauges(self) -> dict[str, float]:
        table = self._configuration.current
        at_servers, waiting = self._queues.totals()
        states = self._directory.count_states()
        return {
            "requests_at_servers": at_servers,
            "requests_waiting": waiting,
            "configuration_version": table.version if table else 0,
            "configuration_delay_bound_ms": self._configuration.delay_bound,
            "servers_listed": len(self._directory.entries),
            "servers_draining": states.get(EntryState.DRAINING, 0),
            "servers_evacuated": sum(
                map(self._directory.is_evacuated, self._directory.entries.values())
            ),
            "failure_domains_evacuated": len(self._directory.evacuations.domains),
            "servers_expired": states.get(EntryState.EXPIRED, 0),
            "servers_limited": len(self._limits.rates),
            "servers_cold": len(self._cold_servers.rates),
            "servers_backing_off": self._backoff.count,
            "service_times_shared": self._stats.shared_time_count,
            "servers_said_leaving": len(self._directory.announced_departures),
            "callers_connected": self._listener.connection_count,
            "requests_in_flight": self._listener.in_flight,
            "request_bytes_held": self._request_memory.total,
            "request_head_bytes_held": self._caller_budget.head_bytes,
            "response_bytes_held": self._response_memory.total,
            "server_connections_opened": self._connections.opened_count,
            "daemons_counted": self._range_service.daemon_count,
            "log_era": self._log.era.current or 0,
            "log_restorations": self._log.era.restorations,
            "leading": int(self._range_service.leadership.has_valid_lease()),
        }


def _read_delay(settings: GatewaySettings) -> ReadDelay | None:
    """Return the bound on the delay of reads, None if the rate of the link isn't known."""
    if not settings.link_rate:
        return None
    return ReadDelay(settings.link_rate, settings.max_read_size)


def modification_time_ns(path: pathlib.Path) -> int:
    """Return when the file *path* was modified last, 0 if that can't be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log.warning("settings file not readable", extra={"why": str(error)})
        return 0
