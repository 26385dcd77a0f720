"""Journals of callers and backend servers: JSON lines with times that compare across processes."""

from __future__ import annotations

import json
import pathlib
import time
from collections.abc import Iterator
from typing import Any


def now() -> float:
    """Return milliseconds of the machine's monotonic clock."""
    return time.monotonic() * 1000


class Journal:
    """Appends events to a file, one line each, at once."""

    def __init__(self, path: str, **fields: Any) -> None:
        self._file = open(path, "a", buffering=1) if path else None
        self._fields = fields

    def write(self, event: str, **fields: Any) -> None:
        """Append one event, with the fields that all events of this journal have."""
        if self._file:
            line = {"at": now(), "event": event, **self._fields, **fields}
            self._file.write(json.dumps(line) + "\n")


def read(path: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Yield the events in a journal; a line cut off by a killed process is left out."""
    if not path.exists():
        return
    for line in path.read_text().splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            continue
