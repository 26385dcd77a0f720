"""Upper bounds on the time until which sent grants are valid at their servers."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.clock import Clock

# The clock by which a server measures a grant may run slow by this much.
CLOCK_DRIFT_PERCENT = 2


def longest_duration(duration: int) -> int:
    """Return for how many milliseconds a grant of *duration* can last if the clock runs slow."""
    return duration + -(-duration * CLOCK_DRIFT_PERCENT // 100)


@dataclasses.dataclass(frozen=True)
class _RangeExpiry:
    first: int
    last: int
    expires_at: int


class GrantExpiryTracker:
    """Upper bounds on grant expiry by server incarnation and keys; times are in milliseconds.

    A grant without a response counts as accepted at the latest time at which it may have arrived.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expiries: dict[ServerIncarnation, list[_RangeExpiry]] = {}

    def record_grant(
        self,
        incarnation: ServerIncarnation,
        first: int,
        last: int,
        latest_arrival: int,
        duration: int,
    ) -> tuple[_RangeExpiry, ...]:
        """Record a grant of *duration* that *incarnation* receives at *latest_arrival* or before.

        Return the previous state of *incarnation*, for `undo_record`.
        """
        now = self._clock.now()
        before = tuple(self._expiries.get(incarnation, ()))
        expires_at = latest_arrival + longest_duration(duration)
        kept = [
            item
            for item in self._expiries.get(incarnation, ())
            if item.expires_at > now and not (first <= item.first and item.last <= last)
            # Earlier expiries of keys inside the new range are covered by it.
            or item.expires_at > expires_at
        ]
        self._expiries[incarnation] = [*kept, _RangeExpiry(first, last, expires_at)]
        return before

    def undo_record(self, incarnation: ServerIncarnation, before: tuple[_RangeExpiry, ...]) -> None:
        """Undo the latest `record_grant` of *incarnation*, whose grant was certainly not delivered.

        *before* is the state that `record_grant` returned.
        """
        self._expiries[incarnation] = list(before)

    def cap_expiry(self, latest: int) -> None:
        """Record that all grants recorded so far expire at *latest* or before."""
        self._expiries = {
            incarnation: [
                dataclasses.replace(item, expires_at=min(item.expires_at, latest))
                for item in expiries
            ]
            for incarnation, expiries in self._expiries.items()
        }

    def record_release(self, incarnation: ServerIncarnation, first: int, last: int) -> None:
        """Record that *incarnation* has released the keys from *first* to *last*."""
        kept = []
        for item in self._expiries.get(incarnation, ()):
            if item.last < first or last < item.first:
                kept.append(item)
                continue
            if item.first < first:
                kept.append(_RangeExpiry(item.first, first - 1, item.expires_at))
            if last < item.last:
                kept.append(_RangeExpiry(last + 1, item.last, item.expires_at))
        self._expiries[incarnation] = kept

    def expires_at(self, incarnation: ServerIncarnation, first: int, last: int) -> int:
        """Return the time from which *incarnation* certainly has no grant for *first* to *last*.

        That is now if no grant for any of these keys is recorded.
        """
        expiry_times = [
            item.expires_at
            for item in self._expiries.get(incarnation, ())
            if item.first <= last and first <= item.last
        ]
        return max(expiry_times, default=self._clock.now())

    def forget(self, incarnation: ServerIncarnation) -> None:
        """Drop everything recorded for *incarnation*."""
        self._expiries.pop(incarnation, None)
