"""Readers of values in the platform's decoded messages; their errors name the field."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, TypeVar

T = TypeVar("T")

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
_UNITS_MS = {"ms": 1, "s": 1_000}


def duration(value: Any, path: str) -> int:
    """Return *value*, a time such as ``1500ms`` or ``2.5s``, in milliseconds.

    Raises ValueError, naming *path*, if *value* is anything else.
    """
    match = _DURATION.match(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{path}: expected a time such as 1500ms or 2.5s (got {value!r})")
    return round(float(match[1]) * _UNITS_MS[match[2]])


def field(table: Any, path: str, expected: type[T]) -> T:
    """Return the value at the dotted *path* of *table*.

    Raises ValueError if it is missing or not of the type *expected*.  An integer is accepted as
    a float; a boolean is never accepted as a number.
    """
    value = table
    for name in path.split("."):
        if not isinstance(value, Mapping) or name not in value:
            raise ValueError(f"{path}: missing")
        value = value[name]
    accepted = (int, float) if expected is float else expected
    if not isinstance(value, accepted) or (isinstance(value, bool) and expected is not bool):
        raise ValueError(f"{path}: expected {expected.__name__} (got {value!r})")
    return value


def natural(table: Any, path: str, minimum: int = 0) -> int:
    """Return the integer at *path*; raise ValueError if it is missing or below *minimum*."""
    value = field(table, path, int)
    if value < minimum:
        raise ValueError(f"{path}: expected at least {minimum} (got {value!r})")
    return value
