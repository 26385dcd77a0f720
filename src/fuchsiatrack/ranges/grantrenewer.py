"""Renewal of the grants of a service."""

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
    WrongServer,
)
from fuchsiatrack.ranges.granttracker import GrantTracker, KeysNotFree
from fuchsiatrack.ranges.inheritedgrants import GrantTimings, InheritedGrants
from fuchsiatrack.ranges.leadership import LEASE_DURATION_MS, Leadership
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap

# Outlasts the loss of a leader including the takeover, and bounds how long the keys of a lost
# server are unavailable.
GRANT_DURATION_MS = 4_000
# Used while the lease is at risk, unless servers accept only shorter grants. Together with the
# lease it outlasts an outage of the log service of 9 s.
EXTENDED_GRANT_DURATION_MS = 7_500
# Renewal period as a share of the grant duration.
RENEWAL_PERIOD_RATIO = 0.25
GRANT_TIMEOUT_MS = 600
# A server counts as unreachable, and its ranges start to move, once at least two grants have
# failed over this time. That is well before its valid grants expire; the moves still wait for a
# release, the expiry or the server's end.
UNREACHABLE_AFTER_MS = 600
# Period of connection attempts to an unreachable server.
PROBE_PERIOD_MS = 1_000
RETRY_DELAY_MS = 150

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class GrantFailures:
    """The failed grants of a server since its last successful request."""

    since: int
    count: int


class OwnershipView(abc.ABC):
    """Access to the ownership map of the service whose grants are renewed."""

    @property
    @abc.abstractmethod
    def current(self) -> OwnershipMap:
        """The map as written to the log."""

    @property
    @abc.abstractmethod
    def pending(self) -> OwnershipMap:
        """The map that is being saved to the log, or else the current one."""

    @abc.abstractmethod
    async def raise_fence(self, item: OwnedRange) -> None:
        """Give *item* a greater fence under the same owner."""


def grant_timings(max_grant_duration: int) -> GrantTimings:
    """Return how leaders send grants to servers that accept them up to *max_grant_duration*."""
    return GrantTimings(
        LEASE_DURATION_MS,
        GRANT_TIMEOUT_MS,
        GRANT_DURATION_MS,
        min(max_grant_duration, EXTENDED_GRANT_DURATION_MS),
    )


class GrantRenewer:
    """Renews the grants of a service, with one task for each server; times are in milliseconds.

    `tracker` has the grants of this leader and of earlier leaders, which *inherited* bounds.
    """

    def __init__(
        self,
        service: str,
        leadership: Leadership,
        directory: ServerDirectory,
        grant_client: RangeGrantClient,
        clock: Clock,
        max_grant_duration: int,
        view: OwnershipView,
        inherited: InheritedGrants,
    ) -> None:
        self._service = service
        self._leadership = leadership
        self._directory = directory
        self._grant_client = grant_client
        self._clock = clock
        self._extended_duration = grant_timings(max_grant_duration).extended
        # Of the extended grants of this leader alone.
        self._extended_until = clock.now()
        self._inherited = inherited
        self._view = view
        self._renewal_tasks: dict[ServerIncarnation, asyncio.Task] = {}
        self._wake_events: dict[ServerIncarnation, asyncio.Event] = {}
        self._failures: dict[ServerIncarnation, GrantFailures] = {}
        self._unreachable: set[ServerIncarnation] = set()
        self._probe_tasks: dict[ServerIncarnation, asyncio.Task] = {}
        self._was_at_risk = False
        self.tracker = GrantTracker(clock)

    def record_inherited_grants(self, moving_since: Callable[[OwnedRange], int]) -> None:
        """Record the grants that earlier leaders may have sent, or may send until their leases end.

        *moving_since* returns when this daemon first saw that a range is moving.
        """
        for item in self._view.current.ranges:
            # A leader stops renewing a range before it writes the start of its move to the log.
            moving_latest = moving_since(item) + LEASE_DURATION_MS + GRANT_TIMEOUT_MS
            inherited_latest = self._inherited.arrive_by
            arrive_by = min(inherited_latest, moving_latest) if item.is_moving else inherited_latest
            entry = self._directory.latest_entry(item.owner)
            self.tracker.record_inherited(
                item.owner.server,
                entry.address if entry else "",
                item.first,
                item.last,
                arrive_by,
                self._extended_duration,
            )
        self.apply_inherited_bounds()

    @property
    def extended_grants_remaining(self) -> int:
        """For how many milliseconds extended grants may still be valid.

        Includes the extended grants of earlier leaders.
        """
        return max(0, self._extended_until - self._clock.now(), self._inherited.valid_remaining)

    def apply_inherited_bounds(self) -> None:
        """Apply what is known of earlier leaders to the recorded grants."""
        self.tracker.cap_inherited(self._inherited.arrive_by, self._inherited.valid_until)

    def can_renew(self, incarnation: ServerIncarnation) -> bool:
        """Return whether grants can be sent to *incarnation*: it is listed and reachable."""
        return self._find_entry(incarnation) is not None and self.is_reachable(incarnation)

    def is_reachable(self, incarnation: ServerIncarnation) -> bool:
        """Return whether *incarnation* is reachable; servers are until their grants fail.

        One at whose address another server responds never is.
        """
        entry = self._directory.find(incarnation.server)
        if entry is not None and entry.incarnation == incarnation:
            if self._directory.has_address_conflict(entry):
                return False
        return incarnation not in self._unreachable

    def renew_now(self, incarnation: ServerIncarnation) -> None:
        """Renew the grants of *incarnation* at once."""
        if incarnation in self._wake_events:
            self._wake_events[incarnation].set()

    def close(self) -> None:
        """Cancel all tasks."""
        for task in itertools.chain(self._renewal_tasks.values(), self._probe_tasks.values()):
            task.cancel()

    def record_wrong_server(self, entry: ServerEntry, error: WrongServer) -> None:
        """Record that another server rejected what was sent to the address of *entry*."""
        if error.names_other:
            self._directory.record_address_conflict(entry)

    def record_reachable(self, incarnation: ServerIncarnation) -> None:
        """Record that *incarnation* has responded to a request."""
        self._failures.pop(incarnation, None)
        if incarnation in self._unreachable:
            self._unreachable.discard(incarnation)
            log.info("server reachable again", extra={"server": incarnation.server})

    def check_servers_and_lease(self) -> None:
        """Detect unreachable owners, and extend all grants at once when the lease is at risk."""
        self._update_lease_risk()
        now = self._clock.now()
        for entry in self._directory.of_service(self._service):
            failures = self._failures.get(entry.incarnation)
            if (
                failures is None
                or failures.count < 2
                or not self._view.current.owned_by(entry.incarnation)
            ):
                continue
            failing_for = now - failures.since
            if failing_for >= UNREACHABLE_AFTER_MS and entry.incarnation not in self._unreachable:
                self._unreachable.add(entry.incarnation)
                fields = {"server": entry.id, "failing_ms": failing_for, "tries": failures.count}
                log.warning("server unreachable", extra=fields)
                self._probe_tasks[entry.incarnation] = asyncio.create_task(self._probe(entry))

    def _record_failure(self, incarnation: ServerIncarnation) -> None:
        before = self._failures.get(incarnation, GrantFailures(self._clock.now(), 0))
        self._failures[incarnation] = dataclasses.replace(before, count=before.count + 1)

    def _update_lease_risk(self) -> None:
        is_at_risk = self._leadership.is_lease_at_risk
        if is_at_risk and not self._was_at_risk:
            log.warning("lease at risk; extending grants", extra={"service": self._service})
            for wake_event in self._wake_events.values():
                wake_event.set()
        self._was_at_risk = is_at_risk

    async def _probe(self, entry: ServerEntry) -> None:
        """Try to connect to an unreachable server until it is reachable again."""
        while entry.incarnation in self._unreachable and self._find_entry(entry.incarnation):
            await self._clock.sleep(PROBE_PERIOD_MS)
            if await self._grant_client.can_reach(entry.address, GRANT_TIMEOUT_MS):
                self.record_reachable(entry.incarnation)

    def update_renewal_tasks(self) -> None:
        """Start and cancel tasks so that one runs for each owner of a range that is not moving."""
        owners = {item.owner for item in self._view.current.ranges if not item.is_moving}
        for incarnation in owners - self._renewal_tasks.keys():
            self._wake_events[incarnation] = asyncio.Event()
            self._renewal_tasks[incarnation] = asyncio.create_task(self._renew_grants(incarnation))
        for incarnation in self._renewal_tasks.keys() - owners:
            self._renewal_tasks.pop(incarnation).cancel()
            self._wake_events.pop(incarnation, None)

    async def _renew_grants(self, incarnation: ServerIncarnation) -> None:
        """Renew the grants of one server until cancelled."""
        while True:
            wake_event = self._wake_events[incarnation]
            wake_event.clear()
            has_responded = await self._grant_ranges(incarnation)
            renewal_period = int(GRANT_DURATION_MS * RENEWAL_PERIOD_RATIO)
            await self._sleep_or_wake(
                wake_event, renewal_period if has_responded else RETRY_DELAY_MS
            )

    def _grant_duration(self) -> int:
        """Return the duration of the next grant, which is extended while the lease is at risk."""
        is_at_risk = self._leadership.is_lease_at_risk
        return self._extended_duration if is_at_risk else GRANT_DURATION_MS

    async def _grant_ranges(self, incarnation: ServerIncarnation) -> bool:
        """Grant *incarnation* the ranges that it owns, and return whether it responded."""
        for item in self._renewable_ranges(incarnation):
            entry = self._find_entry(incarnation)
            if entry is None or not self._leadership.has_valid_lease():
                return False
            if not self._is_renewable(item):
                # It has changed since the first grant was sent.
                continue
            try:
                await self._grant(entry, item, self._grant_duration())
            except (OutcomeUnknown, NotDelivered) as error:
                log.info("grant failed", extra={"server": entry.id, "why": str(error)})
                self._record_failure(incarnation)
                return False
            except GrantRefused as error:
                await self._raise_fence(item, str(error))
            except KeysNotFree as error:
                log.error("grant withheld", extra={"server": entry.id, "why": str(error)})
                return False
        return True

    def _renewable_ranges(self, incarnation: ServerIncarnation) -> list[OwnedRange]:
        """Return the ranges that *incarnation* owns both in the current and in the pending map."""
        kept = [item for item in self._view.pending.owned_by(incarnation) if not item.is_moving]
        owned = [item for item in self._view.current.owned_by(incarnation) if not item.is_moving]
        return [
            dataclasses.replace(
                item, first=max(item.first, other.first), last=min(item.last, other.last)
            )
            for item in owned
            for other in kept
            if item.overlaps(other.first, other.last)
        ]

    def _is_renewable(self, item: OwnedRange) -> bool:
        """Return whether both maps still give all keys of *item* to its owner, under its fence."""
        current = self._view.current.find(item.first)
        pending = self._view.pending.find(item.first)
        return all(
            found.owner == item.owner and found.last >= item.last and not found.is_moving
            for found in (current, pending)
        ) and (current.fence == item.fence)

    async def _grant(self, entry: ServerEntry, item: OwnedRange, duration: int) -> None:
        grant = RangeGrant(item.first, item.last, item.fence, duration, item.handover)
        # Recorded before the request, since the task may be cancelled while it is in flight.
        possible = self.tracker.record_grant(
            entry.id,
            entry.address,
            item.first,
            item.last,
            self._clock.now() + GRANT_TIMEOUT_MS,
            duration,
        )
        if duration > GRANT_DURATION_MS:
            self._extended_until = max(self._extended_until, possible.expires_at)
        try:
            await self._grant_client.grant(entry, grant, GRANT_TIMEOUT_MS)
        except NotDelivered as error:
            self.tracker.withdraw(possible, item.first, item.last)
            if isinstance(error, WrongServer):
                self.record_wrong_server(entry, error)
            raise
        except GrantRefused:
            self.tracker.record_response(possible, item.first, item.last)
            raise
        self.tracker.record_response(possible, item.first, item.last)
        self.record_reachable(entry.incarnation)

    async def _raise_fence(self, item: OwnedRange, reason: str) -> None:
        """Give a range whose grant was refused a greater fence under the same owner."""
        if item not in self._view.current.ranges:
            return
        fields = {
            "server": item.owner.server,
            "first": item.first,
            "fence": item.fence,
            "why": reason,
        }
        log.warning("grant refused", extra=fields)
        await self._view.raise_fence(item)

    async def _sleep_or_wake(self, wake_event: asyncio.Event, pause: int) -> None:
        try:
            async with asyncio.timeout(pause / 1_000):
                await wake_event.wait()
        except TimeoutError:
            return

    def _find_entry(self, incarnation: ServerIncarnation) -> ServerEntry | None:
        """Return the entry of *incarnation*, or None if this incarnation is not listed."""
        entry = self._directory.find(incarnation.server)
        if entry is None or entry.incarnation != incarnation or entry.service != self._service:
            return None
        return entry
