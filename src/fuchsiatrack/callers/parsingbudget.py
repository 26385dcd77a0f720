"""Bound on the time that parsing of chunked bodies takes from everything else."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections.abc import Callable, Iterator

# Share of all time, and how long it may take at once.
TIME_RATIO = 0.5
BURST_S = 0.005


class ParsingBudget:
    """Lets chunked bodies be parsed for `TIME_RATIO` of the time, all connections together.

    Small chunks take many times as long to parse as to send, so that a few callers could take all
    of the time.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        # What may be used, in seconds, at a time of the event loop.
        self._left = BURST_S
        self._left_at = 0.0

    @property
    def has_time(self) -> bool:
        """Whether a body may be parsed now, before those that wait."""
        return not self._waiting and self._refill() > 0

    @contextlib.contextmanager
    def spend(self) -> Iterator[None]:
        """Count the time of what is done meanwhile."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            yield
        finally:
            self._left -= loop.time() - started_at

    def wait(self, parse: Callable[[], None]) -> None:
        """Call *parse* once there is time, after those that have waited for longer.

        It must use `spend`.
        """
        self._waiting.append(parse)
        self._schedule()

    def _refill(self) -> float:
        now = asyncio.get_running_loop().time()
        self._left = min(BURST_S, self._left + (now - self._left_at) * TIME_RATIO)
        self._left_at = now
        return self._left

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            delay = max(0.0, BURST_S / 2 - self._refill()) / TIME_RATIO
            self._timer = asyncio.get_running_loop().call_later(delay, self._run)

    def _run(self) -> None:
        self._timer = None
        try:
            while self._waiting and self._refill() > 0:
                self._waiting.popleft()()
        finally:
            self._schedule()
