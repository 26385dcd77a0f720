"""Keeping the grants of a service's servers alive, and what may be in force at them."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import itertools
import logging
from collections.abc import Callable

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
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap
from fuchsiatrack.ranges.term import LEASE, Leadership

# Length of a grant while the log answers, in milliseconds: outlasts the loss of a leader with the
# takeover, and bounds how long the keys of a lost server wait.
GRANT_HOLD = 4_000
# Length of a grant while the lease is at risk, in milliseconds, if servers take it: outlasts
# an outage of the log of nine seconds together with the lease.
LONG_HOLD = 7_500
# Part of a grant after which it is renewed.
RENEW_PART = 0.25
# Longest wait for the answer to a grant, in milliseconds.
GRANT_TIMEOUT = 600
# A server loses its keys when its grants have failed for this long, in milliseconds, and at least
# twice: known well before the grants that it has run out.
UNREACHABLE_MAX = 600
# Pause between connections that are tried to a server that took no grants, in milliseconds.
PROBE_PERIOD = 1_000
# Pause before a server is granted again after a call failed, in milliseconds.
RETRY_PAUSE = 150

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Failures:
    """Grants that a server did not take since the last one that it took."""

    since: int
    count: int


class OwnershipView(abc.ABC):
    """The map of the service that grants follow."""

    @property
    @abc.abstractmethod
    def current(self) -> OwnershipMap:
        """The map on the log."""

    @property
    @abc.abstractmethod
    def planned(self) -> OwnershipMap:
        """The map that is being saved, else the current one."""

    @abc.abstractmethod
    async def raise_fence(self, item: OwnedRange) -> None:
        """Give *item* a greater fence; its owner stays."""


class GrantKeeper:
    """Renews grants with one task for each server; times in milliseconds.

    `holds` bounds what servers may still hold of this leader's grants and earlier ones'.
    """

    def __init__(
        self,
        service: str,
        leadership: Leadership,
        directory: ServerDirectory,
        granter: RangeGranter,
        clock: Clock,
        max_hold: int,
        view: OwnershipView,
    ) -> None:
        self._service = service
        self._leadership = leadership
        self._directory = directory
        self._granter = granter
        self._clock = clock
        self._long_hold = min(max_hold, LONG_HOLD)
        self._long_until = clock.now()
        self._view = view
        self._renewers: dict[ServerLife, asyncio.Task] = {}
        self._wakes: dict[ServerLife, asyncio.Event] = {}
        self._failures: dict[ServerLife, Failures] = {}
        self._unreachable: set[ServerLife] = set()
        self._probes: dict[ServerLife, asyncio.Task] = {}
        self._was_at_risk = False
        self.holds = HoldLedger(clock)

    def inherit(self, moving_since: Callable[[OwnedRange], int]) -> None:
        """Count the grants that earlier leaders may have sent, now or until their leases end.

        *moving_since* tells when this daemon first saw that a range leaves its owner.
        """
        latest = self._clock.now() + LEASE + GRANT_TIMEOUT
        for item in self._view.current.ranges:
            # A leader renews ranges no longer once it has begun to record that they leave.
            left = moving_since(item) + LEASE + GRANT_TIMEOUT
            arrival = min(latest, left) if item.is_moving else latest
            self.holds.note(item.owner, item.first, item.last, arrival, self._long_hold)
        if self._view.current.ranges:
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
        self.holds.limit(latest)
        self._long_until = min(self._long_until, latest)

    def is_reachable(self, life: ServerLife) -> bool:
        """Tell whether *life* has lately taken its grants, or none were tried."""
        return life not in self._unreachable

    def wake(self, life: ServerLife) -> None:
        """Grant *life* at once what it owns now."""
        if life in self._wakes:
            self._wakes[life].set()

    def close(self) -> None:
        """Stop every task."""
        for task in itertools.chain(self._renewers.values(), self._probes.values()):
            task.cancel()

    def note_reached(self, life: ServerLife) -> None:
        """Take in that *life* has answered a call."""
        self._failures.pop(life, None)
        if life in self._unreachable:
            self._unreachable.discard(life)
            log.info("server can be reached again", extra={"server": life.server})

    def check_servers(self) -> None:
        """Find owners that take no grants, and grant all for long once the lease is at risk."""
        self._note_risk()
        now = self._clock.now()
        for entry in self._directory.of_service(self._service):
            failures = self._failures.get(entry.life)
            if failures is None or failures.count < 2 or not self._view.current.of(entry.life):
                continue
            failing_for = now - failures.since
            if failing_for >= UNREACHABLE_MAX and entry.life not in self._unreachable:
                self._unreachable.add(entry.life)
                fields = {"server": entry.id, "failing_ms": failing_for, "tries": failures.count}
                log.warning("server can't be reached", extra=fields)
                self._probes[entry.life] = asyncio.create_task(self._probe(entry))

    def _note_failure(self, life: ServerLife) -> None:
        before = self._failures.get(life, Failures(self._clock.now(), 0))
        self._failures[life] = dataclasses.replace(before, count=before.count + 1)

    def _note_risk(self) -> None:
        is_at_risk = self._leadership.is_lease_at_risk
        if is_at_risk and not self._was_at_risk:
            log.warning("lease at risk; grants last long", extra={"service": self._service})
            for wake in self._wakes.values():
                wake.set()
        self._was_at_risk = is_at_risk

    async def _probe(self, entry: ServerEntry) -> None:
        """Try to connect to a server that took no grants until it can be reached again."""
        while entry.life in self._unreachable and self._entry(entry.life):
            await self._clock.sleep(PROBE_PERIOD)
            if await self._granter.can_reach(entry.address, GRANT_TIMEOUT):
                self.note_reached(entry.life)

    def sync(self) -> None:
        """Run one renewal task for each owner on the log."""
        owners = {item.owner for item in self._view.current.ranges if not item.is_moving}
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
        """Return how long grants last: long ones while the lease is at risk."""
        if not self._leadership.is_lease_at_risk:
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
                self._note_failure(life)
                return False
            except GrantRefused as error:
                await self._raise_fence(item, str(error))
        return True

    def _renewable(self, life: ServerLife) -> list[OwnedRange]:
        """Return what *life* owns on the log and will own after the change that is being saved."""
        kept = [item for item in self._view.planned.of(life) if not item.is_moving]
        owned = [item for item in self._view.current.of(life) if not item.is_moving]
        return [
            dataclasses.replace(
                item, first=max(item.first, other.first), last=min(item.last, other.last)
            )
            for item in owned
            for other in kept
            if item.overlaps(other.first, other.last)
        ]

    async def _grant(self, entry: ServerEntry, item: OwnedRange, hold: int) -> None:
        grant = RangeGrant(item.first, item.last, item.fence, hold, item.handover)
        latest = self._clock.now() + GRANT_TIMEOUT
        # Counted before it is sent, since the task may be cancelled on the way.
        before = self.holds.note(entry.life, item.first, item.last, latest, hold)
        try:
            await self._granter.grant(entry, grant, GRANT_TIMEOUT)
        except NotDelivered:
            self.holds.restore(entry.life, before)
            raise
        self.note_reached(entry.life)

    async def _raise_fence(self, item: OwnedRange, why: str) -> None:
        """Give a range whose grant was refused a greater fence; the owner stays."""
        if item not in self._view.current.ranges:
            return
        fields = {"server": item.owner.server, "first": item.first, "fence": item.fence, "why": why}
        log.warning("grant refused", extra=fields)
        await self._view.raise_fence(item)

    async def _sleep_or_wake(self, wake: asyncio.Event, pause: int) -> None:
        try:
            async with asyncio.timeout(pause / 1_000):
                await wake.wait()
        except TimeoutError:
            return

    def _entry(self, life: ServerLife) -> ServerEntry | None:
        """Return the entry of *life*, None when it is not listed or runs as another life."""
        entry = self._directory.find(life.server)
        if entry is None or entry.life != life or entry.service != self._service:
            return None
        return entry
