"""Time in whole milliseconds."""

from __future__ import annotations

import abc
import asyncio
import time

# Largest difference in rate between two clocks, in parts per million.
CLOCK_DRIFT_PPM = 2_000


class Clock(abc.ABC):
    """Reads a monotonic time and waits, both in milliseconds.

    Two readings are comparable only when they come from the same clock of the same process.
    """

    @abc.abstractmethod
    def now(self) -> int:
        """Return the milliseconds since an arbitrary fixed start."""

    async def sleep(self, duration: int) -> None:
        """Wait for *duration* milliseconds; return at once when it is not positive."""
        await asyncio.sleep(max(duration, 0) / 1000)

    async def sleep_until(self, moment: int) -> None:
        """Wait until `now()` has reached *moment*."""
        while (left := moment - self.now()) > 0:
            await self.sleep(left)


class SystemClock(Clock):
    """The clock of this machine; it keeps counting while the machine is suspended."""

    def now(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def drift_upper_bound(duration: int) -> int:
    """Return how long *duration* can take on the slowest other clock, in milliseconds."""
    return duration + -(-duration * CLOCK_DRIFT_PPM // 1_000_000)


def drift_lower_bound(duration: int) -> int:
    """Return how little *duration* can take on the fastest other clock, in milliseconds."""
    return duration - -(-duration * CLOCK_DRIFT_PPM // 1_000_000)
