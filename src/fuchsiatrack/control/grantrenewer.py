"""Renewal of the grants of one backend server while this daemon leads."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence

from fuchsiatrack.control.grantclient import ClockReading, Grant, GrantClient, ServerUnreachable
from fuchsiatrack.control.leadership import Leadership
from fuchsiatrack.kernel.clock import Clock, drift_upper_bound
from fuchsiatrack.kernel.settings import TimingSettings

# A server that has not responded for this long counts as unresponsive.
UNRESPONSIVE_AFTER_MS = 900
# Pause between checks while this daemon does not hold the term.
IDLE_PERIOD_MS = 5_000

log = logging.getLogger(__name__)


class GrantRenewer:
    """Renews all grants of one server in one call while the leadership has a valid lease.

    A grant expires by the server's own clock: it carries the server's last clock reading.
    `grant_expires_at` counts from the arrival of that reading, which is the latest time at which
    it can have been taken.  Times are in milliseconds.
    """

    def __init__(
        self,
        name: str,
        client: GrantClient,
        leadership: Leadership,
        grants: Callable[[str], Sequence[Grant]],
        clock: Clock,
        timings: TimingSettings,
    ) -> None:
        self._name = name
        self._client = client
        self._leadership = leadership
        self._grants = grants
        self._clock = clock
        self._timings = timings
        self._reading: ClockReading | None = None
        self._grant_expiries: dict[str, int] = {}
        self._term = 0
        self._responded_at = -1
        self._reachable_since = -1
        self._wake = asyncio.Event()

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self._name

    async def run(self) -> None:
        """Renew the grants until cancelled."""
        while True:
            self._wake.clear()
            if self._leadership.has_valid_lease():
                await self._try_renew()
            # Without the term there is nothing to renew; replayed records wake this task.
            period = self._timings.grant_period if self._leadership.holds_term else IDLE_PERIOD_MS
            try:
                async with asyncio.timeout(period / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def wake(self) -> None:
        """Renew without waiting for the next period."""
        self._wake.set()

    def is_reachable(self) -> bool:
        """Return whether the server has responded recently."""
        return (
            self._clock.now() - self._responded_at < UNRESPONSIVE_AFTER_MS
            and self._responded_at >= 0
        )

    def has_been_reachable_for(self, duration: int) -> bool:
        """Return whether the server has been reachable without a gap for *duration* milliseconds.

        Requests that were sent to a server before it was paused may still run when it resumes.
        """
        return self.is_reachable() and self._clock.now() - self._reachable_since >= duration

    def is_unresponsive(self) -> bool:
        """Return whether the server has not responded for so long that its keys should move."""
        since = max(self._responded_at, self._leadership.active_from)
        return self._clock.now() - since >= UNRESPONSIVE_AFTER_MS

    def grant_expires_at(self, partition: str) -> int:
        """Return the time by which every grant of *partition* at the server has expired.

        A grant of an earlier leader lasts at most one grant lease, or one extended grant that
        voters have recorded, longer than that leader could act.
        """
        earlier_expiry = self._leadership.earlier_grants_expire_at
        if self._term != self._leadership.term:
            return earlier_expiry
        return max(earlier_expiry, self._grant_expiries.get(partition, 0))

    async def revoke(self, fences: dict[str, int]) -> frozenset[str]:
        """Ask the server to release the partitions in *fences*; return those released.

        Raise ServerUnreachable if the server does not respond or this daemon may not act.
        """
        reading = self._reading
        if not self._leadership.has_valid_lease():
            raise ServerUnreachable("not sent: the leader lease is not valid")
        lease = self._timings.grant_lease
        if reading:
            self._record_expiries(fences, reading, lease)
        response = await self._client.revoke(fences, reading, lease)
        self._record_reading(response.reading)
        return response.partitions

    async def _try_renew(self) -> None:
        try:
            await self._renew()
        except ServerUnreachable as error:
            self._reading = None
            log.debug("grant failed", extra={"server": self._name, "why": str(error)})

    async def _renew(self) -> None:
        if self._reading is None or self._is_stale(self._reading):
            self._record_reading(await self._client.read_clock())
        reading, grants = self._reading, self._grants(self._name)
        assert reading is not None
        # The reading was taken before this check, so the grant expires at most `lease`, normal
        # or extended, after the leader's lease does, however long this process is paused in
        # between.
        lease = self._leadership.choose_grant_lease()
        if not self._leadership.has_valid_lease():
            return
        self._record_expiries((grant.partition for grant in grants), reading, lease)
        response = await self._client.grant(grants, reading, lease)
        self._record_reading(response.reading)

    def _is_stale(self, reading: ClockReading) -> bool:
        return self._clock.now() - reading.received_at > 2 * self._timings.grant_period

    def _record_reading(self, reading: ClockReading) -> None:
        if not self.is_reachable():
            self._reachable_since = self._clock.now()
        self._reading = reading
        self._responded_at = self._clock.now()

    def _record_expiries(
        self, partitions: Iterable[str], reading: ClockReading, lease: int
    ) -> None:
        if self._term != self._leadership.term:
            self._grant_expiries.clear()
            self._term = self._leadership.term
        # After a revoke, the server may finish running requests until then.
        expires_at = reading.received_at + drift_upper_bound(lease)
        for partition in partitions:
            self._grant_expiries[partition] = max(
                expires_at, self._grant_expiries.get(partition, 0)
            )
