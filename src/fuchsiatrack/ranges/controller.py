"""Control of one keyed service by the leader: assignment, grants and moves of key ranges."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import functools
import logging
from collections.abc import Awaitable, Callable, Iterable

from fuchsiatrack.directory.servers import ServerDirectory, ServerIncarnation
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.limits.registry import LimitRegistry
from fuchsiatrack.ranges.evacuationorder import first_moves
from fuchsiatrack.ranges.grantclient import (
    NotDelivered,
    OutcomeUnknown,
    RangeGrantClient,
    WrongServer,
)
from fuchsiatrack.ranges.grantrenewer import GRANT_TIMEOUT_MS, GrantRenewer, OwnershipView
from fuchsiatrack.ranges.inheritedgrants import InheritedGrants
from fuchsiatrack.ranges.leadership import Leadership, NotLeading
from fuchsiatrack.ranges.load import KeyLoad, ServiceTimes
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap, divide_evenly
from fuchsiatrack.ranges.planner import PlannedMove, PlannerInput, RangePlanner

# A server responds to a release only when its running requests have completed.
RELEASE_TIMEOUT_MS = 2_500
STEP_PERIOD_MS = 100
RETRY_DELAY_MS = 150
BALANCE_PERIOD_MS = 500
# Lets servers register before the first assignment.
FIRST_ASSIGNMENT_DELAY_MS = 1_500
# Adjacent ranges of one owner are merged when there are more ranges per server on average, since
# each range costs a request per renewal.
MERGE_ABOVE_RANGES_PER_SERVER = 4
WARMING_UP_CAPACITY_RATIO = 0.5
# Bounds on the measured speed of a server relative to the median server.
SPEED_RATIO_MIN = 0.35
SPEED_RATIO_MAX = 2.0

log = logging.getLogger(__name__)


@dataclasses.dataclass(eq=False)
class _QueuedChange:
    """A change of the map that waits to be saved; `error` tells why it was not."""

    change: Callable[[OwnershipMap], OwnershipMap]
    error: Exception | None = None


class ReleaseReason(enum.Enum):
    """Why the keys of a moving range count as free; the values are written to logs."""

    RELEASED = "released"
    REPLACED = "another server at the address"
    EXPIRED = "expired"
    SAME_SERVER = "same server"


@dataclasses.dataclass(frozen=True)
class _Release:
    """Why a range is free for `successor`, and the handover, empty without a response to a release.

    `grants_remaining` is for how many milliseconds grants to its owner might have lasted.
    """

    successor: ServerIncarnation
    grants_remaining: int
    reason: ReleaseReason
    handover: str


class RangeController(OwnershipView):
    """Controls the key ranges of one service during one term of this daemon.

    *ownership* is the latest map of the service on the log. *moving_since* returns when this
    daemon first saw that a range is moving, *save* appends a map to the log, and *limits* has the
    limits that servers named. *inherited* bounds the grants of earlier leaders. While *may_change*
    returns false, grants are only renewed, under the fences that they have.
    Times are in milliseconds.
    """

    def __init__(
        self,
        service: str,
        leadership: Leadership,
        directory: ServerDirectory,
        grant_client: RangeGrantClient,
        planner: RangePlanner,
        clock: Clock,
        max_grant_duration: int,
        ownership: OwnershipMap,
        moving_since: Callable[[OwnedRange], int],
        save: Callable[[OwnershipMap], Awaitable[None]],
        limits: LimitRegistry,
        inherited: InheritedGrants,
        may_change: Callable[[], bool] = lambda: True,
    ) -> None:
        self._service = service
        self._may_change = may_change
        self._limits = limits
        self._leadership = leadership
        self._directory = directory
        self._grant_client = grant_client
        self._planner = planner
        self._clock = clock
        self._map = ownership
        self._pending_map: OwnershipMap | None = None
        self._save = save
        self._started_at = clock.now()
        self._balanced_at = -BALANCE_PERIOD_MS
        # The servers with a limit at the latest plan.
        self._limited_servers: frozenset[ServerIncarnation] = frozenset()
        self._update_lock = asyncio.Lock()
        self._queued_changes: list[_QueuedChange] = []
        self._move_tasks: dict[int, asyncio.Task] = {}
        self.key_load = KeyLoad(clock)
        self.service_times = ServiceTimes()
        self._renewer = GrantRenewer(
            service, leadership, directory, grant_client, clock, max_grant_duration, self, inherited
        )
        self._tracker = self._renewer.tracker
        self._renewer.record_inherited_grants(moving_since)

    @property
    def current(self) -> OwnershipMap:
        return self._map

    @property
    def pending(self) -> OwnershipMap:
        return self._pending_map or self._map

    async def raise_fence(self, item: OwnedRange) -> None:
        if self._may_change():
            await self._update(lambda current: current.raise_fence(item))

    @property
    def extended_grants_remaining(self) -> int:
        """See `GrantRenewer.extended_grants_remaining`."""
        return self._renewer.extended_grants_remaining

    def apply_inherited_bounds(self) -> None:
        """See `GrantRenewer.apply_inherited_bounds`."""
        self._renewer.apply_inherited_bounds()

    async def run(self) -> None:
        """Control the service until the term ends or the task is cancelled."""
        plans = asyncio.create_task(self._run_plans())
        try:
            while self._leadership.holds_term:
                if plans.done():
                    plans.result()
                self._maintain_grants()
                await self._clock.sleep(STEP_PERIOD_MS)
        except NotLeading as error:
            log.info("controller stopped", extra={"service": self._service, "why": str(error)})
        finally:
            plans.cancel()
            self._renewer.close()
            for task in self._move_tasks.values():
                task.cancel()

    def _maintain_grants(self) -> None:
        if not self._leadership.has_valid_lease():
            return
        self._renewer.check_servers_and_lease()
        self._renewer.update_renewal_tasks()
        if self._may_change():
            self._update_move_tasks()

    async def _run_plans(self) -> None:
        """Assign keys and start moves until the term ends.

        A task of its own: it waits for the log, and grants must be maintained meanwhile.
        """
        while self._leadership.holds_term:
            if self._leadership.has_valid_lease() and self._may_change():
                await self._plan_once()
            await self._clock.sleep(STEP_PERIOD_MS)

    async def _plan_once(self) -> None:
        if not self._map.ranges:
            await self._assign_first()
        elif self._is_plan_due():
            await self._start_moves()
        self._maintain_grants()

    # Servers

    def _capacities(self) -> dict[ServerIncarnation, float]:
        """Return the servers that may own keys, with their capacities.

        A capacity is how many requests a server processes at once, in terms of a server of median
        speed.
        """
        usable = [
            entry
            for entry in self._directory.of_service(self._service)
            if not entry.draining
            and not self._directory.is_evacuated(entry)
            and self._renewer.is_reachable(entry.incarnation)
        ]
        speeds = self.service_times.speeds(entry.id for entry in usable)
        return {
            entry.incarnation: entry.slots
            * min(SPEED_RATIO_MAX, max(SPEED_RATIO_MIN, speeds[entry.id]))
            * (WARMING_UP_CAPACITY_RATIO if entry.warming_up else 1.0)
            for entry in usable
        }

    def _servers_left_in_time(self) -> frozenset[ServerIncarnation]:
        """Return the evacuated servers that still get the requests for their keys."""
        return frozenset(
            entry.incarnation
            for entry in self._directory.of_service(self._service)
            if not entry.draining
            and self._directory.is_evacuated(entry)
            and self._directory.accepts_requests(entry)
            and self._renewer.is_reachable(entry.incarnation)
        )

    # Plans

    async def _assign_first(self) -> None:
        incarnations = tuple(self._capacities())
        if not incarnations or self._clock.now() - self._started_at < FIRST_ASSIGNMENT_DELAY_MS:
            return
        await self._update(lambda current: divide_evenly(incarnations, current.fence + 1))
        log.info("keys assigned", extra={"service": self._service, "servers": len(incarnations)})

    def _is_plan_due(self) -> bool:
        now = self._clock.now()
        capacities = self._capacities()
        must_move = any(
            (item.successor or item.owner) not in capacities for item in self._map.ranges
        )
        limited_servers = frozenset(self._limits.rates)
        is_newly_limited = not limited_servers <= self._limited_servers
        is_balancing_due = now - self._balanced_at >= BALANCE_PERIOD_MS
        if not (must_move or is_newly_limited or is_balancing_due):
            return False
        self._balanced_at, self._limited_servers = now, limited_servers
        return True

    async def _start_moves(self) -> None:
        if len(self._map.ranges) > MERGE_ABOVE_RANGES_PER_SERVER * len(self._capacities()):
            await self._merge_ranges()
        capacities = self._capacities()
        service_time = self.service_times.median(item.server for item in capacities)
        planner_input = PlannerInput(
            self._map,
            capacities,
            self.key_load.rates(),
            service_time,
            self._limits.rates,
            self._limits.recent_limits,
        )
        planned = first_moves(
            self._planner.plan(planner_input),
            self._map,
            planner_input.rates,
            self._servers_left_in_time(),
            capacities,
        )
        moves = self._replace_unsettled_moves(planned, capacities)
        if not moves:
            return
        await self._update(lambda current: _apply_moves(current, moves))
        for move in moves:
            fields = {
                "service": self._service,
                "first": move.first,
                "last": move.last,
                "successor": move.successor.server,
                "rate": round(planner_input.rates.between(move.first, move.last), 1),
            }
            log.info("move started", extra=fields)

    def _replace_unsettled_moves(
        self, moves: tuple[PlannedMove, ...], usable: Iterable[ServerIncarnation]
    ) -> tuple[PlannedMove, ...]:
        """Return the moves to start now.

        Keys that an earlier leader may still grant to their owner can go to another server only
        after that leader's lease.  Until then they are renewed at their owner or, if it has
        restarted, go to its later run, which is among the *usable* ones.
        """
        later_runs = {incarnation.server: incarnation for incarnation in usable}
        latest = self._clock.now() + GRANT_TIMEOUT_MS
        kept_ranges, to_later_runs = [], []
        for item in self._map.ranges:
            settled_at = self._tracker.settled_at(item.owner.server, item.first, item.last)
            if item.is_moving or settled_at <= latest:
                continue
            run = later_runs.get(item.owner.server, item.owner)
            if run != item.owner:
                to_later_runs.append(PlannedMove(item.first, item.last, run))
            if run != item.owner or self._renewer.can_renew(item.owner):
                kept_ranges.append(item)
        started = (
            move
            for move in moves
            if not any(item.overlaps(move.first, move.last) for item in kept_ranges)
        )
        return (*to_later_runs, *started)

    async def _merge_ranges(self) -> None:
        before = len(self._map.ranges)
        await self._update(OwnershipMap.merge_neighbours)
        after = len(self._map.ranges)
        if after < before:
            fields = {"service": self._service, "before": before, "after": after}
            log.info("ranges merged", extra=fields)

    async def _update(self, change: Callable[[OwnershipMap], OwnershipMap]) -> None:
        """Apply *change* to the map, once the changed map is saved to the log.

        Changes that are requested during a save are saved together after it.
        """
        queued = _QueuedChange(change)
        self._queued_changes.append(queued)
        async with self._update_lock:
            if queued in self._queued_changes:
                batch, self._queued_changes = self._queued_changes, []
                await self._save_changes(batch)
        if queued.error is not None:
            raise queued.error

    async def _save_changes(self, batch: list[_QueuedChange]) -> None:
        try:
            changed = functools.reduce(lambda current, item: item.change(current), batch, self._map)
            if changed.ranges != self._map.ranges:
                changed = changed.with_revision(self._map.revision + 1)
                self._pending_map = changed
                await self._save(changed)
                self._map, self._pending_map = changed, None
        except BaseException as error:
            failure = error if isinstance(error, Exception) else NotLeading("save cancelled")
            for item in batch:
                item.error = failure
            raise

    # Moves

    def _update_move_tasks(self) -> None:
        for item in self._map.ranges:
            task = self._move_tasks.get(item.first)
            if item.is_moving and (task is None or task.done()):
                self._move_tasks[item.first] = asyncio.create_task(self._complete_move(item))
        moving = {item.first for item in self._map.ranges if item.is_moving}
        for first in self._move_tasks.keys() - moving:
            if self._move_tasks[first].done():
                del self._move_tasks[first]

    async def _complete_move(self, item: OwnedRange) -> None:
        """Complete one move: release the range, save its new owner, and grant it."""
        started_at = self._clock.now()
        release = await self._release_from_owner(item)
        if release is None:
            return
        try:
            await self._update(lambda current: _finish_move(current, item, release))
        except NotLeading as error:
            log.info("move left to the next leader", extra={"first": item.first, "why": str(error)})
            return
        finished = self._map.find(item.first)
        if finished is None or finished.owner != release.successor:
            return
        fields = {
            "service": self._service,
            "first": item.first,
            "last": item.last,
            "from": item.owner.server,
            "from_born": item.owner.started_at,
            "to": finished.owner.server,
            "fence": item.next_fence,
            "freed_by": release.reason.value,
            "grants_remaining_ms": release.grants_remaining,
            "handover": bool(release.handover),
            "took_ms": self._clock.now() - started_at,
        }
        log.info("move finished", extra=fields)
        self._renewer.update_renewal_tasks()
        self._renewer.renew_now(finished.owner)

    async def _release_from_owner(self, item: OwnedRange) -> _Release | None:
        """Wait until no server but the successor of *item* can hold its keys.

        Return None if the term ends first.
        """
        remaining, outcome = 0, (ReleaseReason.EXPIRED, "")
        while self._leadership.holds_term:
            moving, now = self._map.find(item.first) or item, self._clock.now()
            successor = moving.successor or item.owner
            free_at = self._tracker.free_at(item.first, item.last, successor.server)
            if free_at <= now:
                if self._tracker.holders(item.first, item.last):
                    outcome = ReleaseReason.SAME_SERVER, ""
                return _Release(successor, remaining, *outcome)
            remaining, outcome = free_at - now, (ReleaseReason.EXPIRED, "")
            settled_at = self._tracker.settled_at(item.owner.server, item.first, item.last)
            if settled_at > now:
                await self._clock.sleep(min(settled_at - now, RETRY_DELAY_MS))
                continue
            attempt = await self._try_release(item)
            if self._tracker.holders(item.first, item.last).keys() - {successor.server}:
                await self._clock.sleep(RETRY_DELAY_MS)
            else:
                outcome = attempt
        return None

    async def _try_release(self, item: OwnedRange) -> tuple[ReleaseReason, str]:
        """Ask the owner of *item* to release it, in whatever run it is.

        Return why its keys are free, as far as the tracker agrees, and the handover.
        """
        failed = ReleaseReason.EXPIRED, ""
        server = self._directory.find(item.owner.server) or self._directory.latest_entry(item.owner)
        if server is None or not self._leadership.has_valid_lease():
            return failed
        sent_at = self._clock.now()
        try:
            token = await self._grant_client.release(
                server, item.first, item.last, item.next_fence, RELEASE_TIMEOUT_MS
            )
        except WrongServer as error:
            log.info("owner has ended", extra={"server": server.id, "why": str(error)})
            self._renewer.record_wrong_server(server, error)
            self._tracker.record_absence(server.id, server.address, item.first, item.last, sent_at)
            return ReleaseReason.REPLACED, ""
        except (OutcomeUnknown, NotDelivered) as error:
            fields = {"server": server.id, "first": item.first, "why": str(error)}
            log.info("release failed", extra=fields)
            return failed
        self._tracker.record_release(server.id, item.first, item.last, sent_at)
        self._renewer.record_reachable(server.incarnation)
        return ReleaseReason.RELEASED, token


def _apply_moves(current: OwnershipMap, moves: tuple[PlannedMove, ...]) -> OwnershipMap:
    for move in moves:
        item = current.find(move.first)
        if item and item.is_moving:
            current = current.redirect(item.first, move.successor)
        else:
            current = current.start_move(move.first, move.last, move.successor)
    return current


def _finish_move(current: OwnershipMap, released: OwnedRange, release: _Release) -> OwnershipMap:
    """Finish the move of *released*, unless its successor has changed since it was free."""
    item = current.find(released.first)
    if item is None or not item.is_moving or item.next_fence != released.next_fence:
        return current
    if item.successor != release.successor:
        return current
    return current.finish_move(item, release.handover)
