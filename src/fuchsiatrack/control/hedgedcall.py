"""Calls of an unreliable service that are attempted again without waiting for their timeouts."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformBusy, PlatformUnavailable

T = TypeVar("T")

# Time between attempts.  It exceeds the longest response time of a healthy log service by far:
# repeating attempts that are merely slow would slow the service down further.
ATTEMPT_INTERVAL_MS = 600


@dataclasses.dataclass
class Attempt:
    """One attempt of a call, which started at `started_at`, a time in milliseconds.

    With `new_connection` it has to use a new connection, because an earlier attempt got no
    response.
    """

    is_first: bool
    started_at: int
    new_connection: bool
    is_responding: bool = False

    def record_response_start(self) -> None:
        """Record that the beginning of a response has arrived."""
        self.is_responding = True


class HedgedCall(Generic[T]):
    """One call, attempted until an attempt returns.

    *start* starts an attempt, and raises PlatformUnavailable if it fails, at the latest after its
    own timeout.  *on_failure* receives that error and the time when the attempt started.  Attempts
    start *interval* milliseconds apart, but none while the response to another one is arriving.
    """

    def __init__(
        self,
        start: Callable[[Attempt], Awaitable[T]],
        clock: Clock,
        on_failure: Callable[[PlatformUnavailable, int], None],
        interval: int = ATTEMPT_INTERVAL_MS,
    ) -> None:
        self._start_attempt = start
        self._clock = clock
        self._on_failure = on_failure
        self._interval = interval
        self._open: dict[asyncio.Future[T], Attempt] = {}
        self._attempt_count = 0
        self._has_lost_connection = False
        self._unavailable_at: int | None = None

    @property
    def is_repeated(self) -> bool:
        """Whether there was more than one attempt."""
        return self._attempt_count > 1

    @property
    def unavailable_at(self) -> int | None:
        """When the last attempt started that shows that the service was unavailable, or None.

        An attempt without a response shows that only if it used a new connection: one that was
        open before may have been dead for any time.
        """
        return self._unavailable_at

    async def run(self, first_wait: int = 0) -> T:
        """Return the result of the first attempt that returns, and cancel the others.

        The first attempt may take *first_wait* milliseconds longer than the others before it is
        repeated.  Any error other than PlatformUnavailable ends the call.
        """
        try:
            next_start = self._start() + first_wait + self._interval
            while True:
                await self._wait_until(next_start)
                for task in [item for item in self._open if item.done()]:
                    attempt = self._open.pop(task)
                    if not isinstance(task.exception(), PlatformUnavailable):
                        self._record_overtaken(attempt)
                        return task.result()
                    self._record_failure(task.exception(), attempt)
                    next_start = min(next_start, self._clock.now() + self._interval)
                if self._clock.now() >= next_start:
                    is_responding = any(item.is_responding for item in self._open.values())
                    started_at = self._clock.now() if is_responding else self._start()
                    next_start = started_at + self._interval
        finally:
            for task in self._open:
                task.cancel()

    def _start(self) -> int:
        """Start an attempt and return the current time."""
        now = self._clock.now()
        new_connection = self._has_lost_connection or bool(self._open)
        attempt = Attempt(not self._attempt_count, now, new_connection)
        task = asyncio.ensure_future(self._start_attempt(attempt))
        task.add_done_callback(_retrieve_exception)
        self._open[task] = attempt
        self._attempt_count += 1
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

    def _record_failure(self, error: BaseException, attempt: Attempt) -> None:
        is_response = isinstance(error, PlatformBusy)
        if is_response or attempt.new_connection:
            self._record_unavailable(attempt)
        self._has_lost_connection |= not is_response
        self._on_failure(error, attempt.started_at)

    def _record_overtaken(self, winner: Attempt) -> None:
        """Count open attempts that started before the one that returned as failed."""
        for attempt in self._open.values():
            if attempt.new_connection and attempt.started_at < winner.started_at:
                self._record_unavailable(attempt)

    def _record_unavailable(self, attempt: Attempt) -> None:
        self._unavailable_at = max(attempt.started_at, self._unavailable_at or 0)


def _retrieve_exception(task: asyncio.Future) -> None:
    """Prevent asyncio from logging the exception of an attempt that was overtaken."""
    if not task.cancelled():
        task.exception()
