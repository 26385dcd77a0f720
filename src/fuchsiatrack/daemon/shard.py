"""The components that a daemon runs for one service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiatrack.control.assigner import Assigner
from fuchsiatrack.control.grantclient import GrantClient, HealthCheckGrantClient, HttpGrantClient
from fuchsiatrack.control.orders import OrderDeduplicator, OrdersState
from fuchsiatrack.control.records import Move
from fuchsiatrack.control.replica import AppliedRecord
from fuchsiatrack.control.routelease import RouteLeaseClient, RouteLeaseManager
from fuchsiatrack.control.snapshots import Snapshotter
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.daemon.context import Context
from fuchsiatrack.model.objects import BackendServer
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.reports.levels import ServiceLevelRecorder
from fuchsiatrack.routing.connectionpool import BackendConnectionPool
from fuchsiatrack.routing.exchange import (
    BalancedSelector,
    ExchangeDependencies,
    OwnerSelector,
    ServerSelector,
)
from fuchsiatrack.routing.loadbalancer import LoadBalancer
from fuchsiatrack.routing.ownerresolver import OwnerResolver
from fuchsiatrack.routing.retries import RetryBudget

AVAILABILITY_SAMPLE_PERIOD_MS = 200


class MoveCounter:
    """Counts partitions whose move to another owner has begun."""

    def __init__(self) -> None:
        self.count = 0

    def update(self, applied: AppliedRecord) -> None:
        """Add the partitions that the replayed record *applied* moves."""
        if applied.valid and isinstance(applied.record, Move):
            self.count += len(applied.record.placed)


class OrderControl:
    """Replica, deduplicator and snapshots of the order stream of one service."""

    def __init__(self, service: str, context: Context, may_snapshot: Callable[[], bool]) -> None:
        settings = context.settings
        self.replica = context.create_replica(f"orders-{service}", OrdersState)
        writer = context.create_writer(self.replica)
        self.deduplicator = OrderDeduplicator(self.replica, writer, context.clock)
        self._snapshots = Snapshotter(
            self.replica,
            writer,
            may_snapshot,
            context.clock,
            settings.snapshot_records,
            settings.timings.snapshot_period,
        )

    def jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines to run; each ends only when cancelled."""
        return [self.replica.run(), self.deduplicator.run(), self._snapshots.run()]


class OwnershipControl:
    """Replica, leadership, assignment, route leases and snapshots of one keyed service."""

    def __init__(self, service: str, context: Context, objects: Callable[[], ObjectSet]) -> None:
        timings, clock = context.settings.timings, context.clock
        self.service = service
        self._context = context
        self._objects = objects
        self.replica = context.create_replica(f"shard-{service}", ShardState)
        self.writer = context.create_writer(self.replica)
        self.leadership = context.create_leadership(service, self.replica, self.writer)
        self.route_lease_manager = RouteLeaseManager(
            self.leadership, clock, timings.grant_lease, self._max_request_duration
        )
        self.assigner = Assigner(
            service,
            self.leadership,
            self.replica,
            self.writer,
            objects,
            context.peers,
            self.route_lease_manager,
            self._create_grant_client,
            clock,
            timings,
        )
        self.route_lease_client = RouteLeaseClient(
            service,
            context.local_daemon,
            lambda: self.replica.state,
            context.peers,
            clock,
            timings.grant_lease,
            timings.grant_period,
        )
        self.owner_resolver = OwnerResolver(
            service, objects, self.replica, self.route_lease_client, clock
        )
        self.route_lease_client.is_needed = self._has_unchecked_servers
        self.route_lease_client.draining_partitions = self.owner_resolver.draining_partitions
        self.route_lease_client.pop_request_rates = self.owner_resolver.pop_request_rates
        self._counts_version = (0, -1)
        self._counts = (0, 0, 0)
        self.moves = MoveCounter()
        self.replica.applied.subscribe(self.moves.update)
        self._snapshots = Snapshotter(
            self.replica,
            self.writer,
            self.leadership.has_valid_lease,
            clock,
            context.settings.snapshot_records,
            timings.snapshot_period,
        )

    def jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines to run; each ends only when cancelled."""
        return [
            self.replica.run(),
            self.leadership.run(),
            self.assigner.run(),
            self.route_lease_client.run(),
            self._snapshots.run(),
        ]

    def count_unavailable(self) -> tuple[int, int]:
        """Return the number of partitions, and of those without an owner now.

        These were never assigned or are between two owners.
        """
        partitions, unassigned, revoked = self._count_partitions()
        return partitions, unassigned + revoked

    def count_interrupted(self) -> tuple[int, int]:
        """Return the number of partitions ever assigned, and of those between two owners now.

        Unlike `count_unavailable`, leave out partitions that were never assigned.
        """
        partitions, unassigned, revoked = self._count_partitions()
        return partitions - unassigned, revoked

    def _count_partitions(self) -> tuple[int, int, int]:
        """Return the number of partitions, of those never assigned, and of those revoked."""
        version = (id(self._objects()), self.replica.state.applied)
        if version != self._counts_version:
            ownership = self.replica.state.ownership
            names = self._objects().partitions(self.service).keys() | ownership.keys()
            revoked = sum(1 for owner in ownership.values() if owner.revoked)
            self._counts_version = version
            self._counts = (len(names), len(names) - len(ownership), revoked)
        return self._counts

    def _has_unchecked_servers(self) -> bool:
        servers = self._objects().servers(self.service)
        return any(not server.checks_grants for server in servers)

    def _create_grant_client(self, server: BackendServer) -> GrantClient:
        context = self._context
        timeout = context.settings.timings.grant_timeout
        client = HttpGrantClient if server.checks_grants else HealthCheckGrantClient
        return client(server, context.session, context.clock, timeout)

    def _max_request_duration(self) -> int:
        service = self._objects().services.get(self.service)
        return service.max_deadline if service else 0


class ServiceRuntime:
    """The components of one service, which start and stop together."""

    def __init__(
        self,
        service: str,
        keyed: bool,
        context: Context,
        objects: Callable[[], ObjectSet],
        connections: BackendConnectionPool,
        levels: ServiceLevelRecorder,
        leads_config_shard: Callable[[], bool],
    ) -> None:
        self._service = service
        self._context = context
        self._levels = levels
        self.ownership = OwnershipControl(service, context, objects) if keyed else None
        may_snapshot = (
            self.ownership.leadership.has_valid_lease if self.ownership else leads_config_shard
        )
        self.orders = OrderControl(service, context, may_snapshot)
        self.dependencies = ExchangeDependencies(
            self._create_selector(objects),
            connections,
            self.orders.deduplicator,
            RetryBudget(),
            context.clock,
            context.metrics,
            context.rng,
            context.settings.requests.body_idle_timeout,
            context.request_memory,
            context.response_memory,
        )

    @property
    def is_ready(self) -> bool:
        """Whether all streams of the service have been replayed to their ends."""
        is_ownership_ready = self.ownership is None or self.ownership.replica.caught_up.is_set()
        return is_ownership_ready and self.orders.replica.caught_up.is_set()

    async def run(self) -> None:
        """Run until cancelled."""
        jobs = self.orders.jobs()
        if self.ownership:
            jobs += [*self.ownership.jobs(), self._record_availability(self.ownership)]
        async with asyncio.TaskGroup() as tasks:
            for job in jobs:
                tasks.create_task(job)

    def _create_selector(self, objects: Callable[[], ObjectSet]) -> ServerSelector:
        if self.ownership:
            return OwnerSelector(self.ownership.owner_resolver)
        context = self._context
        is_draining = context.peers.is_draining
        return BalancedSelector(
            LoadBalancer(self._service, objects, is_draining, context.clock, context.rng)
        )

    async def _record_availability(self, ownership: OwnershipControl) -> None:
        clock = self._context.clock
        last = clock.now()
        while True:
            await clock.sleep(AVAILABILITY_SAMPLE_PERIOD_MS)
            now = clock.now()
            self._levels.record_availability(
                self._service, *ownership.count_interrupted(), now - last
            )
            last = now
