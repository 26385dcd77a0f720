"""How long grants that were sent may still be in force at their servers."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.clock import Clock

# A server's clock that measures a grant may run slow by two in a hundred.
SLOW_CLOCK_PERCENT = 2


def longest_duration(duration: int) -> int:
    """Return how long a grant of *duration* milliseconds can last on a slow server's clock."""
    return duration + -(-duration * SLOW_CLOCK_PERCENT // 100)


@dataclasses.dataclass(frozen=True)
class _Expiry:
    first: int
    last: int
    expires_at: int


class GrantExpiryTracker:
    """Upper bounds on grants by server life and keys; times in milliseconds.

    A grant that got no answer counts like one that was taken, from the latest moment at which it
    may have arrived.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expiries: dict[ServerIncarnation, list[_Expiry]] = {}

    def record_grant(
        self, incarnation: ServerIncarnation, first: int, last: int, arrival: int, duration: int
    ) -> tuple[_Expiry, ...]:
        """Record a grant of *duration* that arrives at *incarnation* no later than at *arrival*.

        Returns what was known of *incarnation* before, for `undo_record`.
        """
        now = self._clock.now()
        before = tuple(self._expiries.get(incarnation, ()))
        expires_at = arrival + longest_duration(duration)
        kept = [
            item
            for item in self._expiries.get(incarnation, ())
            if item.expires_at > now and not (first <= item.first and item.last <= last)
            # Shorter holds of the same keys are covered by this one.
            or item.expires_at > expires_at
        ]
        self._expiries[incarnation] = [*kept, _Expiry(first, last, expires_at)]
        return before

    def undo_record(self, incarnation: ServerIncarnation, before: tuple[_Expiry, ...]) -> None:
        """Take back the latest `record_grant` on *incarnation*, whose grant was certainly not
        sent.
        """
        self._expiries[incarnation] = list(before)

    def cap_expiry(self, latest: int) -> None:
        """Record that nothing that is known now lasts beyond *latest*."""
        self._expiries = {
            incarnation: [
                dataclasses.replace(item, expires_at=min(item.expires_at, latest))
                for item in expiries
            ]
            for incarnation, expiries in self._expiries.items()
        }

    def record_release(self, incarnation: ServerIncarnation, first: int, last: int) -> None:
        """Record that *incarnation* has given up the keys from *first* to *last*."""
        kept = []
        for item in self._expiries.get(incarnation, ()):
            if item.last < first or last < item.first:
                kept.append(item)
                continue
            if item.first < first:
                kept.append(_Expiry(item.first, first - 1, item.expires_at))
            if last < item.last:
                kept.append(_Expiry(last + 1, item.last, item.expires_at))
        self._expiries[incarnation] = kept

    def expires_at(self, incarnation: ServerIncarnation, first: int, last: int) -> int:
        """Return the moment from which *incarnation* certainly holds no key from *first* to
        *last*.
        """
        moments = [
            item.expires_at
            for item in self._expiries.get(incarnation, ())
            if item.first <= last and first <= item.last
        ]
        return max(moments, default=self._clock.now())

    def forget(self, incarnation: ServerIncarnation) -> None:
        """Drop all that is known of *incarnation*."""
        self._expiries.pop(incarnation, None)
