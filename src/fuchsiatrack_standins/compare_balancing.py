"""Compares balancing policies on the same seeded arrivals, in simulated time.

Eight daemons, each with a pool of its own, share the servers of one service.  Cases: all well,
one slow server, one frozen server, cold starts, and reported load that lies.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from absl import app
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.check import check_documents
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.routing.connectionpool import Target
from fuchsiatrack.routing.loadbalancer import LoadBalancer

DAEMONS, SERVERS, SLOTS = 8, 8, 4
WORK_MS, SECONDS, LOAD = 8.0, 30, 0.7
TIMEOUT_MS = 1_000
HINT_PERIOD, HINT_LAG = 1_000, 1_000
SLOW_FACTOR, COLD_FACTOR = 5.0, 4.0


class SimulatedClock(Clock):
    """A clock that the simulation sets, in milliseconds."""

    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> int:
        return int(self.at)


@dataclasses.dataclass
class Server:
    """A server with slots and a queue; `factor` is its slowness at a moment."""

    factor: Callable[[float], float]
    free_at: list[float] = dataclasses.field(default_factory=lambda: [0.0] * SLOTS)
    ends: list[float] = dataclasses.field(default_factory=list)

    def serve(self, at: float, rng: random.Random) -> float:
        """Take a request at moment *at* and return when it ends."""
        start = max(at, heapq.heappop(self.free_at))
        end = start + rng.expovariate(1 / WORK_MS) * self.factor(start)
        heapq.heappush(self.free_at, end)
        heapq.heappush(self.ends, end)
        return end

    def load(self, at: float) -> int:
        """Return the requests that are queued or running."""
        while self.ends and self.ends[0] <= at:
            heapq.heappop(self.ends)
        return len(self.ends)


def _well(at: float) -> float:
    return 1.0


def _frozen(at: float) -> float:
    return 1_000.0 if 5_000 <= at < 15_000 else 1.0


def _cold(at: float) -> float:
    return COLD_FACTOR if at < 10_000 else 1.0


CASES: dict[str, list[Callable[[float], float]]] = {
    "well": [_well] * SERVERS,
    "one slow": [lambda at: SLOW_FACTOR] + [_well] * (SERVERS - 1),
    "one frozen": [_frozen] + [_well] * (SERVERS - 1),
    "two cold": [_cold] * 2 + [_well] * (SERVERS - 2),
    "lying load": [lambda at: SLOW_FACTOR] + [_well] * (SERVERS - 1),
}


def _objects(policy: str) -> ObjectSet:
    documents = [
        {"kind": "FailureDomain", "name": "a"},
        {"kind": "Service", "name": "records", "balancing": policy},
    ]
    documents += [
        {
            "kind": "BackendServer",
            "name": f"records-{number}",
            "service": "records",
            "failure_domain": "a",
            "address": f"127.0.2.{number + 1}:7100",
            "slots": SLOTS,
        }
        for number in range(SERVERS)
    ]
    return check_documents(documents).objects


class Simulation:
    """One policy in one case."""

    def __init__(self, policy: str, case: str, seed: int) -> None:
        self._rng = random.Random(seed)
        self._clock = SimulatedClock()
        objects = _objects(policy)
        self._servers = {
            f"records-{number}": Server(factor) for number, factor in enumerate(CASES[case])
        }
        self._lies = case == "lying load"
        self._pools = [
            LoadBalancer("records", lambda: objects, lambda name: False, self._clock, self._rng)
            for _ in range(DAEMONS)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.histogram = HdrHistogram(10, 60_000_000, 3)
        self.failures = 0

    def run(self) -> None:
        """Run the whole simulation."""
        rate = LOAD * SERVERS * SLOTS / WORK_MS
        at = 0.0
        while at < SECONDS * 1_000:
            self._at(at, self._arrive)
            at += self._rng.expovariate(rate)
        for moment in range(0, SECONDS * 1_000, HINT_PERIOD):
            self._at(moment, self._report_load)
        while self._events:
            self._clock.at, _, happen = heapq.heappop(self._events)
            happen()

    def _at(self, moment: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._order), happen))

    def _arrive(self) -> None:
        load_balancer, at = self._rng.choice(self._pools), self._clock.at
        target = load_balancer.choose()
        load_balancer.request_started(target)
        end = self._servers[target.server].serve(at, self._rng)
        failed = end - at > TIMEOUT_MS
        done = min(end, at + TIMEOUT_MS)
        self._at(done, lambda: self._finish(load_balancer, target, done - at, failed))

    def _finish(
        self, load_balancer: LoadBalancer, target: Target, latency: float, failed: bool
    ) -> None:
        load_balancer.request_finished(target, int(latency), failed)
        self.failures += failed
        self.histogram.record_value(max(10, int(latency * 1_000)))

    def _report_load(self) -> None:
        at = self._clock.at
        loads = {name: server.load(at) for name, server in self._servers.items()}
        if self._lies:
            loads["records-0"] = 0
        self._at(at + HINT_LAG, lambda: self._take_hints(loads))

    def _take_hints(self, loads: dict[str, int]) -> None:
        for load_balancer in self._pools:
            for name, load in loads.items():
                load_balancer.record_load(name, load / DAEMONS)


def _main(argv: list[str]) -> int:
    registry.load_plugins()
    rows = []
    for case in CASES:
        for policy in registry.names("balancing"):
            runs = [Simulation(policy, case, seed) for seed in range(3)]
            for run in runs:
                run.run()
            merged = HdrHistogram(10, 60_000_000, 3)
            for run in runs:
                merged.add(run.histogram)
            values = [merged.get_value_at_percentile(p) / 1_000 for p in (50, 99, 99.9)]
            rows.append((case, policy, *values, sum(run.failures for run in runs)))
    print(tabulate(rows, headers=("case", "policy", "p50", "p99", "p99.9", "timeouts")))
    return 0


if __name__ == "__main__":
    app.run(_main)
