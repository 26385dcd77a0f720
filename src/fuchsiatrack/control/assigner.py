"""Assignment and moves of the partitions of one keyed service by its leader."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable, Sequence

from fuchsiatrack.control.grantclient import Grant, GrantClient, ServerUnreachable
from fuchsiatrack.control.grantrenewer import UNRESPONSIVE_AFTER_MS, GrantRenewer
from fuchsiatrack.control.leadership import APPEND_TIMEOUT_MS, Leadership
from fuchsiatrack.control.placement import Plan, Planner, ServerView
from fuchsiatrack.control.records import (
    Assign,
    Merge,
    Move,
    PartitionAssignment,
    Record,
    RecordId,
    Split,
)
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.routelease import RouteLeaseManager
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.kernel.settings import TimingSettings
from fuchsiatrack.model.objects import BackendServer
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.peers.peermonitor import PeerMonitor

PLAN_PERIOD_MS = 200
REVOKE_PERIOD_MS = 50
# Period of plans while nothing but the load has changed.
REPLAN_PERIOD_MS = 5_000
MINUTE_MS = 60_000

log = logging.getLogger(__name__)


class LoadTracker:
    """Smoothed request rate of each partition per daemon report, in requests per second.

    Reports of several daemons are averaged, not summed.
    """

    smoothing_factor = 0.2

    def __init__(self) -> None:
        self._load: dict[str, float] = {}

    @property
    def load(self) -> dict[str, float]:
        """Smoothed request rate of each partition per daemon report, in requests per second."""
        return self._load

    def add(self, partitions: dict[str, float]) -> None:
        """Apply one daemon's report of request rates by partition."""
        for name, value in partitions.items():
            previous = self._load.get(name, value)
            self._load[name] = previous + self.smoothing_factor * (value - previous)


class MoveBudget:
    """Limit on the voluntary moves that start within any minute."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start_times: list[int] = []

    def acquire(self, wanted: int, per_minute: int) -> int:
        """Return how many of *wanted* moves may start now, and count these as started.

        At most *per_minute* moves start within any minute.
        """
        now = self._clock.now()
        self._start_times = [
            start_time for start_time in self._start_times if now - start_time < MINUTE_MS
        ]
        granted = max(0, min(wanted, per_minute - len(self._start_times)))
        self._start_times.extend([now] * granted)
        return granted


class Assigner:
    """Assigns and moves the partitions of one service as the placement policy plans.

    A move is recorded first.  Once the old owner has released the partition or its lease has
    expired, the new owner is recorded and then granted.  Times are in milliseconds.
    """

    def __init__(
        self,
        service: str,
        leadership: Leadership,
        replica: StateReplica[ShardState],
        writer: StreamWriter,
        objects: Callable[[], ObjectSet],
        peers: PeerMonitor,
        route_leases: RouteLeaseManager,
        connect: Callable[[BackendServer], GrantClient],
        clock: Clock,
        timings: TimingSettings,
    ) -> None:
        self._service = service
        self._leadership = leadership
        self._replica = replica
        self._writer = writer
        self._objects = objects
        self._peers = peers
        self._route_leases = route_leases
        self._connect = connect
        self._clock = clock
        self._timings = timings
        self._planner = Planner(service)
        self._budget = MoveBudget(clock)
        self._renewers: dict[str, GrantRenewer] = {}
        self._connected_servers: dict[str, BackendServer] = {}
        self._renewal_tasks: dict[str, asyncio.Task] = {}
        self._transfer_tasks: dict[str, asyncio.Task] = {}
        self._planned_inputs: tuple = ()
        self._planned_at = -1
        self._is_plan_empty = False
        self.loads = LoadTracker()
        replica.applied.subscribe(lambda applied: self._wake_renewers())

    async def run(self) -> None:
        """Plan and carry out assignments until cancelled."""
        try:
            while True:
                try:
                    await self._step()
                except PlatformUnavailable as error:
                    log.info("ownership change failed", extra={"why": str(error)})
                await self._clock.sleep(PLAN_PERIOD_MS)
        finally:
            for task in itertools.chain(
                self._renewal_tasks.values(), self._transfer_tasks.values()
            ):
                task.cancel()

    @property
    def _state(self) -> ShardState:
        return self._replica.state

    async def _step(self) -> None:
        self._sync_renewers()
        if not self._leadership.has_valid_lease():
            return
        if self._is_plan_due():
            plan = self._plan()
            self._is_plan_empty = not plan.has_changes
            await self._assign_new(plan)
            await self._split_and_merge(plan)
            await self._start_moves(plan)
        self._start_transfers()

    def _plan(self) -> Plan:
        objects, load = self._objects(), self.loads.load
        return self._planner.plan(objects, self._state, self._view_server, load)

    def _is_plan_due(self) -> bool:
        """Return whether inputs have changed, the last plan had changes, or it is old."""
        views = tuple(self._view_server(name) for name in sorted(self._renewers))
        inputs = (id(self._objects()), self._state.applied, views)
        now = self._clock.now()
        is_unchanged = inputs == self._planned_inputs and self._is_plan_empty
        if is_unchanged and now - self._planned_at < REPLAN_PERIOD_MS:
            return False
        self._planned_inputs, self._planned_at = inputs, now
        return True

    # Servers

    def _sync_renewers(self) -> None:
        servers = {server.name: server for server in self._objects().servers(self._service)}
        owners = {owner.server for owner in self._state.ownership.values()}
        for name, server in servers.items():
            # A server with a changed address is a different server, which is only connected to
            # once the old one has released its partitions.
            if name not in self._renewers or (
                self._has_changed_address(server) and name not in owners
            ):
                self._start_renewer(server)
        for name in self._renewers.keys() - servers.keys() - owners:
            self._renewal_tasks.pop(name).cancel()
            del self._renewers[name], self._connected_servers[name]

    def _has_changed_address(self, server: BackendServer) -> bool:
        known = self._connected_servers.get(server.name)
        return known is None or known.address != server.address

    def _start_renewer(self, server: BackendServer) -> None:
        if server.name in self._renewal_tasks:
            self._renewal_tasks[server.name].cancel()
        renewer = GrantRenewer(
            server.name,
            self._connect(server),
            self._leadership,
            self._grants,
            self._clock,
            self._timings,
        )
        self._renewers[server.name] = renewer
        self._connected_servers[server.name] = server
        self._renewal_tasks[server.name] = asyncio.create_task(renewer.run())

    def _grants(self, server: str) -> Sequence[Grant]:
        """Return the grants for *server*, without partitions that are moving away from it."""
        return tuple(
            Grant(name, owner.fence, tuple(sorted(self._state.hot_keys(name))))
            for name, owner in self._state.ownership.items()
            if owner.server == server and not owner.revoked
        )

    def _wake_renewers(self) -> None:
        for renewer in self._renewers.values():
            renewer.wake()

    def _view_server(self, name: str) -> ServerView:
        renewer, server = self._renewers.get(name), self._find_server(name)
        if renewer is None or server is None or self._has_changed_address(server):
            return ServerView(False, True)
        draining = self._peers.is_draining(self._vm_name(name))
        return ServerView(
            renewer.is_reachable() and not draining, draining or renewer.is_unresponsive()
        )

    def _vm_name(self, server: str) -> str:
        found = self._find_server(server)
        return found.vm_name if found else server

    def _find_server(self, name: str) -> BackendServer | None:
        return self._objects().by_kind(BackendServer).get(name)

    # Changes

    async def _assign_new(self, plan: Plan) -> None:
        if plan.assign and self._has_contacted_servers():
            await self._assign(plan.assign)

    def _has_contacted_servers(self) -> bool:
        """Return whether every server has responded to this leader or has had time to.

        Partitions that are assigned earlier would move again once the other servers respond.
        """
        if self._clock.now() - self._leadership.active_from >= UNRESPONSIVE_AFTER_MS:
            return True
        return all(renewer.is_reachable() for renewer in self._renewers.values())

    async def _split_and_merge(self, plan: Plan) -> None:
        for slot, key in plan.splits:

            def build(record_id: RecordId, term: int, slot: str = slot, key: str = key) -> Record:
                return Split("split", record_id, term, slot, key)

            await self._append(build)
        for partition in plan.merges:

            def build_merge(record_id: RecordId, term: int, partition: str = partition) -> Record:
                return Merge("merge", record_id, term, partition)

            await self._append(build_merge)

    async def _start_moves(self, plan: Plan) -> None:
        allowed = self._budget.acquire(len(plan.voluntary), self._moves_per_minute())
        moves = (*plan.forced, *plan.voluntary[:allowed])
        if moves:
            await self._append(lambda record_id, term: Move("move", record_id, term, moves))

    def _moves_per_minute(self) -> int:
        placements = self._objects().placements.values()
        return sum(item.moves_per_minute for item in placements if item.service == self._service)

    async def _assign(self, assignments: Iterable[PartitionAssignment]) -> None:
        placed = tuple(assignments)
        await self._append(lambda record_id, term: Assign("assign", record_id, term, placed))

    async def _append(self, build: Callable[[RecordId, int], Record]) -> None:
        if self._leadership.has_valid_lease():
            term = self._leadership.term
            await self._writer.append(lambda record_id: build(record_id, term), APPEND_TIMEOUT_MS)

    # Moves

    def _start_transfers(self) -> None:
        servers_to_release = {
            owner.server for owner in self._state.ownership.values() if owner.revoked
        }
        for server in servers_to_release:
            task = self._transfer_tasks.get(server)
            if task is None or task.done():
                self._transfer_tasks[server] = asyncio.create_task(self._transfer(server))

    async def _transfer(self, server: str) -> None:
        """Reassign the partitions that move away from *server*.

        Each is reassigned once *server* can run no more requests for it.
        """
        while self._leadership.has_valid_lease():
            fences = self._revoke_fences(server)
            if not fences:
                return
            drained = await self._revoke_and_list_drained(server, fences)
            try:
                await self._reassign(drained)
            except PlatformUnavailable as error:
                log.info("move delayed: log unavailable", extra={"why": str(error)})
            await self._clock.sleep(REVOKE_PERIOD_MS)

    def _revoke_fences(self, server: str) -> dict[str, int]:
        return {
            name: owner.revoked
            for name, owner in self._state.ownership.items()
            if owner.server == server and owner.revoked
        }

    async def _revoke_and_list_drained(self, server: str, fences: dict[str, int]) -> list[str]:
        """Ask *server* to release the partitions in *fences*.

        Return those for which it can run no more requests.
        """
        renewer, known = self._renewers.get(server), self._connected_servers.get(server)
        if renewer is None or known is None:
            return self._drained_at_unknown(fences)
        released: frozenset[str] = frozenset()
        if known.checks_grants:
            try:
                released = await renewer.revoke(fences)
            except ServerUnreachable as error:
                log.debug("revoke failed", extra={"server": server, "why": str(error)})
            return self._drained_at_checked(renewer, fences, released)
        return self._drained_at_unchecked(renewer, known, fences)

    def _drained_at_unknown(self, fences: dict[str, int]) -> list[str]:
        """Return the drained partitions of a server that was removed before this leader took over.

        This leader knows neither its address nor whether it checks grants, so it waits until
        every lease has expired.
        """
        if self._clock.now() < self._leadership.earlier_grants_expire_at:
            return []
        return [
            name
            for name, revoke_fence in fences.items()
            if self._route_leases.is_drained(name, revoke_fence)
        ]

    def _drained_at_unchecked(
        self, renewer: GrantRenewer, server: BackendServer, fences: dict[str, int]
    ) -> list[str]:
        """Return the drained partitions of a server that does not check grants.

        A request that was sent to a paused server runs when the server resumes.  Therefore the
        server must have been reachable for as long as a request can take, or its VM must be gone.
        """
        if self._peers.was_delisted(server.vm_name):
            return list(fences)
        if not renewer.has_been_reachable_for(self._route_leases.max_request_duration):
            return []
        return [
            name
            for name, revoke_fence in fences.items()
            if self._route_leases.is_drained(name, revoke_fence)
        ]

    def _drained_at_checked(
        self, renewer: GrantRenewer, fences: Iterable[str], released: frozenset[str]
    ) -> list[str]:
        now = self._clock.now()
        return [
            name for name in fences if name in released or now >= renewer.grant_expires_at(name)
        ]

    async def _reassign(self, partitions: list[str]) -> None:
        if not partitions:
            return
        plan = self._plan()
        targets = {name: self._target(name, plan) for name in partitions}
        await self._assign(
            PartitionAssignment(name, server) for name, server in targets.items() if server
        )

    def _target(self, partition: str, plan: Plan) -> str:
        owner = self._state.ownership.get(partition)
        if owner is None or not owner.revoked:
            return ""
        if self._view_server(owner.target).usable:
            return owner.target
        return plan.wanted.get(partition, "")
