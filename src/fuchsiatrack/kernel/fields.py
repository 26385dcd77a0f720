"""Readers of records and messages, whose errors name the field and the value.

Whatever another writer has written, they raise nothing but ValueError.
"""

from __future__ import annotations

import contextlib
import json
import reprlib
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

T = TypeVar("T")

NAME_MAX_CHARACTERS = 200
# Integers in JSON that every reader represents exactly.
INTEGER_MAX = 2**53
DESCRIPTION_MAX_CHARACTERS = 100

_REPR = reprlib.Repr()
_REPR.maxstring = _REPR.maxother = DESCRIPTION_MAX_CHARACTERS

# What reading a value of another type than expected raises.
_READ_ERRORS = (ArithmeticError, AttributeError, LookupError, RecursionError, TypeError)


@contextlib.contextmanager
def decoding(kind: str) -> Iterator[None]:
    """Raise ValueError instead of the errors that a malformed message of *kind* causes."""
    try:
        yield
    except _READ_ERRORS as error:
        raise ValueError(f"not {kind}: {describe(str(error))}") from error


def describe(value: object) -> str:
    """Return a text of bounded length for *value*, which may be large or deeply nested."""
    return _REPR.repr(value)


def decode_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object encoded in *data*; raise ValueError if it encodes none."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ValueError(f"not JSON: {describe(str(error))}") from error
    if not isinstance(body, dict):
        raise ValueError(f"expected an object (got {type(body).__name__})")
    return body


def field(table: Any, path: str, expected: type[T]) -> T:
    """Return the value at the dotted *path* of *table*.

    Raises ValueError if it is missing or not of the type *expected*.  An integer is accepted as
    a float; a boolean is never accepted as a number.  Numbers are finite and at most `INTEGER_MAX`.
    """
    value = table
    for name in path.split("."):
        if not isinstance(value, Mapping) or name not in value:
            raise ValueError(f"{path}: missing")
        value = value[name]
    accepted = (int, float) if expected is float else expected
    if not isinstance(value, accepted) or (isinstance(value, bool) and expected is not bool):
        raise ValueError(f"{path}: expected {expected.__name__} (got {describe(value)})")
    if isinstance(value, int | float) and not -INTEGER_MAX <= value <= INTEGER_MAX:
        raise ValueError(f"{path}: out of range (got {describe(value)})")
    return value


def natural(table: Any, path: str, minimum: int = 0, maximum: int = INTEGER_MAX) -> int:
    """Return the integer at *path*; raise ValueError unless it is in the given range."""
    value = field(table, path, int)
    if not minimum <= value <= maximum:
        raise ValueError(f"{path}: expected {minimum} to {maximum} (got {describe(value)})")
    return value


def identifier(table: Any, path: str) -> str:
    """Return the text at *path*; raise ValueError unless it can be a name in logs and metrics."""
    value = field(table, path, str)
    if not 0 < len(value) <= NAME_MAX_CHARACTERS or not value.isprintable():
        raise ValueError(f"{path}: expected a name (got {describe(value)})")
    return value
