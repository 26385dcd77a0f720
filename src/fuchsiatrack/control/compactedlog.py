"""Interface to a compacted log service, which keeps the newest record of each key.

`gateway` uses it; `fuchsiatrackd` uses `AppendLog`.
"""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterable

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import FuchsiatrackError, PlatformUnavailable, RecordsExpired

# Wait of a long poll while peers would report that records were missed.
POLL_WAIT_MS = 20_000
# Wait of a long poll otherwise: short enough that a poll which the service has lost, and which
# receives nothing, ends before the delay does harm.
ISOLATED_POLL_WAIT_MS = 2_200
# Pause after a failed read.
RETRY_PAUSE_MS = 400
# An open poll counts as lost if a peer's records have not arrived this long after the peer reported
# them.  This is the longest response time of a healthy log service.
LOST_POLL_TIMEOUT_MS = 250
# Snapshots and records read within this time of a failed read may lack live servers, which need
# about 2 s to register again after an outage.
OUTAGE_RECOVERY_MS = 2_500

log = logging.getLogger(__name__)


class ConditionFailed(FuchsiatrackError):
    """The stream does not end at the offset that a conditional append requires."""


class Fenced(FuchsiatrackError):
    """The writer's epoch has been superseded by a greater one."""


@dataclasses.dataclass(frozen=True)
class Stream:
    """One ordered sequence of records."""

    topic: str
    part: int = 0


@dataclasses.dataclass(frozen=True)
class CompactedRecord:
    """The value of a key as of an offset; None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True)
class CompactedPage:
    """Records, and the offset `next` at which the next read starts."""

    records: tuple[CompactedRecord, ...]
    next: int


@dataclasses.dataclass(frozen=True)
class Writer:
    """Identity of a writer; a greater `epoch` fences every smaller one of the same name."""

    name: str
    epoch: int
    sequence: int


class CompactedLog(abc.ABC):
    """Streams of keyed records with conditional and fenced appends.

    Every method raises PlatformUnavailable if the service does not respond in time.
    """

    @abc.abstractmethod
    async def newest(self, stream: Stream) -> CompactedPage:
        """Return the newest record of each key.

        `next` is the end of the stream when the listing began; records appended later may be among
        those returned.
        """

    @abc.abstractmethod
    async def read(self, stream: Stream, first: int, wait: int) -> CompactedPage:
        """Return records from offset *first* on, waiting up to *wait* milliseconds for one.

        Raise RecordsExpired if *first* is no longer retained.
        """

    @abc.abstractmethod
    async def append(
        self,
        stream: Stream,
        records: Iterable[tuple[str, bytes]],
        *,
        at: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        """Append *records* atomically and return the stream's new end.

        With *at*, append only if the stream ends at that offset.  With a *writer*, a retry of its
        latest sequence numbers appends nothing and returns the first result; two processes must
        never use the same epoch.  Without records, only the epoch is set.

        Raise ConditionFailed, Fenced or AppendRefused if nothing was appended, and
        PlatformUnavailable if the records may have been appended or may still be.
        """

    async def close(self) -> None:
        """Close all connections."""


class StreamConsumer:
    """Reads one stream continuously; a single task executes `run`.

    *on_snapshot* receives the newest record of each key, once at the start and again whenever
    records were missed; *on_record* receives each later record.  Both also receive whether the
    log service was unavailable shortly before.  After a page with records, the next read starts
    *pause* milliseconds later, so that records which are appended together take one call.
    """

    def __init__(
        self,
        log_service: CompactedLog,
        stream: Stream,
        clock: Clock,
        on_snapshot: Callable[[tuple[CompactedRecord, ...], bool], None],
        on_record: Callable[[CompactedRecord, bool], None],
        pause: int = 0,
    ) -> None:
        self._log = log_service
        self._stream = stream
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_record = on_record
        self._pause = pause
        self._failed_at: int | None = None
        self._is_failing = False
        self._outage_started_at = 0
        self._poll: asyncio.Task[CompactedPage] | None = None
        self._poll_wait = 0
        self._poll_started_at = 0
        self._poll_requested = asyncio.Event()
        self._has_peers = False
        self.next = 0
        self.read_at = -1
        self.caught_up = asyncio.Event()

    @property
    def is_failing(self) -> bool:
        """Whether the latest read failed."""
        return self._is_failing

    async def run(self) -> None:
        """Read until cancelled."""
        needs_snapshot = True
        while True:
            try:
                if needs_snapshot:
                    await self._read_snapshot()
                    needs_snapshot = False
                else:
                    await self._read()
            except RecordsExpired as error:
                fields = {"topic": self._stream.topic, "next": self.next, "why": str(error)}
                log.info("records expired", extra=fields)
                needs_snapshot = True
            except PlatformUnavailable as error:
                self._record_failure(error)
                await self._clock.sleep(RETRY_PAUSE_MS)

    async def _read_snapshot(self) -> None:
        page = await self._log.newest(self._stream)
        self._record_success()
        self._on_snapshot(page.records, self._after_outage())
        self.next = page.next
        self.caught_up.set()

    def observe_peer_offset(self, peer_offset: int) -> None:
        """Record that a peer has read up to *peer_offset*.

        An open poll that does not return as much within `LOST_POLL_TIMEOUT_MS` is replaced.
        During a pause nothing needs to be done, since the next read follows soon.
        """
        self._has_peers = True
        if peer_offset > self.next and self._poll is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(LOST_POLL_TIMEOUT_MS / 1_000, self._check_poll, self._poll, peer_offset)

    def _check_poll(self, poll: asyncio.Task[CompactedPage], peer_offset: int) -> None:
        if self._poll is poll and peer_offset > self.next:
            fields = {
                "topic": self._stream.topic,
                "behind": peer_offset - self.next,
                "poll_ms": self._clock.now() - self._poll_started_at,
            }
            log.info("replacing a poll that missed records", extra=fields)
            self.poll_now()

    def mark_isolated(self) -> None:
        """Record that no peer would report missed records."""
        if self._has_peers:
            self._has_peers = False
            self.poll_now()

    def poll_now(self) -> None:
        """Read now instead of waiting for the end of a long poll or a pause.

        A read without a wait is not interrupted, however slow the service is.
        """
        self._poll_requested.set()
        if self._poll is not None and self._poll_wait:
            self._poll.cancel()

    async def _read(self) -> None:
        page = await self._poll_once()
        if page is None:
            return
        self._record_success()
        for record in page.records:
            self._on_record(record, self._after_outage())
        self.next = page.next
        if page.records and self._pause:
            await self._wait_for_poll_now()

    async def _poll_once(self) -> CompactedPage | None:
        """Return the next page, or None if the poll was cancelled in favour of a new one."""
        # Poll a failing service without a wait, so that its recovery is detected at once.
        wait = POLL_WAIT_MS if self._has_peers else ISOLATED_POLL_WAIT_MS
        if self._is_failing or self._poll_requested.is_set():
            wait = 0
        self._poll_requested.clear()
        self._poll_wait = wait
        self._poll_started_at = self._clock.now()
        self._poll = asyncio.ensure_future(self._log.read(self._stream, self.next, wait))
        try:
            return await self._poll
        except asyncio.CancelledError:
            if self._poll_requested.is_set() and not _is_cancelled():
                return None
            self._poll.cancel()
            raise
        finally:
            self._poll = None

    async def _wait_for_poll_now(self) -> None:
        try:
            async with asyncio.timeout(self._pause / 1_000):
                await self._poll_requested.wait()
        except TimeoutError:
            return

    def _after_outage(self) -> bool:
        failed_at = self._failed_at
        return failed_at is not None and self._clock.now() - failed_at < OUTAGE_RECOVERY_MS

    def _record_failure(self, error: PlatformUnavailable) -> None:
        self._failed_at = self._clock.now()
        if not self._is_failing:
            self._is_failing = True
            self._outage_started_at = self._failed_at
            log.warning("log unavailable", extra={"topic": self._stream.topic, "why": str(error)})

    def _record_success(self) -> None:
        self.read_at = self._clock.now()
        if self._is_failing:
            self._is_failing = False
            fields = {
                "topic": self._stream.topic,
                "outage_ms": self.read_at - self._outage_started_at,
                "last_failure_ms": self.read_at - self._failed_at,
            }
            log.warning("log available again", extra=fields)


def _is_cancelled() -> bool:
    """Return whether the running task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
