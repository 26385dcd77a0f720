"""Time in whole milliseconds."""

from __future__ import annotations

import abc
import asyncio
import time

# Largest difference in rate between two clocks.
CLOCK_DRIFT_PPM = 2_000


class Clock(abc.ABC):
    """Monotonic clock in whole milliseconds.

    Readings can be compared only if they come from the same clock of the same process.
    """

    @abc.abstractmethod
    def now(self) -> int:
        """Return the milliseconds since an arbitrary fixed point in time."""

    async def sleep(self, duration: int) -> None:
        """Wait for *duration* milliseconds; return at once if it is not positive."""
        await asyncio.sleep(max(duration, 0) / 1000)

    async def sleep_until(self, moment: int) -> None:
        """Wait until `now()` has reached *moment*."""
        while (remaining := moment - self.now()) > 0:
            await self.sleep(remaining)


class SystemClock(Clock):
    """Clock of this machine, which also advances while the machine is suspended."""

    def now(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def drift_upper_bound(duration: int) -> int:
    """Return the longest time, in milliseconds, that *duration* can take by another clock."""
    return duration + -(-duration * CLOCK_DRIFT_PPM // 1_000_000)


def drift_lower_bound(duration: int) -> int:
    """Return the shortest time, in milliseconds, that *duration* can take by another clock."""
    return duration - -(-duration * CLOCK_DRIFT_PPM // 1_000_000)
