"""Balancing policies: which server of a service that is not keyed gets the next request."""

from __future__ import annotations

import abc
import dataclasses
import random
from collections.abc import Sequence

from fuchsiatrack.kernel.registry import register

# Weight of a new latency sample in the moving average.
LATENCY_GAIN = 0.1
# A reported load older than this says nothing, in milliseconds.
HINT_AGE_MAX = 5_000


@dataclasses.dataclass
class ServerView:
    """What one daemon knows of one server; latency in milliseconds.

    `hint` is the load that the server reported last, in requests, received at `hint_at`.
    `capacity` falls below the number of slots while the server is cold.
    """

    name: str
    capacity: float = 4.0
    in_flight: int = 0
    latency: float = 1.0
    hint: float = 0.0
    hint_at: int = -HINT_AGE_MAX

    def observe(self, latency: float) -> None:
        """Take in the latency of one answered request."""
        self.latency += LATENCY_GAIN * (latency - self.latency)


class BalancingPolicy(abc.ABC):
    """Chooses one server among candidates."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abc.abstractmethod
    def choose(self, candidates: Sequence[ServerView], now: int) -> ServerView:
        """Return one of *candidates*, which is not empty; *now* is in milliseconds."""

    def _pair(self, candidates: Sequence[ServerView]) -> Sequence[ServerView]:
        """Return up to two random candidates, in random order, so that ties fall evenly."""
        return self._rng.sample(candidates, min(2, len(candidates)))


@register("balancing", "least-in-flight")
class LeastInFlight(BalancingPolicy):
    """The server with the fewest requests from this daemon for its capacity."""

    def choose(self, candidates: Sequence[ServerView], now: int) -> ServerView:
        return min(candidates, key=lambda view: (view.in_flight / view.capacity, self._tie()))

    def _tie(self) -> float:
        return self._rng.random()


@register("balancing", "two-choices")
class TwoChoices(BalancingPolicy):
    """The less busy of two random servers."""

    def choose(self, candidates: Sequence[ServerView], now: int) -> ServerView:
        return min(self._pair(candidates), key=lambda view: view.in_flight / view.capacity)


@register("balancing", "two-choices-latency")
class TwoChoicesLatency(BalancingPolicy):
    """The one of two random servers that should answer first by observed latency."""

    def choose(self, candidates: Sequence[ServerView], now: int) -> ServerView:
        return min(self._pair(candidates), key=lambda view: self._expected(view, now))

    def _expected(self, view: ServerView, now: int) -> float:
        return (view.in_flight + 1) * view.latency / view.capacity


@register("balancing", "two-choices-hint")
class TwoChoicesHint(TwoChoicesLatency):
    """Like two-choices-latency, but counts reported load, less the older it is."""

    def _expected(self, view: ServerView, now: int) -> float:
        freshness = max(0.0, 1 - (now - view.hint_at) / HINT_AGE_MAX)
        return (view.in_flight + 1 + freshness * view.hint) * view.latency / view.capacity
