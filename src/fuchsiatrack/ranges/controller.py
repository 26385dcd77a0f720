"""The leader's work for one keyed service: assigns ranges, keeps grants alive, moves ranges."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable

from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry, ServerLife
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.granting import (
    GrantRefused,
    NoAnswer,
    NotDelivered,
    RangeGrant,
    RangeGranter,
)
from fuchsiatrack.ranges.holds import HoldLedger, longest_hold
from fuchsiatrack.ranges.load import KeyLoad, ServiceTimes
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap, divide_evenly
from fuchsiatrack.ranges.planner import PlannedMove, RangePlanner, Situation
from fuchsiatrack.ranges.term import LEASE, Leadership, NotLeading

# Length of a grant while the log answers, in milliseconds: outlasts the loss of a leader with the
# takeover, and bounds how long the keys of a lost server wait.
GRANT_HOLD = 4_000
# Length of a grant while renewals of the term fail, in milliseconds, if servers take it: outlasts
# an outage of the log of nine seconds together with the lease.
LONG_HOLD = 7_500
# Part of a grant after which it is renewed.
RENEW_PART = 0.25
# Longest wait for the answer to a grant, in milliseconds.
GRANT_TIMEOUT = 600
# Longest wait for the answer to a release, in milliseconds: running requests end first.
RELEASE_TIMEOUT = 2_500
# A server that takes no grant for this long loses its keys, in milliseconds: one failed renewal
# and one more on a new connection.
UNREACHABLE_MAX = 1_200
# Pause between connections that are tried to a server that took no grants, in milliseconds.
PROBE_PERIOD = 1_000
STEP_PERIOD = 100
RETRY_PAUSE = 150
BALANCE_PERIOD = 500
# Time for servers to list themselves before the first assignment, in milliseconds.
FIRST_ASSIGN_WAIT = 1_500
# More ranges than this for each server are merged where they touch; each costs a call a renewal.
RANGES_PER_SERVER_MAX = 4
# Part of its capacity that a server has while it is warming up.
COLD_CAPACITY = 0.5
# Bounds on the measured speed of a server against the others.
SPEED_MIN = 0.35
SPEED_MAX = 2.0

log = logging.getLogger(__name__)


class RangeController:
    """Runs while this daemon leads; a new one is made for each term.

    *ownership* is the service's map as the log shows it, *moving_since* tells when this daemon
    first saw that a range leaves its owner, and *save* appends a map to the log.
    Times are in milliseconds.
    """

    def __init__(
        self,
        service: str,
        leadership: Leadership,
        directory: ServerDirectory,
        granter: RangeGranter,
        planner: RangePlanner,
        clock: Clock,
        max_hold: int,
        ownership: OwnershipMap,
        moving_since: Callable[[OwnedRange], int],
        save: Callable[[OwnershipMap], Awaitable[None]],
    ) -> None:
        self._service = service
        self._leadership = leadership
        self._directory = directory
        self._granter = granter
        self._planner = planner
        self._clock = clock
        self._long_hold = min(max_hold, LONG_HOLD)
        self._long_until = clock.now()
        self._map = ownership
        self._pending: OwnershipMap | None = None
        self._moving_since = moving_since
        self._save = save
        self._started_at = clock.now()
        self._balanced_at = -BALANCE_PERIOD
        self._holds = HoldLedger(clock)
        self._write = asyncio.Lock()
        self._renewers: dict[ServerLife, asyncio.Task] = {}
        self._transfers: dict[int, asyncio.Task] = {}
        self._wakes: dict[ServerLife, asyncio.Event] = {}
        self._reached_at: dict[ServerLife, int] = {}
        self._unreachable: set[ServerLife] = set()
        self._probes: dict[ServerLife, asyncio.Task] = {}
        self.load = KeyLoad(clock)
        self.times = ServiceTimes()
        self._inherit_holds()

    async def run(self) -> None:
        """Control until the term ends or the task is cancelled."""
        try:
            while self._leadership.is_mine:
                await self._step()
                await self._clock.sleep(STEP_PERIOD)
        except NotLeading as error:
            log.info("control ends", extra={"service": self._service, "why": str(error)})
        finally:
            running = (self._renewers, self._transfers, self._probes)
            for task in itertools.chain.from_iterable(tasks.values() for tasks in running):
                task.cancel()

    def _inherit_holds(self) -> None:
        """Count the grants that earlier leaders may have sent, now or until their leases end."""
        latest = self._clock.now() + LEASE + GRANT_TIMEOUT
        for item in self._map.ranges:
            # A leader renews ranges no longer once it has begun to record that they leave.
            left = self._moving_since(item) + LEASE + GRANT_TIMEOUT
            arrival = min(latest, left) if item.is_moving else latest
            self._holds.note(item.owner, item.first, item.last, arrival, self._long_hold)
        if self._map.ranges:
            self._long_until = latest + longest_hold(self._long_hold)

    @property
    def long_for(self) -> int:
        """For how many milliseconds grants of `LONG_HOLD` may still last, also earlier leaders'."""
        return max(0, self._long_until - self._clock.now())

    def shorten_holds(self, long_for: int) -> None:
        """Take in the last word of the leader before, which now sends nothing more.

        Its `long_for` was *long_for* when it said so.
        """
        usual = GRANT_TIMEOUT + longest_hold(GRANT_HOLD)
        latest = self._clock.now() + max(long_for, usual)
        self._holds.limit(latest)
        self._long_until = min(self._long_until, latest)

    async def _step(self) -> None:
        if not self._leadership.may_act():
            return
        self._check_servers()
        if not self._map.ranges:
            await self._assign_first()
        elif self._is_due_to_plan():
            await self._start_moves()
        self._sync_renewers()
        self._continue_transfers()

    # Servers

    def _entry(self, life: ServerLife) -> ServerEntry | None:
        """Return the entry of *life*, None when it is not listed or runs as another life."""
        entry = self._directory.find(life.server)
        if entry is None or entry.life != life or entry.service != self._service:
            return None
        return entry

    def _check_servers(self) -> None:
        now = self._clock.now()
        for entry in self._directory.of_service(self._service):
            reached_at = self._reached_at.setdefault(entry.life, now)
            lost = now - reached_at > UNREACHABLE_MAX and bool(self._map.of(entry.life))
            if lost and entry.life not in self._unreachable:
                self._unreachable.add(entry.life)
                fields = {"server": entry.id, "silent_ms": now - reached_at}
                log.warning("server can't be reached", extra=fields)
                self._probes[entry.life] = asyncio.create_task(self._probe(entry))

    async def _probe(self, entry: ServerEntry) -> None:
        """Try to connect to a server that took no grants until it can be reached again."""
        while entry.life in self._unreachable and self._entry(entry.life):
            await self._clock.sleep(PROBE_PERIOD)
            if await self._granter.can_reach(entry.address, GRANT_TIMEOUT):
                self._note_reached(entry.life)

    def _note_reached(self, life: ServerLife) -> None:
        self._reached_at[life] = self._clock.now()
        if life in self._unreachable:
            self._unreachable.discard(life)
            log.info("server can be reached again", extra={"server": life.server})

    def _capacities(self) -> dict[ServerLife, float]:
        """Return the servers that may own keys, each with its capacity."""
        usable = [
            entry
            for entry in self._directory.of_service(self._service)
            if not entry.leaving and entry.life not in self._unreachable
        ]
        speeds = self.times.speeds(entry.id for entry in usable)
        return {
            entry.life: entry.slots
            * min(SPEED_MAX, max(SPEED_MIN, speeds[entry.id]))
            * (COLD_CAPACITY if entry.cold else 1.0)
            for entry in usable
        }

    # Plans

    async def _assign_first(self) -> None:
        lives = tuple(self._capacities())
        if not lives or self._clock.now() - self._started_at < FIRST_ASSIGN_WAIT:
            return
        await self._update(lambda current: divide_evenly(lives, current.fence + 1))
        log.info("keys assigned", extra={"service": self._service, "servers": len(lives)})

    def _is_due_to_plan(self) -> bool:
        now = self._clock.now()
        capacities = self._capacities()
        stranded = any(
            (item.successor or item.owner) not in capacities for item in self._map.ranges
        )
        if not stranded and now - self._balanced_at < BALANCE_PERIOD:
            return False
        self._balanced_at = now
        return True

    async def _start_moves(self) -> None:
        if len(self._map.ranges) > RANGES_PER_SERVER_MAX * len(self._capacities()):
            await self._update(OwnershipMap.merge_neighbours)
        situation = Situation(self._map, self._capacities(), self.load.rates())
        moves = self._planner.plan(situation)
        if not moves:
            return
        await self._update(lambda current: _apply_moves(current, moves))
        for move in moves:
            fields = {
                "service": self._service,
                "first": move.first,
                "last": move.last,
                "successor": move.successor.server,
                "rate": round(situation.rates.between(move.first, move.last), 1),
            }
            log.info("move started", extra=fields)

    async def _update(self, change: Callable[[OwnershipMap], OwnershipMap]) -> None:
        """Change the map, first on the log."""
        async with self._write:
            changed = change(self._map)
            if changed.ranges != self._map.ranges:
                changed = changed.with_revision(self._map.revision + 1)
                self._pending = changed
                await self._save(changed)
                self._map, self._pending = changed, None

    # Grants

    def _sync_renewers(self) -> None:
        owners = {item.owner for item in self._map.ranges if not item.is_moving}
        for life in owners - self._renewers.keys():
            self._wakes[life] = asyncio.Event()
            self._renewers[life] = asyncio.create_task(self._renew_grants(life))
        for life in self._renewers.keys() - owners:
            self._renewers.pop(life).cancel()
            self._wakes.pop(life, None)

    async def _renew_grants(self, life: ServerLife) -> None:
        """Keep the grants of one server alive until cancelled."""
        while True:
            wake = self._wakes[life]
            wake.clear()
            hold = self._hold()
            is_reached = await self._grant_all(life, hold)
            pause = int(hold * RENEW_PART) if is_reached else RETRY_PAUSE
            await self._sleep_or_wake(wake, min(pause, int(GRANT_HOLD * RENEW_PART)))

    def _hold(self) -> int:
        """Return how long grants last: long ones while renewals of the term fail."""
        if not self._leadership.has_faltered_long:
            return GRANT_HOLD
        end = self._clock.now() + GRANT_TIMEOUT + longest_hold(self._long_hold)
        self._long_until = max(self._long_until, end)
        return self._long_hold

    async def _grant_all(self, life: ServerLife, hold: int) -> bool:
        """Grant *life* what it owns; return whether it answered."""
        entry = self._entry(life)
        if entry is None:
            return False
        for item in self._renewable(life):
            if not self._leadership.may_act():
                return False
            try:
                await self._grant(entry, item, hold)
            except (NoAnswer, NotDelivered) as error:
                log.info("grant failed", extra={"server": entry.id, "why": str(error)})
                return False
            except GrantRefused as error:
                await self._raise_fence(item, str(error))
        return True

    def _renewable(self, life: ServerLife) -> list[OwnedRange]:
        """Return what *life* owns on the log and will own after the change that is being saved."""
        planned = self._pending or self._map
        return [
            item
            for item in planned.of(life)
            if not item.is_moving
            and (known := self._map.find(item.first)) is not None
            and (known.owner, known.fence) == (life, item.fence)
        ]

    async def _grant(self, entry: ServerEntry, item: OwnedRange, hold: int) -> None:
        grant = RangeGrant(item.first, item.last, item.fence, hold, item.handover)
        latest = self._clock.now() + GRANT_TIMEOUT
        # Counted before it is sent, since the task may be cancelled on the way.
        before = self._holds.note(entry.life, item.first, item.last, latest, hold)
        try:
            await self._granter.grant(entry, grant, GRANT_TIMEOUT)
        except NotDelivered:
            self._holds.restore(entry.life, before)
            raise
        self._note_reached(entry.life)

    async def _raise_fence(self, item: OwnedRange, why: str) -> None:
        """Give a range whose grant was refused a greater fence; the owner stays."""
        if item not in self._map.ranges:
            return
        fields = {"server": item.owner.server, "first": item.first, "fence": item.fence, "why": why}
        log.warning("grant refused", extra=fields)
        await self._update(lambda current: current.renew_fence(item))

    async def _sleep_or_wake(self, wake: asyncio.Event, pause: int) -> None:
        try:
            async with asyncio.timeout(pause / 1_000):
                await wake.wait()
        except TimeoutError:
            return

    # Moves

    def _continue_transfers(self) -> None:
        for item in self._map.ranges:
            task = self._transfers.get(item.first)
            if item.is_moving and (task is None or task.done()):
                self._transfers[item.first] = asyncio.create_task(self._transfer(item))
        moving = {item.first for item in self._map.ranges if item.is_moving}
        for first in self._transfers.keys() - moving:
            if self._transfers[first].done():
                del self._transfers[first]

    async def _transfer(self, item: OwnedRange) -> None:
        """Bring one move to its end: vacate, record the successor, grant."""
        started = self._clock.now()
        handover = await self._vacate(item)
        if handover is None:
            return
        try:
            await self._update(lambda current: _finish(current, item, handover))
        except NotLeading as error:
            log.info("move left to the next leader", extra={"first": item.first, "why": str(error)})
            return
        done = self._map.find(item.first)
        fields = {
            "service": self._service,
            "first": item.first,
            "last": item.last,
            "from": item.owner.server,
            "to": done.owner.server if done else "",
            "handover": bool(handover),
            "took_ms": self._clock.now() - started,
        }
        log.info("move finished", extra=fields)
        self._sync_renewers()
        if done and (wake := self._wakes.get(done.owner)):
            wake.set()

    async def _vacate(self, item: OwnedRange) -> str | None:
        """Return the handover once the owner certainly serves *item* no longer, "" without one.

        Returns None when the term ends first.
        """
        while self._leadership.is_mine:
            if self._directory.has_ended(item.owner):
                return ""
            if self._clock.now() >= self._holds.until(item.owner, item.first, item.last):
                return ""
            token = await self._try_release(item)
            if token is not None:
                return token
            await self._clock.sleep(RETRY_PAUSE)
        return None

    async def _try_release(self, item: OwnedRange) -> str | None:
        server = self._entry(item.owner) or self._directory.last_known(item.owner)
        if server is None or not self._leadership.may_act():
            return None
        try:
            token = await self._granter.release(
                server, item.first, item.last, item.next_fence, RELEASE_TIMEOUT
            )
        except (NoAnswer, NotDelivered) as error:
            fields = {"server": item.owner.server, "first": item.first, "why": str(error)}
            log.info("release failed", extra=fields)
            return None
        self._holds.clear(item.owner, item.first, item.last)
        self._note_reached(item.owner)
        return token


def _apply_moves(current: OwnershipMap, moves: tuple[PlannedMove, ...]) -> OwnershipMap:
    for move in moves:
        item = current.find(move.first)
        if item and item.is_moving:
            current = current.redirect(item.first, move.successor)
        else:
            current = current.start_move(move.first, move.last, move.successor)
    return current


def _finish(current: OwnershipMap, vacated: OwnedRange, handover: str) -> OwnershipMap:
    """Finish the move of *vacated*, whose successor may have changed meanwhile."""
    item = current.find(vacated.first)
    if item is None or not item.is_moving or item.next_fence != vacated.next_fence:
        return current
    return current.finish_move(item, handover)
