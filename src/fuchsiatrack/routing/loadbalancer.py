"""The servers of a service that is not keyed: who can take the next request."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable

from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.objects import BackendServer
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.plugins.balancing import BalancingPolicy, ServerView
from fuchsiatrack.routing.connectionpool import Target
from fuchsiatrack.routing.errors import ErrorReason, RequestError

EJECT_AFTER_FAILURES = 3
EJECT_FIRST = 1_000
EJECT_MAX = 15_000
# Share of the servers that always stay in use, however they fail.
KEPT_SHARE = 0.5
RAMP = 5_000
RAMP_START = 0.1


@dataclasses.dataclass
class _Health:
    """Failures of one server in a row, and until when it is ejected; in milliseconds."""

    first_seen: int
    failures: int = 0
    ejections: int = 0
    ejected_until: int = -1
    ramp_from: int = -1


class LoadBalancer:
    """Chooses servers of one service, and leaves out those that fail or leave."""

    def __init__(
        self,
        service: str,
        objects: Callable[[], ObjectSet],
        is_leaving: Callable[[str], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._objects = objects
        self._is_leaving = is_leaving
        self._clock = clock
        self._rng = rng
        self._views: dict[str, ServerView] = {}
        self._health: dict[str, _Health] = {}
        self._policies: dict[str, BalancingPolicy] = {}
        self._started = clock.now()

    def choose(self, avoid: frozenset[str] = frozenset()) -> Target:
        """Return the server for the next send, not one of *avoid* if there is another.

        Raises RequestError when the service has no server.
        """
        objects, now = self._objects(), self._clock.now()
        servers = {
            server.name: server
            for server in objects.servers(self._service)
            if not self._is_leaving(server.vm_name)
        }
        if not servers:
            raise RequestError(ErrorReason.NO_SERVER, retry_after=1_000)
        usable = self._usable(servers, now)
        names = [name for name in usable if name not in avoid] or usable
        views = [self._view(servers[name], now) for name in names]
        policy = self._policy(objects.services[self._service].balancing)
        chosen = servers[policy.choose(views, now).name]
        return Target(chosen.name, chosen.address, chosen.connections)

    def request_started(self, target: Target) -> None:
        """Count a request that is being sent to *target*."""
        self._views[target.server].in_flight += 1

    def request_finished(self, target: Target, latency: int, failed: bool) -> None:
        """Take in how a request to *target* ended; *latency* in milliseconds."""
        view, health = self._views[target.server], self._health[target.server]
        view.in_flight -= 1
        view.observe(float(max(latency, 1)))
        health.failures = health.failures + 1 if failed else 0
        if not failed:
            health.ejections = 0
        if health.failures >= EJECT_AFTER_FAILURES:
            self._eject(health)

    def record_load(self, server: str, load: float) -> None:
        """Take in the load that *server* reported, in requests."""
        view = self._views.get(server)
        if view:
            view.hint, view.hint_at = load, self._clock.now()

    def _eject(self, health: _Health) -> None:
        now = self._clock.now()
        pause = min(EJECT_MAX, EJECT_FIRST * 2**health.ejections)
        health.failures = 0
        health.ejections += 1
        health.ejected_until = now + pause
        health.ramp_from = health.ejected_until

    def _usable(self, servers: dict[str, BackendServer], now: int) -> list[str]:
        """Return the servers in use: ejected ones too, when too few others are left."""
        for name in servers:
            if name not in self._health:
                ramp = now if now - self._started > RAMP else -RAMP
                self._health[name] = _Health(now, ramp_from=ramp)
        ordered = sorted(servers, key=lambda name: self._health[name].ejected_until)
        healthy = [name for name in ordered if self._health[name].ejected_until <= now]
        least = max(1, math.ceil(len(servers) * KEPT_SHARE))
        return healthy if len(healthy) >= least else ordered[:least]

    def _view(self, server: BackendServer, now: int) -> ServerView:
        view = self._views.setdefault(server.name, ServerView(server.name))
        ramped = min(1.0, max(RAMP_START, (now - self._health[server.name].ramp_from) / RAMP))
        view.capacity = server.slots * ramped
        return view

    def _policy(self, name: str) -> BalancingPolicy:
        if name not in self._policies:
            self._policies[name] = registry.find("balancing", name)(self._rng)
        return self._policies[name]
