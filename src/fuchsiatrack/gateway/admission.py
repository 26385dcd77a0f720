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
FIRST_LIMIT = 4.0
# Steps of the limit after an answer: up while nobody waits at the server, down while more wait
# than it has slots, which is one more service time.  Small limits double and halve instead.
RAISE_STEP = 0.5
LOWER_STEP = 0.5
# Least limit. Below 1 a daemon has one request at the server for that part of the time: daemons
# can be more than a server has places, here up to about a hundred times as many.
LEAST_LIMIT = 0.05
# Longest pause between two requests at a limit below 1, in milliseconds, so that the return of a
# server is seen.
PAUSE_MAX = 1_500
# Factor of the limit after the server refused a request for lack of room.
SHED_FACTOR = 0.6
# Part of the wait that a request can afford which the queue may take, since the expected wait is
# an average.
WAIT_MARGIN = 0.8


class ConcurrencyLimit:
    """Follows what a server reports; between `LEAST_LIMIT` and the *most* of each call."""

    def __init__(self) -> None:
        self._limit = FIRST_LIMIT

    def current(self, most: int) -> int:
        """Return how many requests may be at the server at once."""
        return max(1, min(most, int(self._limit)))

    def rate(self, most: int, service_time: float) -> float:
        """Return how many requests the server may get in a millisecond."""
        return self.current(most) * min(1.0, self._limit) / max(service_time, 1.0)

    def pause(self, service_time: float) -> int:
        """Return for how many milliseconds the server gets nothing after an answer."""
        if self._limit >= 1:
            return 0
        return min(PAUSE_MAX, int(service_time * (1 / self._limit - 1)))

    def record_response(self, load: ReportedLoad | None, most: int) -> None:
        """Take in an answer with the load that the server reported."""
        if load is None or load.waiting * 2 < load.slots:
            self._limit += min(self._limit, RAISE_STEP)
        elif load.waiting > load.slots:
            self._limit -= LOWER_STEP * min(1.0, self._limit)
        self._limit = max(LEAST_LIMIT, min(float(most), self._limit))

    def record_rejection(self) -> None:
        """Take in that the server had no room."""
        self._limit = max(LEAST_LIMIT, self._limit * SHED_FACTOR)


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that wants a place at a server; moments of the clock.

    `on_time` is the moment until which an answer counts fully, `deadline` the last one at which
    it counts at all.
    """

    priority: int
    on_time: int
    deadline: int


def next_request_index(queued_requests: list[QueuedRequest], now: int, service_time: int) -> int:
    """Return the index of the claim that goes first.

    The higher rank goes first, then what can still be on time, then what came first.
    """
    return min(
        range(len(queued_requests)),
        key=lambda index: (
            queued_requests[index].priority,
            now + service_time > queued_requests[index].on_time,
            queued_requests[index].on_time,
        ),
    )


def can_meet_deadline(
    queued_request: QueuedRequest, now: int, expected_wait: float, service_time: float
) -> bool:
    """Tell whether *queued_request* would be answered on time after *expected_wait*.

    What can't be on time any more whatever happens is measured by its deadline instead.
    """
    limit = (
        queued_request.on_time
        if now + service_time < queued_request.on_time
        else queued_request.deadline
    )
    affordable = limit - now - service_time
    return expected_wait <= max(affordable * WAIT_MARGIN, 0)


class AdmissionQueue:
    """The places of this daemon at one server; times in milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: list[tuple[QueuedRequest, asyncio.Future[None]]] = []
        self._in_flight = 0
        self._most = 1
        self._opens_at = 0
        self._opening: asyncio.TimerHandle | None = None
        self.limit = ConcurrencyLimit()

    @property
    def in_flight(self) -> int:
        """How many places are in use."""
        return self._in_flight

    @property
    def queue_length(self) -> int:
        """How many requests wait for a place."""
        return len(self._waiting)

    async def acquire(self, queued_request: QueuedRequest, most: int, service_time: float) -> None:
        """Take a place, waiting for one if need be; raise RequestError when it would be too late.

        *most* is this daemon's share of the server's connections.
        """
        self._most = most
        now = self._clock.now()
        if self._is_open(now) and not self._waiting:
            self._in_flight += 1
            return
        ahead = sum(1 for other, _ in self._waiting if other.priority <= queued_request.priority)
        wait = (ahead + 1) / self.limit.rate(most, service_time)
        if not can_meet_deadline(queued_request, now, wait, service_time):
            raise RequestError(ErrorReason.OVERLOADED, retry_after=int(wait))
        self._open_later(service_time)
        await self._wait(queued_request, service_time)

    def release(self, service_time: float) -> None:
        """Give a place back, and let in those that wait."""
        self._in_flight -= 1
        self._opens_at = self._clock.now() + self.limit.pause(service_time)
        self._admit(service_time)

    def _is_open(self, now: int) -> bool:
        return self._in_flight < self.limit.current(self._most) and now >= self._opens_at

    def _admit(self, service_time: float) -> None:
        now = self._clock.now()
        while self._waiting and self._is_open(now):
            queued_requests = [queued_request for queued_request, _ in self._waiting]
            queued_request, place = self._waiting.pop(
                next_request_index(queued_requests, now, int(service_time))
            )
            if place.done():
                continue
            if now + service_time > queued_request.deadline:
                place.set_exception(RequestError(ErrorReason.OVERLOADED))
                continue
            self._in_flight += 1
            place.set_result(None)
        if self._waiting:
            self._open_later(service_time)

    def _open_later(self, service_time: float) -> None:
        """Let the next one in at the end of a pause; without one a place is given back first."""
        left = self._opens_at - self._clock.now()
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if left > 0:
            loop = asyncio.get_running_loop()
            self._opening = loop.call_later(left / 1_000, self._admit, service_time)

    async def _wait(self, queued_request: QueuedRequest, service_time: float) -> None:
        place = asyncio.get_running_loop().create_future()
        item = (queued_request, place)
        self._waiting.append(item)
        latest = self._latest_start(queued_request, service_time) - self._clock.now()
        try:
            async with asyncio.timeout(max(latest, 0) / 1_000):
                await place
        except TimeoutError:
            self._give_up(place, service_time)
            raise RequestError(ErrorReason.OVERLOADED) from None
        except asyncio.CancelledError:
            self._give_up(place, service_time)
            raise
        finally:
            if item in self._waiting:
                self._waiting.remove(item)

    def _latest_start(self, queued_request: QueuedRequest, service_time: float) -> int:
        """Return the moment until which *queued_request* waits.

        Who can't start before an answer would be late is better told to come back, while there
        is time for that; whoever is late already waits as long as it has time.
        """
        now, last = self._clock.now(), queued_request.deadline - int(service_time)
        return min(queued_request.on_time, last) if now < queued_request.on_time else last

    def _give_up(self, place: asyncio.Future[None], service_time: float) -> None:
        """Give back a place that was assigned at the moment when the wait ended."""
        if place.done() and not place.cancelled() and place.exception() is None:
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
