"""The leader of a keyed service: assigns partitions, moves them, keeps grants alive."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable, Sequence

from fuchsiatrack.control.grantclient import Grant, GrantClient, ServerUnreachable
from fuchsiatrack.control.grantrenewer import UNRESPONSIVE_AFTER_MS, GrantRenewer
from fuchsiatrack.control.leadership import CLAIM_TIMEOUT_MS, Leadership
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
# Pause between plans while only the load has changed.
REPLAN_PERIOD_MS = 5_000
MINUTE_MS = 60_000

log = logging.getLogger(__name__)


class LoadTracker:
    """Requests a second by partition, from the daemons that report to this leader."""

    smoothing_factor = 0.2

    def __init__(self) -> None:
        self._load: dict[str, float] = {}

    @property
    def load(self) -> dict[str, float]:
        """The smoothed load by partition."""
        return self._load

    def add(self, partitions: dict[str, float]) -> None:
        """Take in one daemon's report."""
        for name, value in partitions.items():
            previous = self._load.get(name, value)
            self._load[name] = previous + self.smoothing_factor * (value - previous)


class MoveBudget:
    """Bounds the moves that nothing forces: at most *per_minute* in any minute."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at: list[int] = []

    def acquire(self, wanted: int, per_minute: int) -> int:
        """Return how many of *wanted* moves may start now, and count them."""
        now = self._clock.now()
        self._started_at = [moment for moment in self._started_at if now - moment < MINUTE_MS]
        granted = max(0, min(wanted, per_minute - len(self._started_at)))
        self._started_at.extend([now] * granted)
        return granted


class Assigner:
    """Brings the ownership of one service's partitions to what the placement wants.

    A move is recorded, then the old owner gives up or its lease is waited out, and only then is
    the new owner recorded and granted.  Times are in milliseconds.
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
        """Assign until cancelled."""
        try:
            while True:
                try:
                    await self._step()
                except PlatformUnavailable as error:
                    log.info("no change of ownership", extra={"why": str(error)})
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
        if self._is_due_to_plan():
            plan = self._plan()
            self._is_plan_empty = not plan.has_changes
            await self._assign_new(plan)
            await self._split_and_merge(plan)
            await self._start_moves(plan)
        self._start_transfers()

    def _plan(self) -> Plan:
        objects, load = self._objects(), self.loads.load
        return self._planner.plan(objects, self._state, self._view_server, load)

    def _is_due_to_plan(self) -> bool:
        """Tell whether a plan could differ from the last one, or is long ago."""
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
            # A server at another address is another one; the old one first gives up what it owns.
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
        """Return what *server* should hold; nothing that is leaving it."""
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
        leaving = self._peers.is_leaving(self._vm_name(name))
        return ServerView(
            renewer.is_reachable() and not leaving, leaving or renewer.is_unresponsive()
        )

    def _vm_name(self, server: str) -> str:
        found = self._find_server(server)
        return found.vm_name if found else server

    def _find_server(self, name: str) -> BackendServer | None:
        return self._objects().of(BackendServer).get(name)

    # Changes

    async def _assign_new(self, plan: Plan) -> None:
        if plan.assign and self._has_contacted_servers():
            await self._assign(plan.assign)

    def _has_contacted_servers(self) -> bool:
        """Tell whether each server has answered this leader or had the time to.

        Partitions that are assigned earlier would move as soon as the other servers answer.
        """
        if self._clock.now() - self._leadership.active_from >= UNRESPONSIVE_AFTER_MS:
            return True
        return all(renewer.is_reachable() for renewer in self._renewers.values())

    async def _split_and_merge(self, plan: Plan) -> None:
        for slot, key in plan.splits:

            def build(id: RecordId, term: int, slot: str = slot, key: str = key) -> Record:
                return Split("split", id, term, slot, key)

            await self._append(build)
        for partition in plan.merges:

            def build_merge(id: RecordId, term: int, partition: str = partition) -> Record:
                return Merge("merge", id, term, partition)

            await self._append(build_merge)

    async def _start_moves(self, plan: Plan) -> None:
        allowed = self._budget.acquire(len(plan.voluntary), self._moves_per_minute())
        moves = (*plan.forced, *plan.voluntary[:allowed])
        if moves:
            await self._append(lambda id, term: Move("move", id, term, moves))

    def _moves_per_minute(self) -> int:
        placements = self._objects().placements.values()
        return sum(item.moves_per_minute for item in placements if item.service == self._service)

    async def _assign(self, placed: Iterable[PartitionAssignment]) -> None:
        chosen = tuple(placed)
        await self._append(lambda id, term: Assign("assign", id, term, chosen))

    async def _append(self, build: Callable[[RecordId, int], Record]) -> None:
        if self._leadership.has_valid_lease():
            term = self._leadership.term
            await self._writer.append(lambda id: build(id, term), CLAIM_TIMEOUT_MS)

    # Moves

    def _start_transfers(self) -> None:
        leaving = {owner.server for owner in self._state.ownership.values() if owner.revoked}
        for server in leaving:
            task = self._transfer_tasks.get(server)
            if task is None or task.done():
                self._transfer_tasks[server] = asyncio.create_task(self._transfer(server))

    async def _transfer(self, server: str) -> None:
        """Settle and re-assign the partitions that leave *server*."""
        while self._leadership.has_valid_lease():
            leaving = self._revoked_fences(server)
            if not leaving:
                return
            drained = await self._drained(server, leaving)
            try:
                await self._reassign(drained)
            except PlatformUnavailable as error:
                log.info("move waits for the log", extra={"why": str(error)})
            await self._clock.sleep(REVOKE_PERIOD_MS)

    def _revoked_fences(self, server: str) -> dict[str, int]:
        return {
            name: owner.revoked
            for name, owner in self._state.ownership.items()
            if owner.server == server and owner.revoked
        }

    async def _drained(self, server: str, leaving: dict[str, int]) -> list[str]:
        """Return the partitions that *server* certainly executes nothing for any more."""
        renewer, known = self._renewers.get(server), self._connected_servers.get(server)
        if renewer is None or known is None:
            return self._drained_at_unknown(leaving)
        released: frozenset[str] = frozenset()
        if known.checks_grants:
            try:
                released = await renewer.revoke(leaving)
            except ServerUnreachable as error:
                log.debug("no revoke", extra={"server": server, "why": str(error)})
            return self._drained_at_checked(renewer, leaving, released)
        return self._drained_at_unchecked(renewer, known, leaving)

    def _drained_at_unknown(self, leaving: dict[str, int]) -> list[str]:
        """Return the partitions that a server can't own any more that was withdrawn before.

        Neither its address nor its kind is known to this leader, so every lease is waited out.
        """
        if self._clock.now() < self._leadership.earlier_grants_expire_at:
            return []
        return [
            name for name, fence in leaving.items() if self._route_leases.is_drained(name, fence)
        ]

    def _drained_at_unchecked(
        self, renewer: GrantRenewer, server: BackendServer, leaving: dict[str, int]
    ) -> list[str]:
        """Return the partitions for which nothing can reach or run on an unchecked server.

        A request that was sent to a paused server runs when the server goes on, so it must have
        answered for as long as a request can take, or be gone with its VM.
        """
        if self._peers.was_delisted(server.vm_name):
            return list(leaving)
        if not renewer.has_been_reachable_for(self._route_leases.max_request_duration):
            return []
        return [
            name for name, fence in leaving.items() if self._route_leases.is_drained(name, fence)
        ]

    def _drained_at_checked(
        self, renewer: GrantRenewer, leaving: Iterable[str], released: frozenset[str]
    ) -> list[str]:
        now = self._clock.now()
        return [
            name for name in leaving if name in released or now >= renewer.grant_expires_at(name)
        ]

    async def _reassign(self, partitions: list[str]) -> None:
        if not partitions:
            return
        planned = self._plan()
        targets = {name: self._target(name, planned) for name in partitions}
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
