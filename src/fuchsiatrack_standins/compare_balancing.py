"""Comparison of balancing policies on the same seeded arrivals, in simulated time.

Eight daemons, each with its own load balancer, share the servers of one service.  Cases: all
servers healthy, one slow, one frozen, two after a cold start, and one slow that always reports a
load of 0.
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

DAEMON_COUNT, SERVER_COUNT, SLOTS_PER_SERVER = 8, 8, 4
WORK_MS, DURATION_S, LOAD_RATIO = 8.0, 30, 0.7
TIMEOUT_MS = 1_000
LOAD_REPORT_PERIOD_MS, LOAD_REPORT_LAG_MS = 1_000, 1_000
SLOW_FACTOR, COLD_FACTOR = 5.0, 4.0


class SimulatedClock(Clock):
    """Clock set by the simulation, in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def now(self) -> int:
        return int(self.now_ms)


@dataclasses.dataclass
class Server:
    """Server with slots and a queue; `factor` maps a time to the slowdown of requests."""

    factor: Callable[[float], float]
    slots_free_at_ms: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * SLOTS_PER_SERVER
    )
    end_times_ms: list[float] = dataclasses.field(default_factory=list)

    def serve(self, now_ms: float, rng: random.Random) -> float:
        """Queue a request at *now_ms* and return when it ends."""
        start_ms = max(now_ms, heapq.heappop(self.slots_free_at_ms))
        end_ms = start_ms + rng.expovariate(1 / WORK_MS) * self.factor(start_ms)
        heapq.heappush(self.slots_free_at_ms, end_ms)
        heapq.heappush(self.end_times_ms, end_ms)
        return end_ms

    def load(self, now_ms: float) -> int:
        """Return the number of requests that are queued or running."""
        while self.end_times_ms and self.end_times_ms[0] <= now_ms:
            heapq.heappop(self.end_times_ms)
        return len(self.end_times_ms)


def _healthy(now_ms: float) -> float:
    return 1.0


def _frozen(now_ms: float) -> float:
    return 1_000.0 if 5_000 <= now_ms < 15_000 else 1.0


def _cold(now_ms: float) -> float:
    return COLD_FACTOR if now_ms < 10_000 else 1.0


CASES: dict[str, list[Callable[[float], float]]] = {
    "well": [_healthy] * SERVER_COUNT,
    "one slow": [lambda now_ms: SLOW_FACTOR] + [_healthy] * (SERVER_COUNT - 1),
    "one frozen": [_frozen] + [_healthy] * (SERVER_COUNT - 1),
    "two cold": [_cold] * 2 + [_healthy] * (SERVER_COUNT - 2),
    "lying load": [lambda now_ms: SLOW_FACTOR] + [_healthy] * (SERVER_COUNT - 1),
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
            "slots": SLOTS_PER_SERVER,
        }
        for number in range(SERVER_COUNT)
    ]
    return check_documents(documents).objects


class Simulation:
    """Simulation of one policy in one case; `histogram` is in microseconds."""

    def __init__(self, policy: str, case: str, seed: int) -> None:
        self._rng = random.Random(seed)
        self._clock = SimulatedClock()
        objects = _objects(policy)
        self._servers = {
            f"records-{number}": Server(factor) for number, factor in enumerate(CASES[case])
        }
        self._underreports_load = case == "lying load"
        self._load_balancers = [
            LoadBalancer("records", lambda: objects, lambda name: False, self._clock, self._rng)
            for _ in range(DAEMON_COUNT)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.histogram = HdrHistogram(10, 60_000_000, 3)
        self.failures = 0

    def run(self) -> None:
        """Run until all requests have ended."""
        rate_per_ms = LOAD_RATIO * SERVER_COUNT * SLOTS_PER_SERVER / WORK_MS
        now_ms = 0.0
        while now_ms < DURATION_S * 1_000:
            self._schedule(now_ms, self._start_request)
            now_ms += self._rng.expovariate(rate_per_ms)
        for at_ms in range(0, DURATION_S * 1_000, LOAD_REPORT_PERIOD_MS):
            self._schedule(at_ms, self._report_load)
        while self._events:
            self._clock.now_ms, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), action))

    def _start_request(self) -> None:
        load_balancer, now_ms = self._rng.choice(self._load_balancers), self._clock.now_ms
        target = load_balancer.select()
        load_balancer.request_started(target)
        end_ms = self._servers[target.server].serve(now_ms, self._rng)
        failed = end_ms - now_ms > TIMEOUT_MS
        finished_ms = min(end_ms, now_ms + TIMEOUT_MS)
        self._schedule(
            finished_ms,
            lambda: self._finish_request(load_balancer, target, finished_ms - now_ms, failed),
        )

    def _finish_request(
        self, load_balancer: LoadBalancer, target: Target, latency_ms: float, failed: bool
    ) -> None:
        load_balancer.request_finished(target, int(latency_ms), failed)
        self.failures += failed
        self.histogram.record_value(max(10, int(latency_ms * 1_000)))

    def _report_load(self) -> None:
        now_ms = self._clock.now_ms
        loads = {name: server.load(now_ms) for name, server in self._servers.items()}
        if self._underreports_load:
            loads["records-0"] = 0
        self._schedule(now_ms + LOAD_REPORT_LAG_MS, lambda: self._apply_load_report(loads))

    def _apply_load_report(self, loads: dict[str, int]) -> None:
        for load_balancer in self._load_balancers:
            for name, load in loads.items():
                load_balancer.record_load(name, load / DAEMON_COUNT)


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
