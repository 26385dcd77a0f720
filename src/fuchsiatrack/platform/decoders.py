"""Decoders of the records that operators and backend servers write to the log service."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterator, Mapping
from typing import Any

from fuchsiatrack.coldstart.terms import ColdStartTerms
from fuchsiatrack.control.compactedlog import CompactedRecord
from fuchsiatrack.directory.servers import ServerEntry, ServerIncarnation
from fuchsiatrack.kernel.fields import decode_object, decoding, describe, field, identifier, natural
from fuchsiatrack.model.routes import (
    CallerLimits,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)
from fuchsiatrack.platform.fields import duration, endpoint
from fuchsiatrack.platform.routecache import RouteCache

CONFIGURATION_KEY = "config"
# Followed by the name of a zone.
EVACUATION_PREFIX = "evacuate/"
# Only requests of this type may run more than once.
IDEMPOTENT_ROUTE_TYPE = "safe"
ROUTE_TYPES = frozenset(("safe", "unsafe", "upload"))
SERVER_STATES = frozenset(("ready", "draining"))
SLOTS_MAX = 100_000

_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")
# An id is sent in a header of each request.
_SERVER_ID = re.compile(r"[!-~]{1,200}")


def decode_configuration(
    record: CompactedRecord, cache: RouteCache | None = None
) -> RouteTable | None:
    """Return the configuration in *record*, or None if the record has another key.

    Routes that are in *cache* aren't decoded again, and it has the routes of *record* afterwards.
    A malformed service or route costs only the requests of these routes.  Raises ValueError if the
    version, the limits or the lists themselves are invalid.
    """
    if record.key != CONFIGURATION_KEY:
        return None
    with decoding("a configuration"):
        return _decode_configuration(decode_object(record.value or b""), cache or RouteCache())


def decode_configuration_version(record: CompactedRecord) -> int | None:
    """Return the version in *record*, or None if the record is no configuration.

    Raises ValueError if it has no valid version.
    """
    if record.key != CONFIGURATION_KEY or record.value is None:
        return None
    return _decode_version(decode_object(record.value))


def decode_evacuation(record: CompactedRecord) -> str | None:
    """Return the failure domain that *record* evacuates, or None if the record has another key.

    Its value tells nothing more.  Raises ValueError if the name is malformed.
    """
    if not record.key.startswith(EVACUATION_PREFIX):
        return None
    return identifier({"key": record.key.removeprefix(EVACUATION_PREFIX)}, "key")


def decode_server(record: CompactedRecord) -> ServerEntry:
    """Return the server that *record* lists.

    Raises ValueError if the record is not a valid entry.
    """
    with decoding("a server entry"):
        return _decode_server(record.key, decode_object(record.value or b""))


def _decode_configuration(body: Mapping[str, Any], cache: RouteCache) -> RouteTable:
    errors: list[str] = []
    services = {item.name: item for item in _decode_services(field(body, "Services", list), errors)}
    routes = tuple(_decode_routes(field(body, "VirtualHosts", list), services, errors, cache))
    limits = _decode_limits(field(body, "Limits", dict))
    return RouteTable(_decode_version(body), routes, services, limits, tuple(errors))


def _decode_version(body: Mapping[str, Any]) -> int:
    version = field(body, "Version", str)
    if not _VERSION.fullmatch(version):
        raise ValueError(f"Version: expected a hexadecimal number (got {describe(version)})")
    return int(version, 16)


def _decode_server(server: str, body: Mapping[str, Any]) -> ServerEntry:
    if not _SERVER_ID.fullmatch(server):
        raise ValueError(f"expected the id of a server as the key (got {describe(server)})")
    state = field(body, "Status.State", str)
    if state not in SERVER_STATES:
        raise ValueError(f"Status.State: unknown state (got {describe(state)})")
    cold_for = duration(field(body, "Status.ColdRemaining", str), "Status.ColdRemaining")
    return ServerEntry(
        incarnation=ServerIncarnation(server, natural(body, "born")),
        service=identifier(body, "Info.Service"),
        address=str(endpoint(body, "Address")),
        failure_domain=identifier(body, "Info.Zone"),
        slots=natural(body, "Info.Slots", 1, SLOTS_MAX),
        draining=state == "draining",
        warming_up=cold_for > 0,
        cold_for=cold_for,
    )


def _decode_services(items: list[Any], errors: list[str]) -> Iterator[RoutedService]:
    """Yield the valid services of *items*, and add the others' errors to *errors*."""
    for item in items:
        try:
            with decoding("a service"):
                yield _decode_service(item)
        except ValueError as error:
            errors.append(f"service: {error}")


def _decode_routes(
    virtual_hosts: list[Any],
    services: Mapping[str, RoutedService],
    errors: list[str],
    cache: RouteCache,
) -> Iterator[Route]:
    """Yield the routes, and add the errors of those that are malformed to *errors*.

    A route whose host or prefix can't be read is left out.
    """
    decoded = []
    for virtual_host in virtual_hosts:
        try:
            host, paths = field(virtual_host, "Host", str), field(virtual_host, "Paths", list)
        except ValueError as error:
            errors.append(f"host: {error}")
            continue
        for item in paths:
            try:
                with decoding("a route"):
                    route = cache.find(host, item) or _decode_route(host, item)
                    _check_services(route, services)
            except ValueError as error:
                errors.append(f"route: {error}")
                with contextlib.suppress(ValueError):
                    yield _unusable_route(host, item, str(error))
                continue
            decoded.append((host, item, route))
            yield route
    cache.replace(decoded)


def _decode_service(item: Any) -> RoutedService:
    return RoutedService(
        name=field(item, "Name", str),
        keyed="Sharded" in item and field(item, "Sharded", bool),
        max_connections=natural(item, "MaxConnections", 1),
        cold_start=_decode_cold_start(item),
    )


def _decode_cold_start(item: Any) -> ColdStartTerms | None:
    """Return what the service's servers tolerate while they are cold, None if it isn't limited."""
    if "ColdPerS" not in item or "ColdStart" not in item:
        return None
    time, rate = duration(item["ColdStart"], "ColdStart"), field(item, "ColdPerS", float)
    return ColdStartTerms(time, rate) if time and rate else None


def _check_services(route: Route, services: Mapping[str, RoutedService]) -> None:
    """Raise ValueError if a service of *route* isn't among the valid *services*."""
    unknown = [part.service for part in route.services if part.service not in services]
    if unknown:
        raise ValueError(f"Service: not listed in Services (got {describe(unknown[0])})")


def _decode_route(host: str, item: Any) -> Route:
    route_type = field(item, "RouteType", str)
    if route_type not in ROUTE_TYPES:
        raise ValueError(f"RouteType: unknown type (got {describe(route_type)})")
    prefix = _decode_prefix(item)
    return Route(
        name=field(item, "Name", str),
        host=host.lower(),
        prefix=prefix,
        idempotent=route_type == IDEMPOTENT_ROUTE_TYPE,
        services=_decode_weighted_services(item),
        timeout=duration(item.get("Timeout"), "Timeout"),
        objective=duration(item.get("TargetLatency"), "TargetLatency"),
        priority=natural(item, "Priority"),
        max_servers=natural(item, "MaxAttempts", 1),
    )


def _unusable_route(host: str, item: Any, error: str) -> Route:
    """Return a route that serves no request; raise ValueError if it has no prefix.

    A prefix without a leading or trailing slash gets one.
    """
    return Route(
        name="",
        host=host.lower(),
        prefix=f"/{field(item, 'PathPrefix', str).strip('/')}/".replace("//", "/"),
        idempotent=False,
        services=(),
        timeout=0,
        objective=0,
        priority=0,
        max_servers=1,
        error=error,
    )


def _decode_prefix(item: Any) -> str:
    prefix = field(item, "PathPrefix", str)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(
            f"PathPrefix: expected a leading and a trailing slash (got {describe(prefix)})"
        )
    return prefix


def _decode_weighted_services(item: Any) -> tuple[WeightedService, ...]:
    if "TrafficSplit" not in item:
        return (WeightedService(field(item, "Service", str), 1.0),)
    parts = tuple(
        WeightedService(field(part, "Service", str), field(part, "Weight", float))
        for part in field(item, "TrafficSplit", list)
    )
    if any(part.weight < 0 for part in parts) or not sum(part.weight for part in parts):
        raise ValueError(
            "TrafficSplit: expected no negative weight and a positive sum"
            f" (got {describe(item['TrafficSplit'])})"
        )
    return parts


def _decode_limits(item: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header=natural(item, "MaxHeaderBytes", 1),
        max_body=natural(item, "MaxBodyBytes", 1),
        header_timeout=duration(item.get("HeaderTimeout"), "HeaderTimeout"),
        idle_timeout=duration(item.get("IdleTimeout"), "IdleTimeout"),
    )
