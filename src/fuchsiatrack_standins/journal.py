"""Journals of callers and backend servers: JSON lines whose times compare across processes."""

from __future__ import annotations

import json
import pathlib
import time
from collections.abc import Iterator
from typing import Any


def monotonic_ms() -> float:
    """Return the time of the machine's monotonic clock in milliseconds."""
    return time.monotonic() * 1000


class Journal:
    """Event log in a file, flushed after each line; without a path, events are discarded."""

    def __init__(self, path: str, **fields: Any) -> None:
        self._file = open(path, "a", buffering=1) if path else None
        self._common_fields = fields

    def write(self, event: str, **fields: Any) -> None:
        """Append one event with *fields* and the fields common to this journal."""
        if self._file:
            entry = {"at": monotonic_ms(), "event": event, **self._common_fields, **fields}
            self._file.write(json.dumps(entry) + "\n")


def read(path: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Yield the events of a journal, skipping lines that a killed process left incomplete."""
    if not path.exists():
        return
    for line in path.read_text().splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            continue
