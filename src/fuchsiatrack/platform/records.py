"""Decoding what operators and backend servers write into the store."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from fuchsiatrack.control.keyedlog import KeyedRecord
from fuchsiatrack.directory.servers import ServerEntry, ServerLife
from fuchsiatrack.model.routes import (
    CallerLimits,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)
from fuchsiatrack.platform import words

CONFIGURATION_KEY = "config"
# What may be repeated: only requests of this type.
IDEMPOTENT_TYPE = "safe"
ROUTE_TYPES = frozenset(("safe", "unsafe", "upload"))
SERVER_STATES = frozenset(("ready", "draining"))


def decode_configuration(record: KeyedRecord) -> RouteTable | None:
    """Return the configuration in *record*, None for other keys; raise ValueError."""
    if record.key != CONFIGURATION_KEY:
        return None
    body = _load(record)
    services = {item.name: item for item in map(_service, words.field(body, "Services", list))}
    routes = tuple(
        _route(words.field(host, "Host", str), path, services)
        for host in words.field(body, "VirtualHosts", list)
        for path in words.field(host, "Paths", list)
    )
    # The version is a number in hexadecimal digits.
    version = int(words.field(body, "Version", str), 16)
    return RouteTable(version, routes, services, _limits(words.field(body, "Limits", dict)))


def decode_server(record: KeyedRecord) -> ServerEntry:
    """Return the server that *record* lists; raise ValueError for what names none."""
    body = _load(record)
    state = words.field(body, "Status.State", str)
    if state not in SERVER_STATES:
        raise ValueError(f"Status.State: unknown (got {state!r})")
    cold = words.duration(words.field(body, "Status.ColdRemaining", str), "Status.ColdRemaining")
    address = words.field(body, "Address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"Address: expected IP:PORT (got {address!r})")
    return ServerEntry(
        life=ServerLife(record.key, words.natural(body, "born")),
        service=words.field(body, "Info.Service", str),
        address=address,
        failure_domain=words.field(body, "Info.Zone", str),
        slots=words.natural(body, "Info.Slots", 1),
        leaving=state == "draining",
        cold=cold > 0,
    )


def _load(record: KeyedRecord) -> Mapping[str, Any]:
    try:
        body = json.loads(record.value or b"")
    except (ValueError, RecursionError) as error:
        raise ValueError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise ValueError(f"expected an object (got {type(body).__name__})")
    return body


def _service(item: Any) -> RoutedService:
    return RoutedService(
        name=words.field(item, "Name", str),
        keyed="Sharded" in item and words.field(item, "Sharded", bool),
        max_connections=words.natural(item, "MaxConnections", 1),
    )


def _route(host: str, item: Any, services: Mapping[str, RoutedService]) -> Route:
    kind = words.field(item, "RouteType", str)
    if kind not in ROUTE_TYPES:
        raise ValueError(f"RouteType: unknown (got {kind!r})")
    parts = _weighted_services(item)
    unknown = [part.service for part in parts if part.service not in services]
    if unknown:
        raise ValueError(f"Service: not among the services (got {unknown[0]!r})")
    prefix = words.field(item, "PathPrefix", str)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"PathPrefix: expected slashes around it (got {prefix!r})")
    return Route(
        name=words.field(item, "Name", str),
        host=host.lower(),
        prefix=prefix,
        idempotent=kind == IDEMPOTENT_TYPE,
        services=parts,
        timeout=words.duration(item.get("Timeout"), "Timeout"),
        objective=words.duration(item.get("TargetLatency"), "TargetLatency"),
        priority=words.natural(item, "Priority"),
        max_servers=words.natural(item, "MaxAttempts", 1),
    )


def _weighted_services(item: Any) -> tuple[WeightedService, ...]:
    if "TrafficSplit" not in item:
        return (WeightedService(words.field(item, "Service", str), 1.0),)
    parts = tuple(
        WeightedService(words.field(part, "Service", str), words.field(part, "Weight", float))
        for part in words.field(item, "TrafficSplit", list)
    )
    if any(part.weight < 0 for part in parts) or not sum(part.weight for part in parts):
        raise ValueError(f"TrafficSplit: weights must be positive (got {item['TrafficSplit']!r})")
    return parts


def _limits(item: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header=words.natural(item, "MaxHeaderBytes", 1),
        max_body=words.natural(item, "MaxBodyBytes", 1),
        header_timeout=words.duration(item.get("HeaderTimeout"), "HeaderTimeout"),
        idle_timeout=words.duration(item.get("IdleTimeout"), "IdleTimeout"),
    )
