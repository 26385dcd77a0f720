"""Selection among the servers of a service that is not keyed."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable

from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.objects import BackendServer
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.plugins.balancing import BalancingPolicy, Candidate
from fuchsiatrack.routing.connectionpool import Target
from fuchsiatrack.routing.errors import ErrorReason, RequestError

EJECT_AFTER_FAILURES = 3
EJECTION_FIRST_MS = 1_000
EJECTION_MAX_MS = 15_000
# At least this share of the servers stays in use, even if all of them fail.
MIN_USABLE_SHARE = 0.5
# A server that is added later or comes back from an ejection reaches its full capacity in this
# time, starting at WARM_UP_START_RATIO of it.
WARM_UP_MS = 5_000
WARM_UP_START_RATIO = 0.1


@dataclasses.dataclass
class _ServerHealth:
    """Consecutive failures and ejections of one server; times are in milliseconds."""

    first_seen: int
    failures: int = 0
    ejections: int = 0
    ejected_until: int = -1
    warm_up_started_at: int = -1


class LoadBalancer:
    """Selects servers of one service, and excludes those that fail or drain.

    *is_draining* returns whether the VM of a given name is draining.
    """

    def __init__(
        self,
        service: str,
        objects: Callable[[], ObjectSet],
        is_draining: Callable[[str], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._objects = objects
        self._is_draining = is_draining
        self._clock = clock
        self._rng = rng
        self._candidates: dict[str, Candidate] = {}
        self._health: dict[str, _ServerHealth] = {}
        self._policies: dict[str, BalancingPolicy] = {}
        self._started = clock.now()

    def select(self, avoid: frozenset[str] = frozenset()) -> Target:
        """Return the server for the next send, not one of *avoid* if there is another.

        Raises RequestError if the service has no server.
        """
        objects, now = self._objects(), self._clock.now()
        servers = {
            server.name: server
            for server in objects.servers(self._service)
            if not self._is_draining(server.vm_name)
        }
        if not servers:
            raise RequestError(ErrorReason.NO_SERVER, retry_after_ms=1_000)
        usable = self._usable_servers(servers, now)
        names = [name for name in usable if name not in avoid] or usable
        candidates = [self._candidate(servers[name], now) for name in names]
        policy = self._policy(objects.services[self._service].balancing)
        selected = servers[policy.select(candidates, now).name]
        return Target(selected.name, selected.address, selected.connections)

    def request_started(self, target: Target) -> None:
        """Count a send to *target* that is about to begin."""
        self._candidates[target.server].in_flight += 1

    def request_finished(self, target: Target, latency: int, failed: bool) -> None:
        """Record the result of a send to *target*; *latency* is in milliseconds."""
        candidate, health = self._candidates[target.server], self._health[target.server]
        candidate.in_flight -= 1
        candidate.record_latency(float(max(latency, 1)))
        health.failures = health.failures + 1 if failed else 0
        if not failed:
            health.ejections = 0
        if health.failures >= EJECT_AFTER_FAILURES:
            self._eject(health)

    def record_load(self, server: str, load: float) -> None:
        """Record the load that *server* reported, in requests.

        Only `fuchsiatrack_standins.compare_balancing` calls this.  In `fuchsiatrackd` the reported
        load stays 0, so that two-choices-hint selects like two-choices-latency.
        """
        candidate = self._candidates.get(server)
        if candidate:
            candidate.reported_load, candidate.reported_at = load, self._clock.now()

    def _eject(self, health: _ServerHealth) -> None:
        now = self._clock.now()
        ejection_ms = min(EJECTION_MAX_MS, EJECTION_FIRST_MS * 2**health.ejections)
        health.failures = 0
        health.ejections += 1
        health.ejected_until = now + ejection_ms
        health.warm_up_started_at = health.ejected_until

    def _usable_servers(self, servers: dict[str, BackendServer], now: int) -> list[str]:
        """Return the servers that are not ejected, or the minimum share if they are fewer.

        Ejected servers are added in the order in which their ejections end.
        """
        for name in servers:
            if name not in self._health:
                # Servers found while the balancer itself is new start at full capacity.
                warm_up_started_at = now if now - self._started > WARM_UP_MS else -WARM_UP_MS
                self._health[name] = _ServerHealth(now, warm_up_started_at=warm_up_started_at)
        by_ejection_end = sorted(servers, key=lambda name: self._health[name].ejected_until)
        healthy = [name for name in by_ejection_end if self._health[name].ejected_until <= now]
        min_usable = max(1, math.ceil(len(servers) * MIN_USABLE_SHARE))
        return healthy if len(healthy) >= min_usable else by_ejection_end[:min_usable]

    def _candidate(self, server: BackendServer, now: int) -> Candidate:
        candidate = self._candidates.setdefault(server.name, Candidate(server.name))
        warm_up_ratio = min(
            1.0,
            max(
                WARM_UP_START_RATIO,
                (now - self._health[server.name].warm_up_started_at) / WARM_UP_MS,
            ),
        )
        candidate.capacity = server.slots * warm_up_ratio
        return candidate

    def _policy(self, name: str) -> BalancingPolicy:
        if name not in self._policies:
            self._policies[name] = registry.find("balancing", name)(self._rng)
        return self._policies[name]
