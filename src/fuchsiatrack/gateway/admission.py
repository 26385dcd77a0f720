"""How many requests of this daemon a server has at once, and how the others wait.

Requests wait here instead of in the server's own queue, because here the most urgent can go
first and those that would come too late can be refused while their callers still have time.
"""

from __future__ import annotations

import asyncio
import dataclasses

from fuchsiatrack.gateway.headers import ReportedLoad
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.routing.errors import ErrorReason, RequestError

# Requests at one server from this daemon before anything is known of its load.
INITIAL_LIMIT_REQUESTS = 4.0
# Steps of the limit after an answer: up while nobody waits at the server, down while more wait
# than it has slots, which is one more service time.  Small limits double and halve instead.
LIMIT_INCREASE_REQUESTS = 0.5
LIMIT_DECREASE_REQUESTS = 0.5
# Least limit. Below 1 a daemon has one request at the server for that part of the time: daemons
# can be more than a server has places, here up to about a hundred times as many.
MIN_LIMIT_REQUESTS = 0.05
# Longest pause between two requests at a limit below 1, in milliseconds, so that the return of a
# server is seen.
MAX_PAUSE_MS = 1_500
# Factor of the limit after the server refused a request for lack of room.
REJECTION_LIMIT_FACTOR = 0.6
# Part of the wait that a request can afford which the queue may take, since the expected wait is
# an average.
AFFORDABLE_WAIT_RATIO = 0.8


class ConcurrencyLimit:
    """Follows what a server reports; between `LEAST_LIMIT` and the *most* of each call."""

    def __init__(self) -> None:
        self._limit = INITIAL_LIMIT_REQUESTS

    def current(self, max_limit: int) -> int:
        """Return how many requests may be at the server at once."""
        return max(1, min(max_limit, int(self._limit)))

    def rate(self, max_limit: int, service_time: float) -> float:
        """Return how many requests the server may get in a millisecond."""
        return self.current(max_limit) * min(1.0, self._limit) / max(service_time, 1.0)

    def pause(self, service_time: float) -> int:
        """Return for how many milliseconds the server gets nothing after an answer."""
        if self._limit >= 1:
            return 0
        return min(MAX_PAUSE_MS, int(service_time * (1 / self._limit - 1)))

    def record_response(self, load: ReportedLoad | None, max_limit: int) -> None:
        """Take in an answer with the load that the server reported."""
        if load is None or load.waiting * 2 < load.slots:
            self._limit += min(self._limit, LIMIT_INCREASE_REQUESTS)
        elif load.waiting > load.slots:
            self._limit -= LIMIT_DECREASE_REQUESTS * min(1.0, self._limit)
        self._limit = max(MIN_LIMIT_REQUESTS, min(float(max_limit), self._limit))

    def record_rejection(self) -> None:
        """Take in that the server had no room."""
        self._limit = max(MIN_LIMIT_REQUESTS, self._limit * REJECTION_LIMIT_FACTOR)


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that wants a place at a server; moments of the clock.

    `on_time` is the moment until which an answer counts fully, `deadline` the last one at which
    it counts at all.
    """

    priority: int
    soft_deadline: int
    deadline: int


def next_request_index(queued_requests: list[QueuedRequest], now: int, service_time: int) -> int:
    """Return the index of the claim that goes first.

    The higher rank goes first, then what can still be on time, then what came first.
    """
    return min(
        range(len(queued_requests)),
        key=lambda index: (
            queued_requests[index].priority,
            now + service_time > queued_requests[index].soft_deadline,
            queued_requests[index].soft_deadline,
        ),
    )


def can_meet_deadline(
    queued_request: QueuedRequest, now: int, expected_wait: float, service_time: float
) -> bool:
    """Tell whether *queued_request* would be answered on time after *expected_wait*.

    What can't be on time any more whatever happens is measured by its deadline instead.
    """
    applicable_deadline = (
        queued_request.soft_deadline
        if now + service_time < queued_request.soft_deadline
        else queued_request.deadline
    )
    affordable = applicable_deadline - now - service_time
    return expected_wait <= max(affordable * AFFORDABLE_WAIT_RATIO, 0)


class AdmissionQueue:
    """The places of this daemon at one server; times in milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: list[tuple[QueuedRequest, asyncio.Future[None]]] = []
        self._in_flight = 0
        self._max_limit = 1
        self._paused_until = 0
        self._pause_timer: asyncio.TimerHandle | None = None
        self.limit = ConcurrencyLimit()

    @property
    def in_flight(self) -> int:
        """How many places are in use."""
        return self._in_flight

    @property
    def queue_length(self) -> int:
        """How many requests wait for a place."""
        return len(self._waiting)

    async def acquire(
        self, queued_request: QueuedRequest, max_limit: int, service_time: float
    ) -> None:
        """Take a place, waiting for one if need be; raise RequestError when it would be too late.

        *most* is this daemon's share of the server's connections.
        """
        self._max_limit = max_limit
        now = self._clock.now()
        if self._has_capacity(now) and not self._waiting:
            self._in_flight += 1
            return
        ahead = sum(1 for other, _ in self._waiting if other.priority <= queued_request.priority)
        expected_wait = (ahead + 1) / self.limit.rate(max_limit, service_time)
        if not can_meet_deadline(queued_request, now, expected_wait, service_time):
            raise RequestError(ErrorReason.OVERLOADED, retry_after=int(expected_wait))
        self._schedule_admission(service_time)
        await self._wait(queued_request, service_time)

    def release(self, service_time: float) -> None:
        """Give a place back, and let in those that wait."""
        self._in_flight -= 1
        self._paused_until = self._clock.now() + self.limit.pause(service_time)
        self._admit(service_time)

    def _has_capacity(self, now: int) -> bool:
        return self._in_flight < self.limit.current(self._max_limit) and now >= self._paused_until

    def _admit(self, service_time: float) -> None:
        now = self._clock.now()
        while self._waiting and self._has_capacity(now):
            queued_requests = [queued_request for queued_request, _ in self._waiting]
            queued_request, slot = self._waiting.pop(
                next_request_index(queued_requests, now, int(service_time))
            )
            if slot.done():
                continue
            if now + service_time > queued_request.deadline:
                slot.set_exception(RequestError(ErrorReason.OVERLOADED))
                continue
            self._in_flight += 1
            slot.set_result(None)
        if self._waiting:
            self._schedule_admission(service_time)

    def _schedule_admission(self, service_time: float) -> None:
        """Let the next one in at the end of a pause; without one a place is given back first."""
        remaining = self._paused_until - self._clock.now()
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        if remaining > 0:
            loop = asyncio.get_running_loop()
            self._pause_timer = loop.call_later(remaining / 1_000, self._admit, service_time)

    async def _wait(self, queued_request: QueuedRequest, service_time: float) -> None:
        slot = asyncio.get_running_loop().create_future()
        entry = (queued_request, slot)
        self._waiting.append(entry)
        timeout = self._latest_start(queued_request, service_time) - self._clock.now()
        try:
            async with asyncio.timeout(max(timeout, 0) / 1_000):
                await slot
        except TimeoutError:
            self._release_if_acquired(slot, service_time)
            raise RequestError(ErrorReason.OVERLOADED) from None
        except asyncio.CancelledError:
            self._release_if_acquired(slot, service_time)
            raise
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)

    def _latest_start(self, queued_request: QueuedRequest, service_time: float) -> int:
        """Return the moment until which *queued_request* waits.

        Who can't start before an answer would be late is better told to come back, while there
        is time for that; whoever is late already waits as long as it has time.
        """
        now, latest_start = self._clock.now(), queued_request.deadline - int(service_time)
        return (
            min(queued_request.soft_deadline, latest_start)
            if now < queued_request.soft_deadline
            else latest_start
        )

    def _release_if_acquired(self, slot: asyncio.Future[None], service_time: float) -> None:
        """Give back a place that was assigned at the moment when the wait ended."""
        if slot.done() and not slot.cancelled() and slot.exception() is None:
            self.release(service_time)


class AdmissionQueues:
    """The gates of all servers by id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, AdmissionQueue] = {}

    def get(self, server: str) -> AdmissionQueue:
        """Return the gate of *server*."""
        queue = self._queues.get(server)
        if queue is None:
            queue = self._queues[server] = AdmissionQueue(self._clock)
        return queue

    def keep_only(self, listed: frozenset[str]) -> None:
        """Drop gates of servers that are not in *listed* and have no requests."""
        unused = [
            name
            for name, queue in self._queues.items()
            if name not in listed and not queue.in_flight and not queue.queue_length
        ]
        for name in unused:
            del self._queues[name]

    def totals(self) -> tuple[int, int]:
        """Return how many requests are at servers, and how many wait."""
        queues = self._queues.values()
        return sum(queue.in_flight for queue in queues), sum(queue.queue_length for queue in queues)
