"""The `fuchsiatrackd` process: its components, listeners, start and graceful stop."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import signal
from collections.abc import Coroutine
from typing import Any

import aiohttp
import grpclib.server
from aiohttp import web
from reactivex import operators

from fuchsiatrack.callers.requestmemory import RequestMemory
from fuchsiatrack.callers.responsememory import ResponseMemory, body_limit
from fuchsiatrack.control.leadership import Leadership
from fuchsiatrack.control.publishvalidator import PublishValidator
from fuchsiatrack.control.records import Accept, Daemon
from fuchsiatrack.control.snapshots import Snapshotter
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.control.voter import Voter
from fuchsiatrack.daemon.context import Context
from fuchsiatrack.daemon.operator import OperatorServer
from fuchsiatrack.daemon.peerservice import PeerService
from fuchsiatrack.daemon.shard import OwnershipControl, ServiceRuntime
from fuchsiatrack.kernel import registry, statsdmetrics
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.settings import Settings
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.peers.peermonitor import PeerMonitor
from fuchsiatrack.reports.levels import ServiceLevelRecorder
from fuchsiatrack.routing.admission import Admission
from fuchsiatrack.routing.callerserver import CallerServer
from fuchsiatrack.routing.connectionpool import RESERVED_CONNECTIONS, BackendConnectionPool
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from fuchsiatrack.routing.exchange import ExchangeDependencies
from fuchsiatrack.routing.limits import RequestLimiter
from fuchsiatrack.routing.requestbody import STREAMED_BODY_BYTES

CONFIG_STREAM = "config"
CONFIG_SHARD = "config"
ORDER_DRAIN_TIMEOUT_MS = 2_000
LISTEN_BACKLOG = 1_024

log = logging.getLogger(__name__)


class ConfigurationControl:
    """Replica, leadership, publish validation and snapshots of the configuration stream."""

    def __init__(self, context: Context) -> None:
        settings = context.settings
        self.replica = context.create_replica(CONFIG_STREAM, ShardState)
        self.writer = context.create_writer(self.replica)
        self.leadership = context.create_leadership(CONFIG_SHARD, self.replica, self.writer)
        self.publish_validator = PublishValidator(
            self.leadership, self.replica, self.writer, context.clock
        )
        self.snapshots = Snapshotter(
            self.replica,
            self.writer,
            self.leadership.has_valid_lease,
            context.clock,
            settings.snapshot_records,
            settings.timings.snapshot_period,
        )


class DaemonProcess:
    """The components of one daemon, from start to graceful stop."""

    def __init__(self, settings: Settings) -> None:
        registry.load_plugins()
        self._settings = settings
        self._stop = asyncio.Event()
        self._has_failed = False
        self._was_ready = False
        self._tasks: dict[str, asyncio.Task] = {}
        self.context = _create_context(settings)
        self.config = ConfigurationControl(self.context)
        self.levels = ServiceLevelRecorder(self.context.clock)
        self.connections = BackendConnectionPool(settings.requests.max_daemons)
        self.runtimes: dict[str, ServiceRuntime] = {}
        limiter = RequestLimiter(self.context.clock, lambda: self.context.peers.daemon_count)
        self.caller_server = CallerServer(
            Admission(self.objects, limiter, self.context.clock),
            self._dependencies_for,
            self.levels,
            lambda: self.is_ready,
            self.context.clock,
            self.context.metrics,
            settings.requests,
            self.context.response_memory,
            settings.memory_bytes,
        )

    def objects(self) -> ObjectSet:
        """Return the set of objects in force."""
        return self.config.replica.state.objects

    @property
    def is_ready(self) -> bool:
        """Whether the daemon has replayed all streams that it needed at its start.

        A service that is published later doesn't change this: until its own streams have been
        replayed, only its requests are rejected.
        """
        if not self._was_ready:
            services = self.objects().services
            caught_up = self.config.replica.caught_up.is_set()
            self._was_ready = caught_up and all(map(self._is_service_ready, services))
        return self._was_ready

    def _is_service_ready(self, service: str) -> bool:
        runtime = self.runtimes.get(service)
        return runtime is not None and runtime.is_ready

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful stop has begun."""
        return self._stop.is_set()

    @property
    def appends(self) -> int:
        """Number of appends that this daemon has sent to control streams."""
        controls = (item.ownership for item in self.runtimes.values() if item.ownership)
        return self.config.writer.appends + sum(item.writer.appends for item in controls)

    async def run(self) -> bool:
        """Serve until SIGTERM, SIGINT or the failure of a task, then drain and stop.

        Requests in flight have the `shutdown_grace` of the settings to finish.  Return False if
        a task failed.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        self._start_configuration_control()
        peer_server = await self._start_peer_server()
        operator_runner = await self._start_listeners()
        log.info("started", extra={"incarnation": self.context.local_daemon.incarnation})
        await self._stop.wait()
        await self._drain()
        await operator_runner.cleanup()
        peer_server.close()
        await self._close()
        log.info("stopped")
        return not self._has_failed

    # Start

    def _start_configuration_control(self) -> None:
        config = self.config
        config.replica.applied.pipe(
            operators.filter(lambda applied: isinstance(applied.record, Accept))
        ).subscribe(lambda applied: self._start_new_services())
        self._spawn("peers", self.context.peers.run())
        self._spawn("config", config.replica.run())
        self._spawn("config-start", self._start_services_when_caught_up())
        self._spawn("config-leadership", config.leadership.run())
        self._spawn("config-acceptor", config.publish_validator.run())
        self._spawn("config-snapshots", config.snapshots.run())

    async def _start_services_when_caught_up(self) -> None:
        await self.config.replica.caught_up.wait()
        self._start_new_services()

    def _start_new_services(self) -> None:
        """Start the runtime of each new service.

        The runtime of a withdrawn service keeps running until the daemon restarts.
        """
        for name, service in self.objects().services.items():
            if name not in self.runtimes:
                runtime = ServiceRuntime(
                    name,
                    service.keyed,
                    self.context,
                    self.objects,
                    self.connections,
                    self.levels,
                    self.config.leadership.has_valid_lease,
                )
                self.runtimes[name] = runtime
                self._spawn(f"service-{name}", runtime.run())

    def _spawn(self, name: str, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(self._on_task_done)
        self._tasks[name] = task

    def _on_task_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception():
            # A failed task is a defect; the daemon must not keep running without it.
            log.error("task failed", extra={"task": task.get_name()}, exc_info=task.exception())
            self._has_failed = True
            self._stop.set()

    async def _start_peer_server(self) -> grpclib.server.Server:
        service = PeerService(
            self.context.local_daemon,
            self.context.voter,
            self._find_ownership,
            lambda: self.is_ready,
        )
        server = grpclib.server.Server([service])
        listen = self._settings.listen
        await server.start(listen.address, listen.peer_port)
        return server

    def _find_ownership(self, service: str) -> OwnershipControl | None:
        runtime = self.runtimes.get(service)
        return runtime.ownership if runtime else None

    async def _start_listeners(self) -> web.BaseRunner:
        """Listen for callers and operators; return the operators' runner."""
        listen = self._settings.listen
        await self.caller_server.open(listen.address, listen.caller_port)
        runner = web.AppRunner(OperatorServer(self).build_application(), access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, listen.address, listen.operator_port, backlog=LISTEN_BACKLOG)
        await site.start()
        return runner

    # Stop

    async def _drain(self) -> None:
        """Report not ready, resign the terms and finish the requests in flight.

        The load balancer stops sending requests once this daemon reports not ready.
        """
        timings = self._settings.timings
        self.caller_server.start_draining()
        await self.context.clock.sleep(timings.leave_notice)
        await asyncio.gather(*(item.resign() for item in self._leaderships()))
        await self.caller_server.stop(timings.shutdown_grace)
        for runtime in self.runtimes.values():
            await runtime.orders.deduplicator.drain(ORDER_DRAIN_TIMEOUT_MS)

    def _leaderships(self) -> list[Leadership]:
        controls = (item.ownership for item in self.runtimes.values() if item.ownership)
        return [self.config.leadership, *(item.leadership for item in controls)]

    async def _close(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await self.connections.close()
        await self.context.session.close()
        await self.context.peers.close()
        await self.context.log.close()

    def _dependencies_for(self, service: str) -> ExchangeDependencies:
        if not self._is_service_ready(service):
            raise RequestError(ErrorReason.NOT_READY, retry_after_ms=1_000)
        return self.runtimes[service].dependencies


def _create_context(settings: Settings) -> Context:
    clock = SystemClock()
    incarnation = f"{settings.vm}.{settings.incarnation}.{secrets.token_hex(6)}"
    local_daemon = Daemon(
        settings.vm,
        incarnation,
        settings.failure_domain,
        settings.listen.address,
        settings.listen.peer_port,
    )
    platform, timings = settings.platform, settings.timings
    max_bodies = body_limit(settings.memory_bytes)
    vm_list = registry.find("vm_list", platform.vm_list)(platform.vm_list_url, timings.log_timeout)
    return Context(
        settings=settings,
        local_daemon=local_daemon,
        clock=clock,
        metrics=statsdmetrics.create(settings.statsd),
        log=registry.find("log", platform.log)(platform.log_url, timings.log_timeout),
        peers=PeerMonitor(local_daemon, vm_list, clock, timings.vm_poll),
        voter=Voter(clock, timings.support_lease),
        session=aiohttp.ClientSession(
            # Half of the reserved connections for the current leader's grants, half for the
            # previous leader's.
            connector=aiohttp.TCPConnector(
                limit=0, limit_per_host=RESERVED_CONNECTIONS // 2, keepalive_timeout=5
            )
        ),
        rng=random.Random(),
        request_memory=RequestMemory(max_bodies, STREAMED_BODY_BYTES),
        response_memory=ResponseMemory(max_total=max_bodies),
    )
