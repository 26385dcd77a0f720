"""Exactly-once appends to one stream, even if responses of the log are lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fuchsiatrack.control.appendlog import AppendLog
from fuchsiatrack.control.records import Record, RecordId, encode
from fuchsiatrack.control.replica import AppliedRecord, StateReplica
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import AppendRefused, PlatformUnavailable

RESEND_PAUSE_MS = 200
READ_BACK_WAIT_MS = 1_500


class StreamWriter:
    """Appends records one at a time and returns them as replayed.

    An append is retried with the same id if its response is lost; replay drops the duplicate.
    """

    def __init__(
        self, log_service: AppendLog, replica: StateReplica, incarnation: str, clock: Clock
    ) -> None:
        self._log = log_service
        self._replica = replica
        self._incarnation = incarnation
        self._clock = clock
        self._sequence = 0
        self._lock = asyncio.Lock()
        self.appends = 0

    async def append(self, build: Callable[[RecordId], Record], timeout: int) -> AppliedRecord:
        """Append the record that *build* returns, and wait until it has been read back.

        *timeout* is in milliseconds.  Raise PlatformUnavailable if the record is not read back in
        time; it may still take effect.
        """
        deadline = self._clock.now() + timeout
        async with self._lock:
            self._sequence += 1
            record_id = RecordId(self._incarnation, self._sequence)
            data = encode(build(record_id))
            self._replica.watch(record_id)
            try:
                return await self._append_until_read_back(record_id, data, deadline)
            finally:
                self._replica.forget(record_id)

    async def _append_until_read_back(
        self, record_id: RecordId, data: bytes, deadline: int
    ) -> AppliedRecord:
        def is_read_back() -> bool:
            return self._replica.find(record_id) is not None

        while True:
            pause = await self._send(data)
            remaining = deadline - self._clock.now()
            await self._replica.wait_for(is_read_back, min(pause, remaining))
            applied = self._replica.find(record_id)
            if applied is not None:
                return applied
            if deadline - self._clock.now() <= 0:
                raise PlatformUnavailable(f"{self._replica.stream}: append was not read back")

    async def _send(self, data: bytes) -> int:
        """Send the append once; return how long to wait before a retry, in milliseconds."""
        self.appends += 1
        try:
            await self._log.append(self._replica.stream, data)
        except (AppendRefused, PlatformUnavailable):
            return RESEND_PAUSE_MS
        return READ_BACK_WAIT_MS
