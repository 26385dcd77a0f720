"""Calls of an unreliable service that are attempted again without waiting for their timeouts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable

T = TypeVar("T")

# Time between attempts.  It exceeds the longest response time of a healthy log service, so that an
# attempt which is merely slow is not repeated.
ATTEMPT_INTERVAL_MS = 300


class HedgedCall(Generic[T]):
    """One call, attempted until an attempt returns.

    *attempt* starts one attempt.  It receives whether this is the first one, and whether an earlier
    one is still unanswered, so that the connections in use may be dead; it raises
    PlatformUnavailable if the attempt fails, at the latest after its own timeout.  *on_failure*
    receives that error and the time when the attempt started.
    """

    def __init__(
        self,
        attempt: Callable[[bool, bool], Awaitable[T]],
        clock: Clock,
        on_failure: Callable[[PlatformUnavailable, int], None],
    ) -> None:
        self._attempt = attempt
        self._clock = clock
        self._on_failure = on_failure
        self._open: dict[asyncio.Future[T], int] = {}
        self._failed_at: int | None = None

    @property
    def failed_at(self) -> int | None:
        """When the last attempt started that failed or was overtaken; None if there is none.

        The service was unavailable at some time after that, unless the attempt's connection was.
        """
        return self._failed_at

    async def run(self, first_wait: int = 0) -> T:
        """Return the result of the first attempt that returns, and cancel the others.

        The first attempt may take *first_wait* milliseconds longer than the others before it is
        repeated.  Any error other than PlatformUnavailable ends the call.
        """
        try:
            next_start = self._start(is_first=True) + first_wait + ATTEMPT_INTERVAL_MS
            while True:
                await self._wait_until(next_start)
                for attempt in [item for item in self._open if item.done()]:
                    started_at = self._open.pop(attempt)
                    if not isinstance(attempt.exception(), PlatformUnavailable):
                        self._record_overtaken(started_at)
                        return attempt.result()
                    self._record_failure(attempt.exception(), started_at)
                    next_start = min(next_start, self._clock.now() + ATTEMPT_INTERVAL_MS)
                if self._clock.now() >= next_start:
                    next_start = self._start(is_first=False) + ATTEMPT_INTERVAL_MS
        finally:
            for attempt in self._open:
                attempt.cancel()

    def _start(self, is_first: bool) -> int:
        """Start an attempt and return the current time."""
        now = self._clock.now()
        attempt = asyncio.ensure_future(self._attempt(is_first, bool(self._open)))
        attempt.add_done_callback(_retrieve_exception)
        self._open[attempt] = now
        return now

    async def _wait_until(self, moment: int) -> None:
        """Wait until *moment*, or until an attempt has ended."""
        remaining = moment - self._clock.now()
        if self._open:
            await asyncio.wait(
                self._open,
                timeout=max(remaining, 0) / 1_000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        else:
            await self._clock.sleep(remaining)

    def _record_failure(self, error: BaseException, started_at: int) -> None:
        self._failed_at = max(started_at, self._failed_at or started_at)
        self._on_failure(error, started_at)

    def _record_overtaken(self, started_at: int) -> None:
        """Count open attempts that started before the one that returned as failed."""
        overtaken = [start for start in self._open.values() if start < started_at]
        if overtaken:
            self._failed_at = max(*overtaken, self._failed_at or overtaken[0])


def _retrieve_exception(attempt: asyncio.Future) -> None:
    """Prevent asyncio from logging the exception of an attempt that was overtaken."""
    if not attempt.cancelled():
        attempt.exception()
