"""Structured logs with one JSON object per line."""

from __future__ import annotations

import atexit
import contextlib
import logging
import logging.handlers
import queue
import sys

from pythonjsonlogger.json import JsonFormatter

LEVELS = ("debug", "info", "warning", "error")
# Records beyond this are dropped and counted while the reader of the output is slow.
MAX_QUEUED_RECORDS = 2_000
# Longest wait at the end of the process until the queued records are written.
FLUSH_TIMEOUT_MS = 100

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class _BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queue handler that never blocks.

    It drops records while the queue is full, and logs their number once there is room again.
    """

    def __init__(self, records: queue.Queue) -> None:
        super().__init__(records)
        self._dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            if self._dropped:
                self.queue.put_nowait(_make_drop_record(self._dropped))
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1


class _FlushingListener(logging.handlers.QueueListener):
    """Queue listener whose records are written before the process ends."""

    def flush(self) -> None:
        """Wait until the queue is written, at most `FLUSH_TIMEOUT_MS`."""
        timeout_s = FLUSH_TIMEOUT_MS / 1_000
        with contextlib.suppress(queue.Full):
            self.queue.put(self._sentinel, timeout=timeout_s)
            self._thread.join(timeout_s)


def configure(vm: str, level: str = "info", bounded: bool = False) -> None:
    """Write every log record of this process as one line of JSON.

    Each line has the member `vm`; fields passed in `extra` become members.  Lines go to standard
    error or, if *bounded*, to standard output from a separate thread, so that logging never waits
    for the output.  Beyond `MAX_QUEUED_RECORDS`, records are then dropped and counted.  What is
    queued when the process ends is written, for a bounded time.
    """
    stream = sys.stdout if bounded else sys.stderr
    handler: logging.Handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(_FORMAT, static_fields={"vm": vm}))
    if bounded:
        handler = _run_in_thread(handler)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def _run_in_thread(handler: logging.Handler) -> logging.Handler:
    """Return a handler that passes records to *handler* in a separate thread."""
    records: queue.Queue = queue.Queue(MAX_QUEUED_RECORDS)
    listener = _FlushingListener(records, handler)
    listener.start()
    atexit.register(listener.flush)
    return _BoundedQueueHandler(records)


def _make_drop_record(count: int) -> logging.LogRecord:
    message = "log lines dropped"
    record = logging.LogRecord(__name__, logging.WARNING, __file__, 0, message, (), None)
    record.dropped = count
    return record
