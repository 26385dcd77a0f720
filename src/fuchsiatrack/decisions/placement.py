"""Where a request to a service without keys goes.

Many daemons choose at the same moment, and what each knows of a server is old: if all took the
server that looks best, it would be overrun while others idle.  So each daemon gives every server a
share by its room, and uses what it knows only to decide among a few servers drawn by these shares.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator, Sequence

# A failure share of 1 counts as this many additional requests at the server.
FAILURE_PENALTY_REQUESTS = 12.0
# A server slows down by up to this share before all of its slots are in use.
SHARED_SLOTS_SLOWDOWN = 0.25
# Responses that the mean of all servers counts for in the service time of one, and those that the
# time which all daemons have observed of it counts for.
MEAN_RESPONSES = 1
SHARED_RESPONSES = 10
# Own responses count at most so often, since the earlier ones are old.
OWN_RESPONSES_MAX = 6
# The share of a server rises by this power of its speed.  1 would load all alike, but the slow ones
# are the first to be late when requests wait or their machines slow down.
SPEED_EXPONENT = 2.0
# Servers that a request's one is chosen from.  More find a near one more often, and overrun the
# servers of a failure domain in which many requests come in.
DRAWN_SERVERS = 3
# Pressure by which a server in another failure domain may be lower and isn't taken: as much as a
# server without a queue may differ from another, so that no request waits for a near one.
REMOTE_PRESSURE = SHARED_SLOTS_SLOWDOWN


@dataclasses.dataclass(frozen=True)
class Candidate:
    """What a daemon knows of a server that may get the request; times are in milliseconds.

    `service_time` is the usual one of the server, and `slowdown` what its machine adds now, as a
    multiple.  `requests` is the estimated number at the server and in this daemon's queue for it.
    `delay` is for how long it is known to take no request.  `load_age` is the age of its reported
    load, None without one.
    """

    server: str
    slots: int
    service_time: float
    requests: float = 0.0
    slowdown: float = 1.0
    failure_share: float = 0.0
    delay: float = 0.0
    is_warming_up: bool = False
    is_remote: bool = False
    load_age: int | None = None

    @property
    def share(self) -> float:
        """The relative share of requests that the server gets by its room."""
        share = self.slots / max(self.service_time, 1.0) ** SPEED_EXPONENT
        share /= 1 + FAILURE_PENALTY_REQUESTS * self.failure_share / self.slots
        share /= 1 + self.delay / max(self.service_time, 1.0)
        return share / 2 if self.is_warming_up else share

    @property
    def expected_time(self) -> float:
        """The expected time of one more request, in milliseconds."""
        requests = self.requests + FAILURE_PENALTY_REQUESTS * self.failure_share
        waiting = max(0.0, requests + 1 - self.slots) / self.slots
        sharing = SHARED_SLOTS_SLOWDOWN * min(1.0, requests / self.slots)
        time = self.service_time * self.slowdown * (1 + sharing + waiting)
        return time * (2.0 if self.is_warming_up else 1.0) + self.delay

    @property
    def pressure(self) -> float:
        """The expected time as a multiple of the service time.

        It compares servers without regard to their speeds, which their shares allow for.
        """
        pressure = self.expected_time / max(self.service_time, 1.0)
        return pressure + REMOTE_PRESSURE if self.is_remote else pressure


@dataclasses.dataclass(frozen=True)
class Placement:
    """The chosen server, and the `compared` ones that it was chosen from."""

    server: str
    compared: tuple[Candidate, ...]

    @property
    def reason(self) -> str:
        """Why the server was chosen, in words."""
        if len(self.compared) == 1:
            return "only candidate"
        pressures = ", ".join(f"{item.server} {item.pressure:.2f}" for item in self.compared)
        return f"least pressure of those drawn by their shares: {pressures}"


def place(candidates: Sequence[Candidate], rng: random.Random) -> Placement:
    """Return the placement of a request; *candidates* are at least one.

    Answers many daemons with old news, and servers of unequal and changing speeds.
    """
    compared = tuple(_draw(candidates, rng))
    return Placement(min(compared, key=lambda item: item.pressure).server, compared)


def _draw(candidates: Sequence[Candidate], rng: random.Random) -> Iterator[Candidate]:
    """Yield up to `DRAWN_SERVERS` different candidates, drawn by their shares."""
    shares = [item.share for item in candidates]
    for _ in range(min(DRAWN_SERVERS, len(candidates))):
        (index,) = rng.choices(range(len(candidates)), shares)
        yield candidates[index]
        shares[index] = 0.0


@dataclasses.dataclass(frozen=True)
class ObservedTimes:
    """What is known of a server's usual service time, in milliseconds.

    `mean` is that of this daemon's own `responses`, and `shared` what all daemons have observed,
    None if it isn't known.
    """

    responses: int
    mean: float
    shared: float | None = None


def assumed_service_times(observed: Sequence[ObservedTimes], default: float) -> list[float]:
    """Return the service time to assume of each server, in milliseconds.

    Few responses count little against what all daemons have observed of the server or, where that
    isn't known, the mean of all servers; that is *default* before any has responded.
    """
    total = sum(item.responses for item in observed)
    mean = sum(item.responses * item.mean for item in observed) / total if total else default
    return [_assumed_service_time(item, mean) for item in observed]


def _assumed_service_time(observed: ObservedTimes, mean: float) -> float:
    own = min(observed.responses, OWN_RESPONSES_MAX)
    other, weight = mean, MEAN_RESPONSES
    if observed.shared is not None:
        other, weight = observed.shared, SHARED_RESPONSES
    return (own * observed.mean + weight * other) / (own + weight)


def relaxed_load(reported: float, mean: float, weight: float) -> float:
    """Return the load to assume of a server, in requests.

    A load of *reported* requests relaxes to the *mean* of all servers as its *weight* falls from 1
    to 0: an old report tells no more of a server than of any other, not that it idles.
    """
    return mean + weight * (reported - mean)
