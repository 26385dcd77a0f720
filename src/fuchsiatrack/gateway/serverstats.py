"""What this daemon knows of each backend server's load and health."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.gateway.headers import ReportedLoad
from fuchsiatrack.kernel.clock import Clock

# Service time that is assumed of a server before its first answer, in milliseconds.
FIRST_LATENCY = 50.0
LATENCY_GAIN = 0.15
# Weight of one answer in the mean size of a service's answers.
ANSWER_SIZE_GAIN = 0.05
# A reported load loses half of its say in this time, in milliseconds: about one service time.
REPORT_HALF_LIFE = 150
# Weight of one outcome in the moving share of failures.
FAILURE_GAIN = 0.2
# Time in which the share of failures halves without any outcome, in milliseconds.
FAILURE_HALF_LIFE = 1_500
# Failures count as this many more requests in the server's queue.
FAILURE_PENALTY = 12.0


@dataclasses.dataclass
class ServerStats:
    """Counts of one server; times in milliseconds."""

    slots: int
    in_flight: int = 0
    latency: float = FIRST_LATENCY
    failures: float = 0.0
    failed_at: int = 0
    load: ReportedLoad | None = None
    load_at: int = 0
    samples: int = 0
    total_time: float = 0.0

    def queue_length(self, now: int) -> float:
        """Return how many requests the server probably has, this daemon's own included."""
        if self.load is None:
            return self.in_flight
        weight = 0.5 ** ((now - self.load_at) / REPORT_HALF_LIFE)
        reported = self.load.running + self.load.waiting
        return max(self.in_flight, weight * reported)

    def failure_share(self, now: int) -> float:
        """Return the share of recent requests that failed."""
        return self.failures * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE)

    def expected_time(self, now: int) -> float:
        """Return about how long one more request would take."""
        queue = self.queue_length(now) + FAILURE_PENALTY * self.failure_share(now)
        waiting = max(0.0, queue + 1 - self.slots) / self.slots
        # A server slows down a little before its slots are full.
        crowding = 0.25 * min(1.0, queue / self.slots)
        return self.latency * (1 + crowding + waiting)

    def record_response(self, elapsed: int, succeeded: bool, now: int) -> None:
        """Take in an answer after *elapsed* milliseconds."""
        self._note_outcome(not succeeded, now)
        if not succeeded:
            return
        waiting = self.load.waiting if self.load else 0
        work = elapsed / (1 + waiting / self.slots)
        self.latency += LATENCY_GAIN * (work - self.latency)
        self.samples += 1
        self.total_time += work

    def record_failure(self, now: int) -> None:
        """Take in a request without a usable answer."""
        self._note_outcome(True, now)

    def record_load(self, load: ReportedLoad, now: int) -> None:
        """Take in what the server reports of itself."""
        self.load, self.load_at = load, now
        if load.slots > 0:
            self.slots = load.slots

    def pop_service_times(self) -> tuple[int, float]:
        """Return the number and mean work time of answers since the last call."""
        samples, total = self.samples, self.total_time
        self.samples, self.total_time = 0, 0.0
        return samples, total / samples if samples else 0.0

    def _note_outcome(self, failed: bool, now: int) -> None:
        share = self.failure_share(now)
        self.failures = share + FAILURE_GAIN * (float(failed) - share)
        self.failed_at = now


class ServerStatsRegistry:
    """The states of all servers by id, and the mean size of each service's answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stats: dict[str, ServerStats] = {}
        self._answer_sizes: dict[str, float] = {}

    def note_answer_size(self, service: str, size: int) -> None:
        """Take in the size of an answer's body, in bytes."""
        mean = self._answer_sizes.get(service, float(size))
        self._answer_sizes[service] = mean + ANSWER_SIZE_GAIN * (size - mean)

    def answer_size(self, service: str) -> float:
        """Return the mean size of the answers of *service*, in bytes; 0 before the first."""
        return self._answer_sizes.get(service, 0.0)

    def get(self, server: str, slots: int) -> ServerStats:
        """Return the state of *server*, a new one when nothing is known."""
        stats = self._stats.get(server)
        if stats is None:
            stats = self._stats[server] = ServerStats(max(1, slots))
        return stats

    def forget(self, server: str) -> None:
        """Drop what is known of a server that is gone."""
        self._stats.pop(server, None)

    def pop_service_times(self) -> dict[str, tuple[int, float]]:
        """Return the number and mean time of answers by server since the last call."""
        taken = {name: stats.pop_service_times() for name, stats in self._stats.items()}
        return {name: times for name, times in taken.items() if times[0]}
