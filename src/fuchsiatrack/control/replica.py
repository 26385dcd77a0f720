"""Replay of one stream of the log, with notification of applied records."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from typing import Generic, TypeVar

from reactivex.subject import Subject

from fuchsiatrack.control.appendlog import READ_TIMEOUT_MARGIN_MS, AppendLog, LogPage, LogRecord
from fuchsiatrack.control.records import Record, RecordId, Snapshot, decode
from fuchsiatrack.control.state import ReplicatedState
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable, RecordsExpired
from fuchsiatrack.kernel.fields import decoding

RETRY_PAUSE_MS = 100

log = logging.getLogger(__name__)
S = TypeVar("S", bound=ReplicatedState)


@dataclasses.dataclass(frozen=True)
class AppliedRecord:
    """A replayed record and its offset; `valid` is False if it is void, i.e. changes nothing."""

    offset: int
    record: Record
    valid: bool


class StateReplica(Generic[S]):
    """A state that is kept up to date by reading and replaying a stream.

    `applied` emits an `AppliedRecord` for each well-formed record that is replayed, void ones
    included, in order of offset; records that a loaded snapshot covers are not emitted.
    `state.applied` is the offset of the last record.  *wait* is the wait of a long poll.  Times are
    in milliseconds.
    """

    def __init__(
        self, log_service: AppendLog, stream: str, create: Callable[[], S], clock: Clock, wait: int
    ) -> None:
        self._log = log_service
        self._stream = stream
        self._create = create
        self._clock = clock
        self._poll_wait = wait
        self._next_offset = 1
        self._unapplied: list[LogRecord] | None = None
        self._changed = asyncio.Condition()
        self._watched: dict[RecordId, AppliedRecord | None] = {}
        self.state = create()
        self.applied: Subject = Subject()
        self.caught_up = asyncio.Event()
        self._failing_since = -1
        self._failed_at = -1
        self.read_at = -1
        self.snapshot_offset = 0
        self.snapshot_time = clock.now()

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    async def run(self) -> None:
        """Read and replay the stream until cancelled."""
        while True:
            try:
                await self._step()
            except PlatformUnavailable as error:
                self._record_failure()
                log.debug("log unavailable", extra={"why": str(error)})
                await self._clock.sleep(RETRY_PAUSE_MS)

    async def wait_for(self, predicate: Callable[[], bool], timeout: int) -> bool:
        """Wait up to *timeout* milliseconds for *predicate* to hold; return whether it does.

        The predicate is evaluated again after every page of records.
        """
        try:
            async with asyncio.timeout(max(timeout, 0) / 1000):
                async with self._changed:
                    await self._changed.wait_for(predicate)
        except TimeoutError:
            return predicate()
        return True

    def has_failed_for(self, duration: int) -> bool:
        """Return whether every read of the last *duration* milliseconds has failed.

        Time for which this process was paused does not count, since it read nothing then.
        """
        now = self._clock.now()
        is_recent = (
            now - self._failed_at <= self._poll_wait + READ_TIMEOUT_MARGIN_MS + RETRY_PAUSE_MS
        )
        return self._failing_since >= 0 and is_recent and now - self._failing_since >= duration

    def _record_failure(self) -> None:
        now = self._clock.now()
        is_new_outage = now - self._failed_at > 2 * (self._poll_wait + READ_TIMEOUT_MARGIN_MS)
        if self._failing_since < 0 or is_new_outage:
            self._failing_since = now
        self._failed_at = now

    def watch(self, record_id: RecordId) -> None:
        """Keep the first replayed record with *record_id* until `forget` is called."""
        self._watched.setdefault(record_id, None)

    def find(self, record_id: RecordId) -> AppliedRecord | None:
        """Return the watched record with *record_id*, or None if it has not been replayed."""
        return self._watched.get(record_id)

    def forget(self, record_id: RecordId) -> None:
        """Stop watching for *record_id*."""
        self._watched.pop(record_id, None)

    async def _step(self) -> None:
        wait = self._poll_wait if self.caught_up.is_set() else 0
        try:
            page = await self._log.read(self._stream, self._next_offset, wait)
        except RecordsExpired as error:
            self._restart(error.first)
            return
        self._apply_page(page)
        async with self._changed:
            self._changed.notify_all()

    def _restart(self, first: int) -> None:
        """Continue at *first*, searching for a snapshot that covers the expired records."""
        log.info("records expired", extra={"stream": self._stream, "first": first})
        self._next_offset = first
        self._unapplied = []

    def _apply_page(self, page: LogPage) -> None:
        for raw in page.records:
            self._next_offset = raw.offset + 1
            if self._unapplied is None:
                self._apply(raw)
            else:
                self._buffer_until_snapshot(raw)
        self.read_at = self._clock.now()
        self._failing_since = -1
        if self._next_offset >= page.end and self._unapplied is None:
            self.caught_up.set()

    def _buffer_until_snapshot(self, raw: LogRecord) -> None:
        assert self._unapplied is not None
        self._unapplied.append(raw)
        record = _decode(raw, self._stream)
        if not isinstance(record, Snapshot) or record.as_of < self._unapplied[0].offset - 1:
            return
        state = self._create()
        try:
            with decoding("a snapshot"):
                state.load(record.state, record.as_of)
        except ValueError as error:
            fields = {"stream": self._stream, "offset": raw.offset, "why": str(error)}
            log.error("malformed snapshot", extra=fields)
            return
        tail = [item for item in self._unapplied if item.offset > record.as_of]
        self._unapplied = None
        self.state = state
        for item in tail:
            self._apply(item)

    def _apply(self, raw: LogRecord) -> None:
        record = _decode(raw, self._stream)
        if record is None:
            self.state.applied = raw.offset
            return
        if isinstance(record, Snapshot):
            self.snapshot_offset = raw.offset
            self.snapshot_time = self._clock.now()
        applied = AppliedRecord(raw.offset, record, self.state.apply(raw.offset, record))
        if self._watched.get(record.id, applied) is None:
            self._watched[record.id] = applied
        self.applied.on_next(applied)


def _decode(raw: LogRecord, stream: str) -> Record | None:
    try:
        return decode(raw.data)
    except ValueError:
        log.error("malformed record", extra={"stream": stream, "offset": raw.offset})
        return None
