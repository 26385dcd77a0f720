"""Routes, services and limits of one configuration version of `gateway`.

The configuration of `fuchsiatrackd` is an `ObjectSet`.
"""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Mapping

from fuchsiatrack.coldstart.terms import ColdStartTerms


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service of a route, and its weight in the distribution of the route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Settings for requests to one host below one path prefix; times in milliseconds.

    `idempotent` states whether a request may run more than once.  `max_servers` is the number of
    backend servers to which one request may be sent, `timeout` the longest time a caller waits,
    `objective` the latency that callers expect, and `priority` the rank, 0 being the highest.
    A route with an `error` can't serve requests, and still hides routes with shorter prefixes.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    services: tuple[WeightedService, ...]
    timeout: int
    objective: int
    priority: int
    max_servers: int
    error: str = ""

    def choose_service(self, rng: random.Random) -> str:
        """Return the name of a service drawn at random in proportion to the weights."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [item.weight for item in self.services]
        return rng.choices(self.services, weights)[0].service


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """A service that routes refer to; its servers come from the server directory.

    The servers of a `keyed` service divide the keys among themselves.  `max_connections` is the
    limit of each server, over all callers together.  `cold_start` is what cold servers tolerate,
    None if they are not to be spared.
    """

    name: str
    keyed: bool
    max_connections: int
    cold_start: ColdStartTerms | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests of callers; sizes in bytes, times in milliseconds."""

    max_header: int
    max_body: int
    header_timeout: int
    idle_timeout: int


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """One version of the configuration; later versions have greater numbers.

    `errors` tells which of its routes and services are malformed.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, RoutedService]
    limits: CallerLimits
    errors: tuple[str, ...] = ()

    @functools.cached_property
    def _by_host(self) -> dict[str, tuple[Route, ...]]:
        hosts: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda item: -len(item.prefix)):
            hosts.setdefault(route.host, []).append(route)
        return {host: tuple(routes) for host, routes in hosts.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of *host* whose prefix is the longest that matches *path*, if any."""
        routes = self._by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)
