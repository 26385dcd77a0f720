"""Balancing policies, which select the server of a request in a service that is not keyed."""

from __future__ import annotations

import abc
import dataclasses
import random
from collections.abc import Sequence

from fuchsiatrack.kernel.registry import register

# Weight of a new sample in the exponential moving average of latencies.
LATENCY_SMOOTHING_FACTOR = 0.1
# A reported load of this age or more is ignored.
REPORTED_LOAD_AGE_MAX_MS = 5_000


@dataclasses.dataclass
class Candidate:
    """One daemon's statistics of one server.

    `latency` is a moving average in milliseconds.  `reported_load` is the load that the server
    reported last, in requests, and `reported_at` the time at which it was received, in
    milliseconds; `LoadBalancer.record_load` sets both.  `capacity` is in concurrency slots; it is
    less than the server has while the server is warming up.
    """

    name: str
    capacity: float = 4.0
    in_flight: int = 0
    latency: float = 1.0
    reported_load: float = 0.0
    reported_at: int = -REPORTED_LOAD_AGE_MAX_MS

    def record_latency(self, latency: float) -> None:
        """Update the moving average with the latency of one request, in milliseconds."""
        self.latency += LATENCY_SMOOTHING_FACTOR * (latency - self.latency)


class BalancingPolicy(abc.ABC):
    """Selects one server among candidates."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abc.abstractmethod
    def select(self, candidates: Sequence[Candidate], now: int) -> Candidate:
        """Return one of *candidates*, which is not empty; *now* is in milliseconds."""

    def _sample_two(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return up to two random candidates, in random order so that ties are split evenly."""
        return self._rng.sample(candidates, min(2, len(candidates)))


@register("balancing", "least-in-flight")
class LeastInFlight(BalancingPolicy):
    """Selects the server with the fewest requests from this daemon relative to its capacity."""

    def select(self, candidates: Sequence[Candidate], now: int) -> Candidate:
        return min(
            candidates,
            key=lambda candidate: (candidate.in_flight / candidate.capacity, self._tie_breaker()),
        )

    def _tie_breaker(self) -> float:
        return self._rng.random()


@register("balancing", "two-choices")
class TwoChoices(BalancingPolicy):
    """Selects the less busy of two random servers."""

    def select(self, candidates: Sequence[Candidate], now: int) -> Candidate:
        return min(
            self._sample_two(candidates),
            key=lambda candidate: candidate.in_flight / candidate.capacity,
        )


@register("balancing", "two-choices-latency")
class TwoChoicesLatency(BalancingPolicy):
    """Selects the one of two random servers that should respond first by observed latency."""

    def select(self, candidates: Sequence[Candidate], now: int) -> Candidate:
        return min(
            self._sample_two(candidates),
            key=lambda candidate: self._expected_latency(candidate, now),
        )

    def _expected_latency(self, candidate: Candidate, now: int) -> float:
        return (candidate.in_flight + 1) * candidate.latency / candidate.capacity


@register("balancing", "two-choices-hint")
class TwoChoicesHint(TwoChoicesLatency):
    """Like two-choices-latency, but adds the reported load, weighted down linearly with age."""

    def _expected_latency(self, candidate: Candidate, now: int) -> float:
        freshness = max(0.0, 1 - (now - candidate.reported_at) / REPORTED_LOAD_AGE_MAX_MS)
        return (
            (candidate.in_flight + 1 + freshness * candidate.reported_load)
            * candidate.latency
            / candidate.capacity
        )
