"""Keeping the grants of a service's servers alive, and what may be in force at them."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import itertools
import logging
from collections.abc import Callable

from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry, ServerIncarnation
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.grantclient import (
    GrantRefused,
    NotDelivered,
    OutcomeUnknown,
    RangeGrant,
    RangeGrantClient,
)
from fuchsiatrack.ranges.grantexpiry import GrantExpiryTracker, longest_duration
from fuchsiatrack.ranges.leadership import LEASE_DURATION_MS, Leadership
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap

# Length of a grant while the log answers, in milliseconds: outlasts the loss of a leader with the
# takeover, and bounds how long the keys of a lost server wait.
GRANT_DURATION_MS = 4_000
# Length of a grant while the lease is at risk, in milliseconds, if servers take it: outlasts
# an outage of the log of nine seconds together with the lease.
EXTENDED_GRANT_DURATION_MS = 7_500
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


class GrantRenewer:
    """Renews grants with one task for each server; times in milliseconds.

    `expiries` bounds what servers may still hold of this leader's grants and earlier ones'.
    """

    def __init__(
        self,
        service: str,
        leadership: Leadership,
        directory: ServerDirectory,
        grant_client: RangeGrantClient,
        clock: Clock,
        max_hold: int,
        view: OwnershipView,
    ) -> None:
        self._service = service
        self._leadership = leadership
        self._directory = directory
        self._grant_client = grant_client
        self._clock = clock
        self._extended_duration = min(max_hold, EXTENDED_GRANT_DURATION_MS)
        self._extended_until = clock.now()
        self._view = view
        self._renewers: dict[ServerIncarnation, asyncio.Task] = {}
        self._wakes: dict[ServerIncarnation, asyncio.Event] = {}
        self._failures: dict[ServerIncarnation, Failures] = {}
        self._unreachable: set[ServerIncarnation] = set()
        self._probes: dict[ServerIncarnation, asyncio.Task] = {}
        self._was_at_risk = False
        self.expiries = GrantExpiryTracker(clock)

    def inherit(self, moving_since: Callable[[OwnedRange], int]) -> None:
        """Count the grants that earlier leaders may have sent, now or until their leases end.

        *moving_since* tells when this daemon first saw that a range leaves its owner.
        """
        latest = self._clock.now() + LEASE_DURATION_MS + GRANT_TIMEOUT
        for item in self._view.current.ranges:
            # A leader renews ranges no longer once it has begun to record that they leave.
            left = moving_since(item) + LEASE_DURATION_MS + GRANT_TIMEOUT
            arrival = min(latest, left) if item.is_moving else latest
            self.expiries.record_grant(
                item.owner, item.first, item.last, arrival, self._extended_duration
            )
        if self._view.current.ranges:
            self._extended_until = latest + longest_duration(self._extended_duration)

    @property
    def extended_grants_remaining(self) -> int:
        """For how many milliseconds grants of `EXTENDED_GRANT_DURATION_MS` may still last, also
        earlier leaders'.
        """
        return max(0, self._extended_until - self._clock.now())

    def cap_inherited_grants(self, extended_grants_remaining: int) -> None:
        """Take in the last word of the leader before, which now sends nothing more.

        Its `extended_grants_remaining` was *extended_grants_remaining* when it said so.
        """
        usual = GRANT_TIMEOUT + longest_duration(GRANT_DURATION_MS)
        latest = self._clock.now() + max(extended_grants_remaining, usual)
        self.expiries.cap_expiry(latest)
        self._extended_until = min(self._extended_until, latest)

    def is_reachable(self, incarnation: ServerIncarnation) -> bool:
        """Tell whether *incarnation* has lately taken its grants, or none were tried."""
        return incarnation not in self._unreachable

    def wake(self, incarnation: ServerIncarnation) -> None:
        """Grant *incarnation* at once what it owns now."""
        if incarnation in self._wakes:
            self._wakes[incarnation].set()

    def close(self) -> None:
        """Stop every task."""
        for task in itertools.chain(self._renewers.values(), self._probes.values()):
            task.cancel()

    def record_reachable(self, incarnation: ServerIncarnation) -> None:
        """Take in that *incarnation* has answered a call."""
        self._failures.pop(incarnation, None)
        if incarnation in self._unreachable:
            self._unreachable.discard(incarnation)
            log.info("server can be reached again", extra={"server": incarnation.server})

    def update_reachability(self) -> None:
        """Find owners that take no grants, and grant all for long once the lease is at risk."""
        self._note_risk()
        now = self._clock.now()
        for entry in self._directory.of_service(self._service):
            failures = self._failures.get(entry.incarnation)
            if (
                failures is None
                or failures.count < 2
                or not self._view.current.of(entry.incarnation)
            ):
                continue
            failing_for = now - failures.since
            if failing_for >= UNREACHABLE_MAX and entry.incarnation not in self._unreachable:
                self._unreachable.add(entry.incarnation)
                fields = {"server": entry.id, "failing_ms": failing_for, "tries": failures.count}
                log.warning("server can't be reached", extra=fields)
                self._probes[entry.incarnation] = asyncio.create_task(self._probe(entry))

    def _note_failure(self, incarnation: ServerIncarnation) -> None:
        before = self._failures.get(incarnation, Failures(self._clock.now(), 0))
        self._failures[incarnation] = dataclasses.replace(before, count=before.count + 1)

    def _note_risk(self) -> None:
        is_at_risk = self._leadership.is_lease_at_risk
        if is_at_risk and not self._was_at_risk:
            log.warning("lease at risk; grants last long", extra={"service": self._service})
            for wake in self._wakes.values():
                wake.set()
        self._was_at_risk = is_at_risk

    async def _probe(self, entry: ServerEntry) -> None:
        """Try to connect to a server that took no grants until it can be reached again."""
        while entry.incarnation in self._unreachable and self._entry(entry.incarnation):
            await self._clock.sleep(PROBE_PERIOD)
            if await self._grant_client.can_reach(entry.address, GRANT_TIMEOUT):
                self.record_reachable(entry.incarnation)

    def sync(self) -> None:
        """Run one renewal task for each owner on the log."""
        owners = {item.owner for item in self._view.current.ranges if not item.is_moving}
        for incarnation in owners - self._renewers.keys():
            self._wakes[incarnation] = asyncio.Event()
            self._renewers[incarnation] = asyncio.create_task(self._renew_grants(incarnation))
        for incarnation in self._renewers.keys() - owners:
            self._renewers.pop(incarnation).cancel()
            self._wakes.pop(incarnation, None)

    async def _renew_grants(self, incarnation: ServerIncarnation) -> None:
        """Keep the grants of one server alive until cancelled."""
        while True:
            wake = self._wakes[incarnation]
            wake.clear()
            duration = self._duration()
            is_reached = await self._grant_all(incarnation, duration)
            pause = int(duration * RENEW_PART) if is_reached else RETRY_PAUSE
            await self._sleep_or_wake(wake, min(pause, int(GRANT_DURATION_MS * RENEW_PART)))

    def _duration(self) -> int:
        """Return how long grants last: long ones while the lease is at risk."""
        if not self._leadership.is_lease_at_risk:
            return GRANT_DURATION_MS
        end = self._clock.now() + GRANT_TIMEOUT + longest_duration(self._extended_duration)
        self._extended_until = max(self._extended_until, end)
        return self._extended_duration

    async def _grant_all(self, incarnation: ServerIncarnation, duration: int) -> bool:
        """Grant *incarnation* what it owns; return whether it answered."""
        entry = self._entry(incarnation)
        if entry is None:
            return False
        for item in self._renewable(incarnation):
            if not self._leadership.has_valid_lease():
                return False
            try:
                await self._grant(entry, item, duration)
            except (OutcomeUnknown, NotDelivered) as error:
                log.info("grant failed", extra={"server": entry.id, "why": str(error)})
                self._note_failure(incarnation)
                return False
            except GrantRefused as error:
                await self._raise_fence(item, str(error))
        return True

    def _renewable(self, incarnation: ServerIncarnation) -> list[OwnedRange]:
        """Return what *incarnation* owns on the log and will own after the change that is being
        saved.
        """
        kept = [item for item in self._view.planned.of(incarnation) if not item.is_moving]
        owned = [item for item in self._view.current.of(incarnation) if not item.is_moving]
        return [
            dataclasses.replace(
                item, first=max(item.first, other.first), last=min(item.last, other.last)
            )
            for item in owned
            for other in kept
            if item.overlaps(other.first, other.last)
        ]

    async def _grant(self, entry: ServerEntry, item: OwnedRange, duration: int) -> None:
        grant = RangeGrant(item.first, item.last, item.fence, duration, item.handover)
        latest = self._clock.now() + GRANT_TIMEOUT
        # Counted before it is sent, since the task may be cancelled on the way.
        before = self.expiries.record_grant(
            entry.incarnation, item.first, item.last, latest, duration
        )
        try:
            await self._grant_client.grant(entry, grant, GRANT_TIMEOUT)
        except NotDelivered:
            self.expiries.undo_record(entry.incarnation, before)
            raise
        self.record_reachable(entry.incarnation)

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

    def _entry(self, incarnation: ServerIncarnation) -> ServerEntry | None:
        """Return the entry of *incarnation*, None when it is not listed or runs as another life."""
        entry = self._directory.find(incarnation.server)
        if entry is None or entry.incarnation != incarnation or entry.service != self._service:
            return None
        return entry
