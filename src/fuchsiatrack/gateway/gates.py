"""How many requests of this daemon a server has at once, and how the others wait.

Requests wait here instead of in the server's own queue, because here the most urgent can go
first and those that would come too late can be refused while their callers still have time.
"""

from __future__ import annotations

import asyncio
import dataclasses

from fuchsiatrack.gateway.edge import ReportedLoad
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.routing.refusal import Reason, Refusal

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

    def note_answer(self, load: ReportedLoad | None, most: int) -> None:
        """Take in an answer with the load that the server reported."""
        if load is None or load.waiting * 2 < load.slots:
            self._limit += min(self._limit, RAISE_STEP)
        elif load.waiting > load.slots:
            self._limit -= LOWER_STEP * min(1.0, self._limit)
        self._limit = max(LEAST_LIMIT, min(float(most), self._limit))

    def note_shed(self) -> None:
        """Take in that the server had no room."""
        self._limit = max(LEAST_LIMIT, self._limit * SHED_FACTOR)


@dataclasses.dataclass(frozen=True)
class Claim:
    """A request that wants a place at a server; moments of the clock.

    `on_time` is the moment until which an answer counts fully, `deadline` the last one at which
    it counts at all.
    """

    priority: int
    on_time: int
    deadline: int


def next_claim(claims: list[Claim], now: int, service_time: int) -> int:
    """Return the index of the claim that goes first.

    The higher rank goes first, then what can still be on time, then what came first.
    """
    return min(
        range(len(claims)),
        key=lambda index: (
            claims[index].priority,
            now + service_time > claims[index].on_time,
            claims[index].on_time,
        ),
    )


def can_be_served(claim: Claim, now: int, expected_wait: float, service_time: float) -> bool:
    """Tell whether *claim* would be answered on time after *expected_wait*.

    What can't be on time any more whatever happens is measured by its deadline instead.
    """
    limit = claim.on_time if now + service_time < claim.on_time else claim.deadline
    affordable = limit - now - service_time
    return expected_wait <= max(affordable * WAIT_MARGIN, 0)


class ServerGate:
    """The places of this daemon at one server; times in milliseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: list[tuple[Claim, asyncio.Future[None]]] = []
        self._taken = 0
        self._most = 1
        self._opens_at = 0
        self._opening: asyncio.TimerHandle | None = None
        self.limit = ConcurrencyLimit()

    @property
    def taken(self) -> int:
        """How many places are in use."""
        return self._taken

    @property
    def waiting(self) -> int:
        """How many requests wait for a place."""
        return len(self._waiting)

    async def enter(self, claim: Claim, most: int, service_time: float) -> None:
        """Take a place, waiting for one if need be; raise Refusal when it would be too late.

        *most* is this daemon's share of the server's connections.
        """
        self._most = most
        now = self._clock.now()
        if self._is_open(now) and not self._waiting:
            self._taken += 1
            return
        ahead = sum(1 for other, _ in self._waiting if other.priority <= claim.priority)
        wait = (ahead + 1) / self.limit.rate(most, service_time)
        if not can_be_served(claim, now, wait, service_time):
            raise Refusal(Reason.OVERLOADED, retry_after=int(wait))
        self._open_later(service_time)
        await self._wait(claim, service_time)

    def leave(self, service_time: float) -> None:
        """Give a place back, and let in those that wait."""
        self._taken -= 1
        self._opens_at = self._clock.now() + self.limit.pause(service_time)
        self._admit(service_time)

    def _is_open(self, now: int) -> bool:
        return self._taken < self.limit.current(self._most) and now >= self._opens_at

    def _admit(self, service_time: float) -> None:
        now = self._clock.now()
        while self._waiting and self._is_open(now):
            claims = [claim for claim, _ in self._waiting]
            claim, place = self._waiting.pop(next_claim(claims, now, int(service_time)))
            if place.done():
                continue
            if now + service_time > claim.deadline:
                place.set_exception(Refusal(Reason.OVERLOADED))
                continue
            self._taken += 1
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

    async def _wait(self, claim: Claim, service_time: float) -> None:
        place = asyncio.get_running_loop().create_future()
        item = (claim, place)
        self._waiting.append(item)
        latest = self._latest_start(claim, service_time) - self._clock.now()
        try:
            async with asyncio.timeout(max(latest, 0) / 1_000):
                await place
        except TimeoutError:
            self._give_up(place, service_time)
            raise Refusal(Reason.OVERLOADED) from None
        except asyncio.CancelledError:
            self._give_up(place, service_time)
            raise
        finally:
            if item in self._waiting:
                self._waiting.remove(item)

    def _latest_start(self, claim: Claim, service_time: float) -> int:
        """Return the moment until which *claim* waits.

        Who can't start before an answer would be late is better told to come back, while there
        is time for that; whoever is late already waits as long as it has time.
        """
        now, last = self._clock.now(), claim.deadline - int(service_time)
        return min(claim.on_time, last) if now < claim.on_time else last

    def _give_up(self, place: asyncio.Future[None], service_time: float) -> None:
        """Give back a place that was assigned at the moment when the wait ended."""
        if place.done() and not place.cancelled() and place.exception() is None:
            self.leave(service_time)


class ServerGates:
    """The gates of all servers by id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gates: dict[str, ServerGate] = {}

    def get(self, server: str) -> ServerGate:
        """Return the gate of *server*."""
        gate = self._gates.get(server)
        if gate is None:
            gate = self._gates[server] = ServerGate(self._clock)
        return gate

    def keep_only(self, listed: frozenset[str]) -> None:
        """Drop gates of servers that are not in *listed* and have no requests."""
        unused = [
            name
            for name, gate in self._gates.items()
            if name not in listed and not gate.taken and not gate.waiting
        ]
        for name in unused:
            del self._gates[name]

    def totals(self) -> tuple[int, int]:
        """Return how many requests are at servers, and how many wait."""
        gates = self._gates.values()
        return sum(gate.taken for gate in gates), sum(gate.waiting for gate in gates)
