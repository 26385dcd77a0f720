"""Concurrency limits and admission queues for requests to backend servers.

Requests queue here rather than at the server, because this daemon can order them by urgency and
reject those that would miss their deadlines while their callers still have time to retry.
"""

from __future__ import annotations

import asyncio
import dataclasses

from fuchsiatrack.gateway.headers import ReportedLoad
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.routing.errors import ErrorReason, RequestError

# Limit while nothing is known of the server's load.
INITIAL_LIMIT_REQUESTS = 4.0
# The initial limits of all daemons at a server of a keyed service are together at most this
# multiple of its slots, or 1 each: when a key turns hot, all of them send to its owner before the
# first response tells of it.
INITIAL_LIMIT_SLOTS_RATIO = 8.0
# Added to the limit after a response if fewer requests than half the server's slots wait there;
# subtracted if more than its slots wait, which adds one service time.  Limits below 0.5 double
# instead, and limits below 1 halve.
LIMIT_INCREASE_REQUESTS = 0.5
LIMIT_DECREASE_REQUESTS = 0.5
# A limit below 1 is the share of time in which the daemon has one request at the server, since
# the daemons can outnumber a server's slots by up to about a hundred to one.
MIN_LIMIT_REQUESTS = 0.05
# The limit is at least this after a response of a server that has a free slot.
FREE_SLOT_LIMIT_REQUESTS = 0.5
# Bounds the pause at a limit below 1, so that the recovery of a server is detected.
MAX_PAUSE_MS = 1_500
# Applied to the limit when the server rejects a request for lack of capacity.
REJECTION_LIMIT_FACTOR = 0.6
# Share of the affordable wait that the expected wait may use, since the expected wait is a mean.
AFFORDABLE_WAIT_RATIO = 0.8


def initial_limit(is_keyed: bool, slots: int, daemon_count: int) -> float:
    """Return the limit of one of *daemon_count* daemons at a server of which nothing is known.

    Requests of a service without keys go to other servers instead, so that no server is hot.
    """
    if not is_keyed:
        return INITIAL_LIMIT_REQUESTS
    share = INITIAL_LIMIT_SLOTS_RATIO * slots / max(1, daemon_count)
    return min(INITIAL_LIMIT_REQUESTS, max(1.0, share))


class ConcurrencyLimit:
    """Adaptive limit on one daemon's concurrent requests to one server.

    It follows the load that the server reports, between `MIN_LIMIT_REQUESTS` and the *max_limit*
    of each call.
    """

    def __init__(self, initial: float = INITIAL_LIMIT_REQUESTS) -> None:
        self._limit = initial

    def current(self, max_limit: int) -> int:
        """Return how many requests may be in flight at once."""
        return max(1, min(max_limit, int(self._limit)))

    def rate(self, max_limit: int, service_time: float) -> float:
        """Return the admission rate in requests per millisecond.

        *service_time* is in milliseconds.
        """
        return self.current(max_limit) * min(1.0, self._limit) / max(service_time, 1.0)

    def pause(self, service_time: float) -> int:
        """Return the pause after a response, in milliseconds; 0 for a limit of at least 1."""
        if self._limit >= 1:
            return 0
        return min(MAX_PAUSE_MS, int(service_time * (1 / self._limit - 1)))

    def record_response(self, load: ReportedLoad | None, max_limit: int) -> None:
        """Update the limit after a response that reported *load*, None without a report."""
        if load is not None and not load.waiting and load.running < load.slots:
            # Steps from the minimum would leave the server idle for seconds after an overload.
            self._limit = max(self._limit, FREE_SLOT_LIMIT_REQUESTS)
        if load is None or load.waiting * 2 < load.slots:
            self._limit += min(self._limit, LIMIT_INCREASE_REQUESTS)
        elif load.waiting > load.slots:
            self._limit -= LIMIT_DECREASE_REQUESTS * min(1.0, self._limit)
        self._limit = max(MIN_LIMIT_REQUESTS, min(float(max_limit), self._limit))

    def record_rejection(self) -> None:
        """Lower the limit after the server rejected a request for lack of capacity."""
        self._limit = max(MIN_LIMIT_REQUESTS, self._limit * REJECTION_LIMIT_FACTOR)


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that needs a concurrency slot; times are of this daemon's clock, in ms.

    A response after `soft_deadline` misses the route's objective; one after `deadline` is
    useless.  A smaller `priority` is more urgent.
    """

    priority: int
    soft_deadline: int
    deadline: int


def next_request_index(queued_requests: list[QueuedRequest], now: int, service_time: int) -> int:
    """Return the index of the request to admit next.

    Orders by priority, then requests that can still meet their soft deadline before late ones,
    then by soft deadline.
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
    """Return whether *queued_request* can meet its soft deadline after *expected_wait* ms."""
    return expected_wait <= affordable_wait(queued_request, now, service_time)


def affordable_wait(queued_request: QueuedRequest, now: int, service_time: float) -> float:
    """Return how long *queued_request* can wait and still meet its soft deadline, in ms.

    A request that would miss its soft deadline even without a wait is held to its deadline
    instead.
    """
    applicable_deadline = (
        queued_request.soft_deadline
        if now + service_time < queued_request.soft_deadline
        else queued_request.deadline
    )
    return max((applicable_deadline - now - service_time) * AFFORDABLE_WAIT_RATIO, 0)


class AdmissionQueue:
    """This daemon's concurrency slots at one server, with a queue; times in milliseconds.

    A concurrency slot is the permission to have one request at the server, not one of the slots in
    which the server processes requests.
    """

    def __init__(self, clock: Clock, initial: float = INITIAL_LIMIT_REQUESTS) -> None:
        self._clock = clock
        self._waiting: list[tuple[QueuedRequest, asyncio.Future[None]]] = []
        self._in_flight = 0
        self._max_limit = 1
        self._paused_until = 0
        self._pause_timer: asyncio.TimerHandle | None = None
        self.limit = ConcurrencyLimit(initial)

    @property
    def in_flight(self) -> int:
        """How many concurrency slots are in use."""
        return self._in_flight

    @property
    def queue_length(self) -> int:
        """How many requests wait for a concurrency slot."""
        return len(self._waiting)

    def expected_wait(self, priority: int, max_limit: int, service_time: float) -> float:
        """Return how long a request of *priority* would wait for a concurrency slot, in ms.

        It is 0 only if the request would get one at once.
        """
        if self._has_capacity(self._clock.now(), max_limit) and not self._waiting:
            return 0.0
        ahead = sum(1 for other, _ in self._waiting if other.priority <= priority)
        return (ahead + 1) / self.limit.rate(max_limit, service_time)

    async def acquire(
        self, queued_request: QueuedRequest, max_limit: int, service_time: float
    ) -> None:
        """Acquire a concurrency slot, waiting for one if necessary.

        *max_limit* is this daemon's share of the server's connections.  Raises RequestError if
        the request would miss its deadline.
        """
        self._max_limit = max_limit
        now = self._clock.now()
        expected_wait = self.expected_wait(queued_request.priority, max_limit, service_time)
        if not expected_wait:
            self._in_flight += 1
            return
        if not can_meet_deadline(queued_request, now, expected_wait, service_time):
            raise RequestError(ErrorReason.OVERLOADED, retry_after_ms=int(expected_wait))
        self._schedule_admission(service_time)
        await self._wait(queued_request, service_time)

    def release(self, service_time: float) -> None:
        """Release a concurrency slot, and admit queued requests."""
        self._in_flight -= 1
        self._paused_until = self._clock.now() + self.limit.pause(service_time)
        self._admit(service_time)

    def _has_capacity(self, now: int, max_limit: int) -> bool:
        return self._in_flight < self.limit.current(max_limit) and now >= self._paused_until

    def _admit(self, service_time: float) -> None:
        now = self._clock.now()
        while self._waiting and self._has_capacity(now, self._max_limit):
            queued_requests = [queued_request for queued_request, _ in self._waiting]
            queued_request, admission = self._waiting.pop(
                next_request_index(queued_requests, now, int(service_time))
            )
            if admission.done():
                continue
            if now + service_time > queued_request.deadline:
                admission.set_exception(RequestError(ErrorReason.OVERLOADED))
                continue
            self._in_flight += 1
            admission.set_result(None)
        if self._waiting:
            self._schedule_admission(service_time)

    def _schedule_admission(self, service_time: float) -> None:
        """Admit the next request when the pause ends.

        While all concurrency slots are in use, the next release admits it.
        """
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        if self._in_flight < self.limit.current(self._max_limit):
            # The pause may have ended since it was checked.
            remaining = max(1, self._paused_until - self._clock.now())
            loop = asyncio.get_running_loop()
            self._pause_timer = loop.call_later(remaining / 1_000, self._admit, service_time)

    async def _wait(self, queued_request: QueuedRequest, service_time: float) -> None:
        admission = asyncio.get_running_loop().create_future()
        entry = (queued_request, admission)
        self._waiting.append(entry)
        timeout = self._latest_start(queued_request, service_time) - self._clock.now()
        try:
            async with asyncio.timeout(max(timeout, 0) / 1_000):
                await admission
        except TimeoutError:
            self._release_if_acquired(admission, service_time)
            raise RequestError(ErrorReason.OVERLOADED) from None
        except asyncio.CancelledError:
            self._release_if_acquired(admission, service_time)
            raise
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)

    def _latest_start(self, queued_request: QueuedRequest, service_time: float) -> int:
        """Return the time until which *queued_request* waits.

        A request that can't start before its soft deadline is rejected then, while its caller
        still has time to retry.  One that is already late waits until its deadline can't be met.
        """
        now, latest_start = self._clock.now(), queued_request.deadline - int(service_time)
        return (
            min(queued_request.soft_deadline, latest_start)
            if now < queued_request.soft_deadline
            else latest_start
        )

    def _release_if_acquired(self, admission: asyncio.Future[None], service_time: float) -> None:
        """Release a concurrency slot that was assigned just as the wait ended."""
        if admission.done() and not admission.cancelled() and admission.exception() is None:
            self.release(service_time)


class AdmissionQueues:
    """The admission queues of all servers, by server id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, AdmissionQueue] = {}

    def peek(self, server: str, initial: float) -> AdmissionQueue:
        """Return the queue of *server* as `get` does, without keeping a new one."""
        return self._queues.get(server) or AdmissionQueue(self._clock, initial)

    def get(self, server: str, initial: float) -> AdmissionQueue:
        """Return the queue of *server*, creating it with *initial* as its limit if necessary."""
        queue = self._queues.get(server)
        if queue is None:
            queue = self._queues[server] = AdmissionQueue(self._clock, initial)
        return queue

    def queue_length(self, server: str) -> int:
        """Return how many requests wait for a concurrency slot at *server*."""
        queue = self._queues.get(server)
        return 0 if queue is None else queue.queue_length

    def keep_only(self, listed: frozenset[str]) -> None:
        """Drop unused queues of servers that are not in *listed*."""
        unused = [
            name
            for name, queue in self._queues.items()
            if name not in listed and not queue.in_flight and not queue.queue_length
        ]
        for name in unused:
            del self._queues[name]

    def totals(self) -> tuple[int, int]:
        """Return the numbers of requests in flight and of queued requests."""
        queues = self._queues.values()
        return sum(queue.in_flight for queue in queues), sum(queue.queue_length for queue in queues)
