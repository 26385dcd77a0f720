"""Interface to a compacted log service, which keeps the newest record of each key.

`gateway` uses it; `fuchsiatrackd` uses `AppendLog`.
"""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import functools
import logging
import random
from collections.abc import Awaitable, Callable, Iterable

from fuchsiatrack.control.hedgedcall import ATTEMPT_INTERVAL_MS, Attempt, HedgedCall
from fuchsiatrack.control.logera import LogEra
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import FuchsiatrackError, PlatformUnavailable, RecordsExpired

# Wait of a long poll while peers would report that records were missed.
POLL_WAIT_MS = 20_000
# Wait of a long poll otherwise, and of the leader, on whose offsets its peers rely: short enough
# that a poll which the service has lost, and which receives nothing, ends before the delay does
# harm.
UNASSISTED_POLL_WAIT_MS = 1_000
# An open poll counts as lost if a peer's records have not arrived this long after the peer reported
# them.  This is the longest response time of a healthy log service.
LOST_POLL_TIMEOUT_MS = 250
# All daemons notice at once that the log was restored, and read its streams at random times.
RESTORED_READ_SPREAD_MS = 300
# Bounds on the random pause before a snapshot if the read after the one before failed as well.
EXPIRED_PAUSE_MIN_MS = 200
EXPIRED_PAUSE_MAX_MS = 3_000

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
    """Records, the offset `next` at which the next read starts, and the stream's `end`, if known.

    `end` is the offset after the stream's last record at the time of the read, and `era` the era
    of the log in which the page was read, None if the log service tells none.
    """

    records: tuple[CompactedRecord, ...]
    next: int
    end: int = 0
    era: int | None = None

    @property
    def is_last(self) -> bool:
        """Whether no further records are known to follow."""
        return self.next >= self.end


@dataclasses.dataclass(frozen=True)
class Outage:
    """An interruption of the reads of a stream; times of the reader's clock, in milliseconds.

    The log service was unavailable to this reader at some time after `unavailable_at`, when the
    last read started that shows it.  `ended_at` is when the next read returned.
    """

    unavailable_at: int
    ended_at: int


@dataclasses.dataclass(frozen=True)
class ReadContext:
    """Under which circumstances records were read.

    `outage` is the latest interruption, None if there was none.  With `is_backlog`, the records
    may have been appended long before they were read, at any time after `caught_up_at`, when a
    read last reached the end of the stream, in milliseconds of the reader's clock.

    With `is_restored`, the log has come back from a copy since the read before: what is missing or
    older than what is known may only be lost, and may be written again.
    """

    outage: Outage | None = None
    is_backlog: bool = False
    caught_up_at: int = 0
    is_restored: bool = False


@dataclasses.dataclass(frozen=True)
class Writer:
    """Identity of a writer; a greater `epoch` fences every smaller one of the same name."""

    name: str
    epoch: int
    sequence: int


class CompactedLog(abc.ABC):
    """Streams of keyed records with conditional and fenced appends.

    Every method raises PlatformUnavailable if the service does not respond in time, and its
    subclass PlatformBusy if the service rejects the call for now.  A response of a former era
    counts as none.
    """

    @functools.cached_property
    def era(self) -> LogEra:
        """The era of the log, as its responses to this client show it."""
        return LogEra()

    @abc.abstractmethod
    async def newest(self, stream: Stream, attempt: Attempt | None = None) -> CompactedPage:
        """Return the newest record of each key.

        `next` is the end of the stream when the listing began; records appended later may be among
        those returned.  *attempt* tells whether to use a new connection, since one that is already
        open may be dead without notice, and records when a response begins to arrive.
        """

    @abc.abstractmethod
    async def read(
        self, stream: Stream, first: int, wait: int, attempt: Attempt | None = None
    ) -> CompactedPage:
        """Return records from offset *first* on, waiting up to *wait* milliseconds for one.

        See `newest` for *attempt*.  Raise RecordsExpired if *first* is no longer retained, or is
        behind the end of a stream that has lost records.
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
    records were missed; *on_records* receives the later records, in pages.  Both also receive the
    context of the read.  After a page that ends the stream, the next read starts *pause*
    milliseconds later, so that records which are appended together take one call.  A read without a
    response is repeated every *attempt_interval* milliseconds.

    *newest_only* is for streams whose newest record of each key says everything.  After a pause,
    and after a page that doesn't reach the end of the stream, the newest record of each key is read
    instead of all records since, so that the delay of the newest one doesn't grow with the number
    of those before it.

    A stream whose log was restored from a copy is read again from a snapshot, in whichever way that
    shows: by the era, by an offset that the stream doesn't have, or by an end that went back.
    """

    def __init__(
        self,
        log_service: CompactedLog,
        stream: Stream,
        clock: Clock,
        on_snapshot: Callable[[tuple[CompactedRecord, ...], ReadContext], None],
        on_records: Callable[[tuple[CompactedRecord, ...], ReadContext], None],
        pause: int = 0,
        attempt_interval: int = ATTEMPT_INTERVAL_MS,
        newest_only: bool = False,
        rng: random.Random | None = None,
    ) -> None:
        self._newest_only = newest_only
        self._rng = rng or random.Random()
        self._log = log_service
        self._stream = stream
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._pause = pause
        self._attempt_interval = attempt_interval
        self._unavailable_at: int | None = None
        self._last_failure_at = 0
        self._is_failing = False
        self._outage: Outage | None = None
        self._outage_started_at = 0
        self._is_backlog = False
        self._poll: asyncio.Task[CompactedPage] | None = None
        self._poll_wait = 0
        self._read_attempt = Attempt(True, 0, False)
        self._poll_started_at = 0
        self._poll_requested = asyncio.Event()
        self._has_peers = False
        self._is_leading = False
        self._caught_up_at = 0
        # Of the latest snapshot.
        self._era: int | None = None
        self._is_restored = False
        # How many reads in a row found that their offset is not retained.
        self._expiries = 0
        self.next = 0
        self.caught_up = asyncio.Event()

    @property
    def is_failing(self) -> bool:
        """Whether the latest read failed."""
        return self._is_failing

    @property
    def is_current(self) -> bool:
        """Whether what was read is of the log's latest known era."""
        era = self._log.era.current
        return era is None or era == self._era

    async def run(self) -> None:
        """Read until cancelled."""
        needs_snapshot = True
        subscription = self._log.era.changed.subscribe(self._handle_era)
        try:
            while True:
                try:
                    if needs_snapshot:
                        await self._read_snapshot()
                        needs_snapshot = False
                    elif not self.is_current:
                        await self._reread()
                    else:
                        await self._read()
                except RecordsExpired as error:
                    needs_snapshot = True
                    await self._handle_expiry(error)
        finally:
            subscription.dispose()

    def _handle_era(self, era: int) -> None:
        if self.caught_up.is_set() and era != self._era:
            self.poll_now()

    async def _reread(self) -> None:
        """Read a snapshot of the restored stream, at a random time."""
        self._is_restored = True
        await self._clock.sleep(self._rng.randrange(RESTORED_READ_SPREAD_MS))
        self._poll_requested.clear()
        await self._read_snapshot()

    async def _handle_expiry(self, error: RecordsExpired) -> None:
        fields = {"topic": self._stream.topic, "next": self.next, "why": str(error)}
        log.info("records expired", extra=fields)
        # Otherwise the stream ends before the offset.
        self._is_restored |= error.first <= self.next
        longest = min(EXPIRED_PAUSE_MAX_MS, EXPIRED_PAUSE_MIN_MS * 2**self._expiries)
        if self._expiries or self._is_restored:
            await self._clock.sleep(self._rng.randrange(longest))
        self._expiries = min(self._expiries + 1, 10)

    async def _read_snapshot(self) -> None:
        page = await self._call(self._attempt_snapshot)
        self._record_success()
        era = self._log.era.current
        if page.era is not None and page.era != era:
            # The log was restored after this page was read.
            return
        if self.caught_up.is_set() and page.next < self.next:
            self._is_restored = True
        if self._is_restored:
            fields = {"topic": self._stream.topic, "next": self.next, "end": page.next, "era": era}
            log.warning("stream read again after a restoration", extra=fields)
            self._is_backlog = True
        self._era = era
        self._on_snapshot(page.records, self._context())
        self.next = page.next
        self._is_restored = False
        self._record_caught_up()
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
        is_waiting = self._poll_wait and not self._read_attempt.is_responding
        if self._poll is poll and is_waiting and peer_offset > self.next:
            fields = {
                "topic": self._stream.topic,
                "behind": peer_offset - self.next,
                "poll_ms": self._clock.now() - self._poll_started_at,
            }
            log.info("replacing a poll that missed records", extra=fields)
            self._is_backlog = True
            self.poll_now()

    def mark_isolated(self) -> None:
        """Record that no peer would report missed records."""
        if self._has_peers:
            self._has_peers = False
            self.poll_now()

    def set_leading(self, is_leading: bool) -> None:
        """Record whether this daemon leads, so that its peers rely on what it has read."""
        if is_leading and not self._is_leading:
            self.poll_now()
        self._is_leading = is_leading

    def set_pause(self, pause: int) -> None:
        """Set the pause, in milliseconds; one that has begun keeps its length."""
        self._pause = pause

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
        self._expiries = 0
        if page.era is not None and page.era != self._era:
            return
        if page.records:
            self._on_records(page.records, self._context())
        self.next = page.next
        if page.is_last:
            self._record_caught_up()
            if page.records and self._pause:
                await self._wait_for_poll_now()
                if self._newest_only:
                    await self._read_snapshot()
        elif self._newest_only:
            await self._read_snapshot()

    async def _poll_once(self) -> CompactedPage | None:
        """Return the next page, or None if the poll was cancelled in favour of a new one."""
        wait = self._poll_wait = 0 if self._poll_requested.is_set() else self._longest_wait()
        self._poll_requested.clear()
        self._poll_started_at = self._clock.now()
        start = functools.partial(self._attempt_read, wait)
        self._poll = asyncio.ensure_future(self._call(start, wait))
        try:
            return await self._poll
        except asyncio.CancelledError:
            if self._poll_requested.is_set() and not _is_cancelled():
                return None
            self._poll.cancel()
            raise
        finally:
            self._poll = None

    def _longest_wait(self) -> int:
        is_assisted = self._has_peers and not self._is_leading
        return POLL_WAIT_MS if is_assisted else UNASSISTED_POLL_WAIT_MS

    async def _wait_for_poll_now(self) -> None:
        try:
            async with asyncio.timeout(self._pause / 1_000):
                await self._poll_requested.wait()
        except TimeoutError:
            return

    async def _attempt_read(self, wait: int, attempt: Attempt) -> CompactedPage:
        if not attempt.is_first:
            # Without a wait, so that the recovery of a failing service is detected at once.
            wait = self._poll_wait = 0
        self._read_attempt = attempt
        return await self._log.read(self._stream, self.next, wait, attempt)

    async def _attempt_snapshot(self, attempt: Attempt) -> CompactedPage:
        return await self._log.newest(self._stream, attempt)

    async def _call(
        self, start: Callable[[Attempt], Awaitable[CompactedPage]], wait: int = 0
    ) -> CompactedPage:
        call = HedgedCall(start, self._clock, self._record_failure, self._attempt_interval)
        try:
            return await call.run(wait)
        finally:
            self._is_backlog |= call.is_repeated
            if call.unavailable_at is not None:
                self._unavailable_at = call.unavailable_at

    def _context(self) -> ReadContext:
        return ReadContext(self._outage, self._is_backlog, self._caught_up_at, self._is_restored)

    def _record_failure(self, error: PlatformUnavailable, started_at: int) -> None:
        self._last_failure_at = started_at
        if not self._is_failing:
            self._is_failing = True
            self._outage_started_at = started_at
            log.warning("log unavailable", extra={"topic": self._stream.topic, "why": str(error)})

    def _record_caught_up(self) -> None:
        self._is_backlog = False
        self._caught_up_at = self._clock.now()

    def _record_success(self) -> None:
        now = self._clock.now()
        if self._unavailable_at is not None:
            self._outage = Outage(self._unavailable_at, now)
            self._unavailable_at = None
        if self._is_failing:
            self._is_failing = False
            fields = {
                "topic": self._stream.topic,
                "outage_ms": now - self._outage_started_at,
                "last_failure_ms": now - self._last_failure_at,
            }
            log.warning("log available again", extra=fields)


def _is_cancelled() -> bool:
    """Return whether the running task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
