"""Decoding what operators and backend servers write into the store."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from fuchsiatrack.control.compactedlog import CompactedRecord
from fuchsiatrack.directory.servers import ServerEntry, ServerIncarnation
from fuchsiatrack.model.routes import (
    CallerLimits,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)
from fuchsiatrack.platform import fields

CONFIGURATION_KEY = "config"
# What may be repeated: only requests of this type.
IDEMPOTENT_TYPE = "safe"
ROUTE_TYPES = frozenset(("safe", "unsafe", "upload"))
SERVER_STATES = frozenset(("ready", "draining"))


def decode_configuration(record: CompactedRecord) -> RouteTable | None:
    """Return the configuration in *record*, None for other keys; raise ValueError."""
    if record.key != CONFIGURATION_KEY:
        return None
    body = _load(record)
    services = {item.name: item for item in map(_service, fields.field(body, "Services", list))}
    routes = tuple(
        _route(fields.field(host, "Host", str), path, services)
        for host in fields.field(body, "VirtualHosts", list)
        for path in fields.field(host, "Paths", list)
    )
    # The version is a number in hexadecimal digits.
    version = int(fields.field(body, "Version", str), 16)
    return RouteTable(version, routes, services, _limits(fields.field(body, "Limits", dict)))


def decode_server(record: CompactedRecord) -> ServerEntry:
    """Return the server that *record* lists; raise ValueError for what names none."""
    body = _load(record)
    state = fields.field(body, "Status.State", str)
    if state not in SERVER_STATES:
        raise ValueError(f"Status.State: unknown (got {state!r})")
    cold = fields.duration(fields.field(body, "Status.ColdRemaining", str), "Status.ColdRemaining")
    address = fields.field(body, "Address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"Address: expected IP:PORT (got {address!r})")
    return ServerEntry(
        incarnation=ServerIncarnation(record.key, fields.natural(body, "born")),
        service=fields.field(body, "Info.Service", str),
        address=address,
        failure_domain=fields.field(body, "Info.Zone", str),
        slots=fields.natural(body, "Info.Slots", 1),
        draining=state == "draining",
        warming_up=cold > 0,
    )


def _load(record: CompactedRecord) -> Mapping[str, Any]:
    try:
        body = json.loads(record.value or b"")
    except (ValueError, RecursionError) as error:
        raise ValueError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise ValueError(f"expected an object (got {type(body).__name__})")
    return body


def _service(item: Any) -> RoutedService:
    return RoutedService(
        name=fields.field(item, "Name", str),
        keyed="Sharded" in item and fields.field(item, "Sharded", bool),
        max_connections=fields.natural(item, "MaxConnections", 1),
    )


def _route(host: str, item: Any, services: Mapping[str, RoutedService]) -> Route:
    kind = fields.field(item, "RouteType", str)
    if kind not in ROUTE_TYPES:
        raise ValueError(f"RouteType: unknown (got {kind!r})")
    parts = _weighted_services(item)
    unknown = [part.service for part in parts if part.service not in services]
    if unknown:
        raise ValueError(f"Service: not among the services (got {unknown[0]!r})")
    prefix = fields.field(item, "PathPrefix", str)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"PathPrefix: expected slashes around it (got {prefix!r})")
    return Route(
        name=fields.field(item, "Name", str),
        host=host.lower(),
        prefix=prefix,
        idempotent=kind == IDEMPOTENT_TYPE,
        services=parts,
        timeout=fields.duration(item.get("Timeout"), "Timeout"),
        objective=fields.duration(item.get("TargetLatency"), "TargetLatency"),
        priority=fields.natural(item, "Priority"),
        max_servers=fields.natural(item, "MaxAttempts", 1),
    )


def _weighted_services(item: Any) -> tuple[WeightedService, ...]:
    if "TrafficSplit" not in item:
        return (WeightedService(fields.field(item, "Service", str), 1.0),)
    parts = tuple(
        WeightedService(fields.field(part, "Service", str), fields.field(part, "Weight", float))
        for part in fields.field(item, "TrafficSplit", list)
    )
    if any(part.weight < 0 for part in parts) or not sum(part.weight for part in parts):
        raise ValueError(f"TrafficSplit: weights must be positive (got {item['TrafficSplit']!r})")
    return parts


def _limits(item: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header=fields.natural(item, "MaxHeaderBytes", 1),
        max_body=fields.natural(item, "MaxBodyBytes", 1),
        header_timeout=fields.duration(item.get("HeaderTimeout"), "HeaderTimeout"),
        idle_timeout=fields.duration(item.get("IdleTimeout"), "IdleTimeout"),
    )
