"""Readers of values in the platform's notation; their errors name the field."""

from __future__ import annotations

import ipaddress
import re
from typing import Any

from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.kernel.fields import describe, field

_DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,12})?)(ms|s)")
_UNITS_MS = {"ms": 1, "s": 1_000}
_PORT = re.compile(r"[0-9]{1,5}")
_PORT_MAX = 65_535


def duration(value: Any, path: str) -> int:
    """Return *value*, a time such as ``1500ms`` or ``2.5s``, in milliseconds.

    Raises ValueError, naming *path*, if *value* is anything else.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{path}: expected a time such as 1500ms or 2.5s (got {describe(value)})")
    return round(float(match[1]) * _UNITS_MS[match[2]])


def endpoint(table: Any, path: str) -> Endpoint:
    """Return the address of one machine at the dotted *path*, written as IP:PORT.

    Raises ValueError, naming *path*, if it isn't an IPv4 address with a port from 1 to 65535.
    """
    value = field(table, path, str)
    host, _, port = value.rpartition(":")
    if not _is_host(host) or not _PORT.fullmatch(port) or not 1 <= int(port) <= _PORT_MAX:
        raise ValueError(f"{path}: expected IP:PORT (got {describe(value)})")
    return Endpoint(host, int(port))


def _is_host(text: str) -> bool:
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not address.is_unspecified and not address.is_multicast
