"""Reading values out of the platform's decoded messages, with errors that name the field."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, TypeVar

T = TypeVar("T")

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
_UNITS = {"ms": 1, "s": 1_000}


def duration(value: Any, field: str) -> int:
    """Return a time such as ``1500ms`` or ``2.5s`` in milliseconds; raise ValueError."""
    found = _DURATION.match(value) if isinstance(value, str) else None
    if found is None:
        raise ValueError(f"{field}: expected a time such as 1500ms or 2.5s (got {value!r})")
    return round(float(found[1]) * _UNITS[found[2]])


def field(table: Any, path: str, kind: type[T]) -> T:
    """Return the value at the dotted *path* of *table*; raise ValueError unless it is a *kind*."""
    value = table
    for name in path.split("."):
        if not isinstance(value, Mapping) or name not in value:
            raise ValueError(f"{path}: missing")
        value = value[name]
    accepted = (int, float) if kind is float else kind
    if not isinstance(value, accepted) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"{path}: expected {kind.__name__} (got {value!r})")
    return value


def natural(table: Any, path: str, least: int = 0) -> int:
    """Return the whole number at *path*; raise ValueError when it is below *least*."""
    value = field(table, path, int)
    if value < least:
        raise ValueError(f"{path}: expected at least {least} (got {value!r})")
    return value
