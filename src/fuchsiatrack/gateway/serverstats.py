"""Load and health of each backend server, as observed by this daemon."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from fuchsiatrack.decisions.placement import ObservedTimes, relaxed_load
from fuchsiatrack.gateway.headers import ReportedLoad
from fuchsiatrack.kernel.clock import Clock

# Assumed service time of a server before its first response.
INITIAL_SERVICE_TIME_MS = 50.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.15
# Responses after which the deviation of service times is known, and its ratio to the mean before.
DEVIATION_MIN_RESPONSES = 8
ASSUMED_DEVIATION_RATIO = 2.0
# Half-life of the weight of a reported load: about one service time.
LOAD_HALF_LIFE_MS = 150
# Half-life of the weight of a reported slowdown, which changes many times a second.
SLOWDOWN_HALF_LIFE_MS = 100
# Weight of one outcome in the moving average of failures.
FAILURE_SMOOTHING_FACTOR = 0.2
# The share of failures halves in this time without any outcome.
FAILURE_HALF_LIFE_MS = 1_500
# A server that reset a new connection is expected to reset others for this long.
CONNECTION_RESET_MEMORY_MS = 5_000


@dataclasses.dataclass
class ServerStats:
    """Statistics of one server; times in milliseconds.

    `service_time` starts from an assumed value, which the first responses change slowly.
    `observed_service_time` is the mean of the responses alone, None before the first one.  Both
    include what slows the server's machine down, since requests have to end in time there;
    `usual_service_time` is the mean on the machine as it usually is.  `observed_variance` is that
    of the responses around `observed_service_time`.
    `shared_service_time` is what all daemons have observed, None if it isn't known.  `unreported`
    counts requests that were sent after the latest load was reported.
    """

    slots: int
    in_flight: int = 0
    unreported: int = 0
    service_time: float = INITIAL_SERVICE_TIME_MS
    observed_service_time: float | None = None
    observed_variance: float = 0.0
    usual_service_time: float | None = None
    responses: int = 0
    shared_service_time: float | None = None
    average_failures: float = 0.0
    failures_updated_at: int = 0
    load: ReportedLoad | None = None
    load_reported_at: int = 0
    connection_reset_at: int | None = None
    samples: int = 0
    total_time: float = 0.0
    total_usual_time: float = 0.0

    @property
    def observed_times(self) -> ObservedTimes:
        """What this daemon and all daemons have observed of the service time."""
        return ObservedTimes(
            self.responses, self.usual_service_time or 0.0, self.shared_service_time
        )

    @property
    def service_time_deviation(self) -> float:
        """The standard deviation of service times, a large one after too few responses to tell."""
        if self.responses < DEVIATION_MIN_RESPONSES:
            mean = self.observed_service_time or 0.0
            return ASSUMED_DEVIATION_RATIO * max(mean, INITIAL_SERVICE_TIME_MS)
        return math.sqrt(self.observed_variance)

    def begin_request(self) -> None:
        """Count a request that is sent to the server."""
        self.in_flight += 1
        self.unreported += 1

    def end_request(self) -> None:
        """Count the end of a request to the server."""
        self.in_flight -= 1
        self.unreported = min(self.unreported, self.in_flight)

    def load_age(self, now: int) -> int | None:
        """Return the age of the reported load in milliseconds, None without one."""
        return None if self.load is None else now - self.load_reported_at

    def estimated_requests(self, now: int, usual: float) -> float:
        """Return the estimated number of requests at the server, at least this daemon's own.

        *usual* is the number to assume if nothing recent is known.
        """
        if self.load is None:
            return max(self.in_flight, usual)
        weight = 0.5 ** ((now - self.load_reported_at) / LOAD_HALF_LIFE_MS)
        reported = self.load.running + self.load.waiting
        return max(self.in_flight, relaxed_load(reported, usual, weight) + self.unreported)

    def failure_share(self, now: int) -> float:
        """Return the share of recent requests that failed, between 0 and 1."""
        return self.average_failures * 0.5 ** (
            (now - self.failures_updated_at) / FAILURE_HALF_LIFE_MS
        )

    def slowdown(self, now: int) -> float:
        """Return the expected slowdown of the server's machine, 1 if nothing recent is known."""
        if self.load is None:
            return 1.0
        weight = 0.5 ** ((now - self.load_reported_at) / SLOWDOWN_HALF_LIFE_MS)
        return 1.0 + weight * (self.load.slowdown - 1.0)

    def record_response(self, elapsed: int, succeeded: bool, now: int) -> None:
        """Record a response after *elapsed* milliseconds.

        The load that it reported is recorded before.
        """
        self._record_outcome(not succeeded, now)
        if not succeeded:
            return
        waiting = self.load.waiting if self.load else 0
        service_time = elapsed / (1 + waiting / self.slots)
        self.service_time += SERVICE_TIME_SMOOTHING_FACTOR * (service_time - self.service_time)
        usual_time = service_time / self.slowdown(now)
        self._observe(service_time, usual_time)
        self.samples += 1
        self.total_time += service_time
        self.total_usual_time += usual_time

    def record_failure(self, now: int) -> None:
        """Record a request without a usable response."""
        self._record_outcome(True, now)

    def record_connection_reset(self, now: int) -> None:
        """Record that a new connection ended without any byte of a response."""
        self.connection_reset_at = now

    def resets_connections(self, now: int) -> bool:
        """Return whether the server has recently reset a new connection."""
        reset_at = self.connection_reset_at
        return reset_at is not None and now - reset_at < CONNECTION_RESET_MEMORY_MS

    def record_load(self, load: ReportedLoad, now: int) -> None:
        """Record the load that the server reported."""
        self.load, self.load_reported_at = load, now
        # The server has counted this daemon's other requests as well.
        self.unreported = 0
        if load.slots > 0:
            self.slots = load.slots

    def pop_service_times(self) -> tuple[int, float, float]:
        """Return the number and the mean service time of responses since the last call.

        The last value is the mean on the machine as it usually is.
        """
        samples, count = self.samples, max(1, self.samples)
        means = self.total_time / count, self.total_usual_time / count
        self.samples, self.total_time, self.total_usual_time = 0, 0.0, 0.0
        return samples, *means

    def _observe(self, service_time: float, usual_time: float) -> None:
        self.responses += 1
        weight = max(SERVICE_TIME_SMOOTHING_FACTOR, 1 / self.responses)
        mean, usual_mean = self.observed_service_time or 0.0, self.usual_service_time or 0.0
        difference = service_time - mean
        self.observed_service_time = mean + weight * difference
        self.observed_variance = (1 - weight) * (self.observed_variance + weight * difference**2)
        self.usual_service_time = usual_mean + weight * (usual_time - usual_mean)

    def _record_outcome(self, failed: bool, now: int) -> None:
        share = self.failure_share(now)
        self.average_failures = share + FAILURE_SMOOTHING_FACTOR * (float(failed) - share)
        self.failures_updated_at = now


def mean_load(loads: Iterable[ReportedLoad | None]) -> float:
    """Return the mean load of servers, in requests for each slot; 0 if none is known."""
    known = [load for load in loads if load is not None and load.slots]
    return sum((item.running + item.waiting) / item.slots for item in known) / max(1, len(known))


class ServerStatsRegistry:
    """Statistics of all servers by id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stats: dict[str, ServerStats] = {}

    @property
    def shared_time_count(self) -> int:
        """How many servers have a service time that all daemons have observed."""
        return sum(item.shared_service_time is not None for item in self._stats.values())

    def get(self, server: str, slots: int) -> ServerStats:
        """Return the statistics of *server*, creating them if necessary."""
        stats = self._stats.get(server)
        if stats is None:
            stats = self._stats[server] = ServerStats(max(1, slots))
        return stats

    def peek(self, server: str, slots: int) -> ServerStats:
        """Return the statistics of *server* as `get` does, without keeping new ones."""
        return self._stats.get(server) or ServerStats(max(1, slots))

    def record_shared_times(self, service_times: Mapping[str, float]) -> None:
        """Record the service times that all daemons have observed, in ms by server id.

        Servers that this daemon hasn't used yet are learned with the next table.
        """
        for server, service_time in service_times.items():
            stats = self._stats.get(server)
            if stats is not None:
                stats.shared_service_time = service_time

    def forget(self, server: str) -> None:
        """Drop the statistics of *server*."""
        self._stats.pop(server, None)

    def pop_service_times(self) -> dict[str, tuple[int, float, float]]:
        """Return `ServerStats.pop_service_times` by server, without those that had no response."""
        by_server = {name: stats.pop_service_times() for name, stats in self._stats.items()}
        return {
            name: service_times for name, service_times in by_server.items() if service_times[0]
        }
