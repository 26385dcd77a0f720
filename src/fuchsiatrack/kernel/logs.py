"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(vm: str, level: str = "info") -> None:
    """Send every log record of this process to standard error as JSON lines.

    Each line carries the name *vm*; fields that a caller passes in `extra` become members.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields={"vm": vm}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
