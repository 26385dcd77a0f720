"""Routes, services and limits of one configuration version."""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """One service of a route with its share of the route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host below one path prefix; times in milliseconds.

    `idempotent` says whether a request may run more than once, `max_servers` to how many backend
    servers one request may be sent, `timeout` how long the caller is kept waiting, `objective`
    the latency that callers expect, and `priority` the rank, 0 being the highest.
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

    def choose_service(self, rng: random.Random) -> str:
        """Return one of the services, in proportion to the weights."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [item.weight for item in self.services]
        return rng.choices(self.services, weights)[0].service


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """A service that routes point to; its servers come from the directory.

    `keyed` services divide the keys among their servers.  `max_connections` is the limit of each
    server over all callers.
    """

    name: str
    keyed: bool
    max_connections: int


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send; sizes in bytes, times in milliseconds."""

    max_header: int
    max_body: int
    header_timeout: int
    idle_timeout: int


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """One version of the configuration; later versions have greater numbers."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, RoutedService]
    limits: CallerLimits

    @functools.cached_property
    def _by_host(self) -> dict[str, tuple[Route, ...]]:
        hosts: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda item: -len(item.prefix)):
            hosts.setdefault(route.host, []).append(route)
        return {host: tuple(routes) for host, routes in hosts.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of *host* with the longest prefix of *path*."""
        routes = self._by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)
