"""Decoders of the records that operators and backend servers write to the log service."""

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
# Only requests of this type may run more than once.
IDEMPOTENT_ROUTE_TYPE = "safe"
ROUTE_TYPES = frozenset(("safe", "unsafe", "upload"))
SERVER_STATES = frozenset(("ready", "draining"))


def decode_configuration(record: CompactedRecord) -> RouteTable | None:
    """Return the configuration in *record*, or None if the record has another key.

    Raises ValueError if the configuration is invalid.
    """
    if record.key != CONFIGURATION_KEY:
        return None
    body = _parse_object(record)
    services = {
        item.name: item for item in map(_decode_service, fields.field(body, "Services", list))
    }
    routes = tuple(
        _decode_route(fields.field(virtual_host, "Host", str), item, services)
        for virtual_host in fields.field(body, "VirtualHosts", list)
        for item in fields.field(virtual_host, "Paths", list)
    )
    # Version is a hexadecimal number.
    version = int(fields.field(body, "Version", str), 16)
    return RouteTable(version, routes, services, _decode_limits(fields.field(body, "Limits", dict)))


def decode_server(record: CompactedRecord) -> ServerEntry:
    """Return the server that *record* lists.

    Raises ValueError if the record is not a valid entry.
    """
    body = _parse_object(record)
    state = fields.field(body, "Status.State", str)
    if state not in SERVER_STATES:
        raise ValueError(f"Status.State: unknown state (got {state!r})")
    warm_up_left = fields.duration(
        fields.field(body, "Status.ColdRemaining", str), "Status.ColdRemaining"
    )
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
        warming_up=warm_up_left > 0,
    )


def _parse_object(record: CompactedRecord) -> Mapping[str, Any]:
    try:
        body = json.loads(record.value or b"")
    except (ValueError, RecursionError) as error:
        raise ValueError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise ValueError(f"expected an object (got {type(body).__name__})")
    return body


def _decode_service(item: Any) -> RoutedService:
    return RoutedService(
        name=fields.field(item, "Name", str),
        keyed="Sharded" in item and fields.field(item, "Sharded", bool),
        max_connections=fields.natural(item, "MaxConnections", 1),
    )


def _decode_route(host: str, item: Any, services: Mapping[str, RoutedService]) -> Route:
    route_type = fields.field(item, "RouteType", str)
    if route_type not in ROUTE_TYPES:
        raise ValueError(f"RouteType: unknown type (got {route_type!r})")
    weighted_services = _decode_weighted_services(item)
    unknown = [part.service for part in weighted_services if part.service not in services]
    if unknown:
        raise ValueError(f"Service: not listed in Services (got {unknown[0]!r})")
    prefix = fields.field(item, "PathPrefix", str)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"PathPrefix: expected a leading and a trailing slash (got {prefix!r})")
    return Route(
        name=fields.field(item, "Name", str),
        host=host.lower(),
        prefix=prefix,
        idempotent=route_type == IDEMPOTENT_ROUTE_TYPE,
        services=weighted_services,
        timeout=fields.duration(item.get("Timeout"), "Timeout"),
        objective=fields.duration(item.get("TargetLatency"), "TargetLatency"),
        priority=fields.natural(item, "Priority"),
        max_servers=fields.natural(item, "MaxAttempts", 1),
    )


def _decode_weighted_services(item: Any) -> tuple[WeightedService, ...]:
    if "TrafficSplit" not in item:
        return (WeightedService(fields.field(item, "Service", str), 1.0),)
    parts = tuple(
        WeightedService(fields.field(part, "Service", str), fields.field(part, "Weight", float))
        for part in fields.field(item, "TrafficSplit", list)
    )
    if any(part.weight < 0 for part in parts) or not sum(part.weight for part in parts):
        raise ValueError(
            "TrafficSplit: expected no negative weight and a positive sum"
            f" (got {item['TrafficSplit']!r})"
        )
    return parts


def _decode_limits(item: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header=fields.natural(item, "MaxHeaderBytes", 1),
        max_body=fields.natural(item, "MaxBodyBytes", 1),
        header_timeout=fields.duration(item.get("HeaderTimeout"), "HeaderTimeout"),
        idle_timeout=fields.duration(item.get("IdleTimeout"), "IdleTimeout"),
    )
