"""Structured logs: one JSON object a line."""

from __future__ import annotations

import logging
import logging.handlers
import queue
import sys

from pythonjsonlogger.json import JsonFormatter

LEVELS = ("debug", "info", "warning", "error")
# Lines that wait for a slow reader of the output; more are dropped and counted.
QUEUE_MAX = 2_000

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class _BoundedQueueHandler(logging.handlers.QueueHandler):
    """Never waits: drops records while the queue is full, and says later how many."""

    def __init__(self, waiting: queue.Queue) -> None:
        super().__init__(waiting)
        self._dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            if self._dropped:
                self.queue.put_nowait(_count_dropped(self._dropped))
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


def configure(vm: str, level: str = "info", bounded: bool = False) -> None:
    """Send every log record of this process to its output as JSON lines.

    Each line carries the name *vm*; fields that a caller passes in `extra` become members.
    Lines go to standard error, or when *bounded* to standard output from a thread of their own,
    so that no caller ever waits for the output.
    """
    stream = sys.stdout if bounded else sys.stderr
    handler: logging.Handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields={"vm": vm}))
    if bounded:
        handler = _detach(handler)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def _detach(handler: logging.Handler) -> logging.Handler:
    """Return a handler that passes records to *handler* in another thread."""
    waiting: queue.Queue = queue.Queue(QUEUE_MAX)
    listener = logging.handlers.QueueListener(waiting, handler)
    listener.start()
    return _BoundedQueueHandler(waiting)


def _count_dropped(dropped: int) -> logging.LogRecord:
    message = "log lines dropped"
    record = logging.LogRecord(__name__, logging.WARNING, __file__, 0, message, (), None)
    record.dropped = dropped
    return record
