"""Leadership by terms on the log: one leader at a time writes, and acts inside its lease."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import random
from collections.abc import Callable

from fuchsiatrack.control.compactedlog import CompactedLog, ConditionFailed, Fenced, Writer
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import AppendRefused, PlatformUnavailable
from fuchsiatrack.ranges.records import (
    LEASE_KEY,
    LEASE_STREAM,
    STATE_STREAM,
    TERM_KEY,
    WRITER_NAME,
    Term,
)

# How long a leader acts after the start of its latest successful renewal, in milliseconds: three
# renewals may fail before it has to stop.
LEASE_DURATION_MS = 2_500
# Pause between renewals, in milliseconds.
RENEW_PERIOD = 700
# Without a renewal for this long one is overdue, in milliseconds: the pause and a slow answer.
RENEWAL_DUE = RENEW_PERIOD + 300
# Pause after a renewal that failed, in milliseconds.
RENEW_RETRY = 200
# A leader that answers nothing for this long is looked up in the log, in milliseconds: three load
# reports without an answer.
SILENCE_MAX = 1_000
# Time between two looks at the lease stream, in milliseconds: one renewal and some delay.
LOOK_PERIOD = 1_000
# Range of the random delay before a claim, in milliseconds, so that claims seldom meet.
CLAIM_JITTER = 60
# Pause after a claim that failed, in milliseconds.
CLAIM_RETRY = 300
WATCH_PERIOD = 100
READ_PAUSE = 10
APPEND_RETRY = 150
# The same once the lease has ended, in milliseconds: the append only settles what the log holds.
APPEND_RETRY_LATE = 1_000
# A leader whose renewals fail is replaced after this long by a daemon that reaches the log, in
# milliseconds: one retry of a renewal.
RENEWAL_FAILURE_TOLERANCE = 300
# Without a renewal for this long the leader grants for long, in milliseconds: a renewal that is
# due and gets no answer at all, so that the rest of the lease is left for the grants.
LEASE_AT_RISK = 1_700

log = logging.getLogger(__name__)


class NotLeading(Exception):
    """The term has ended, so nothing more may be written or ordered in its name."""


class Leadership:
    """This daemon's part in leadership; `run` claims and renews until cancelled.

    *is_able* tells whether the daemon knows enough to lead; *next_offset* returns the end of the
    state stream as far as it has been read, and *read_on* has it read further at once.
    """

    def __init__(
        self,
        me: Term,
        log_service: CompactedLog,
        clock: Clock,
        rng: random.Random,
        is_able: Callable[[], bool],
        next_offset: Callable[[], int],
        read_on: Callable[[], None],
    ) -> None:
        self._me = me
        self._log = log_service
        self._clock = clock
        self._rng = rng
        self._is_able = is_able
        self._next_offset = next_offset
        self._read_on = read_on
        self._current = Term()
        self._confirmed_at = -LEASE_DURATION_MS
        self._heard_at = clock.now()
        self._sequence = 0
        self._renewals = 0
        self._state_lock = asyncio.Lock()
        self._changed = asyncio.Event()
        self._renewal_failing_since: int | None = None
        self._leader_renewal_failing_since: int | None = None
        # The latest term that was resigned, and the moment at which its long grants end.
        self.former_extended_grants_end: tuple[int, int] = (0, 0)
        self.won_at = -1
        self.changed_at = clock.now()

    @property
    def current(self) -> Term:
        """The latest term that the log has shown."""
        return self._current

    @property
    def holds_term(self) -> bool:
        """Whether this daemon claimed the current term and has not resigned."""
        mine = self._current.incarnation == self._me.incarnation
        return mine and self._current.number > 0 and not self._current.resigned

    def has_valid_lease(self) -> bool:
        """Tell whether this daemon may order servers now."""
        return self.holds_term and self.won_at >= 0 and self._clock.now() < self.lease_expires_at

    @property
    def lease_expires_at(self) -> int:
        """The moment at which the lease ends."""
        return self._confirmed_at + LEASE_DURATION_MS

    def apply_term_record(self, data: bytes | None) -> None:
        """Take in a term record."""
        try:
            term = Term.decode(data) if data else Term()
        except ValueError as error:
            log.warning("term record can't be read", extra={"why": str(error)})
            return
        if term.number < self._current.number:
            return
        if term.number > self._current.number:
            self.changed_at = self._clock.now()
            self._leader_renewal_failing_since = None
            self._renewal_failing_since = None
        if term.resigned and term.number == self._current.number:
            self.former_extended_grants_end = (term.number, self._clock.now() + term.long_for)
        was_mine, self._current = self.holds_term, term
        self._heard_at = self._clock.now()
        self._changed.set()
        if was_mine and not self.holds_term:
            self.won_at = -1
        fields = {"term": term.number, "leader": term.vm, "resigned": term.resigned}
        log.info("term changed", extra=fields)

    @property
    def is_lease_at_risk(self) -> bool:
        """Whether no renewal has been confirmed for so long that the lease may end.

        A store that answers nothing shows this long before the renewal is known to have failed.
        """
        return self.has_valid_lease() and self._clock.now() - self._confirmed_at >= LEASE_AT_RISK

    @property
    def is_renewal_current(self) -> bool:
        """Whether the latest renewal that was due has been confirmed in time."""
        return self.has_valid_lease() and self._clock.now() - self._confirmed_at < RENEWAL_DUE

    @property
    def is_renewal_failing(self) -> bool:
        """Whether the latest renewal failed."""
        return self._renewal_failing_since is not None

    def record_heartbeat(self, term: int, renewal_failing: bool) -> None:
        """Take in a sign that the leader of *term* acts, and whether its renewals fail."""
        if term != self._current.number:
            return
        self._heard_at = self._clock.now()
        if not renewal_failing:
            self._leader_renewal_failing_since = None
        elif self._leader_renewal_failing_since is None:
            self._leader_renewal_failing_since = self._clock.now()

    def observe_term(self, number: int) -> None:
        """Take in that a peer knows of term *number*; a greater one ends this daemon's term."""
        if number > self._current.number and self.holds_term:
            self._lose(f"term {number} has begun")
            self._read_on()

    async def run(self) -> None:
        """Claim terms when there is no leader, and keep them, until cancelled."""
        while True:
            if self.holds_term and self.won_at < 0:
                await self._establish()
            elif self.holds_term:
                await self._renew()
            elif self._is_able() and await self._leader_is_lost():
                await self._claim()
            else:
                await self._clock.sleep(WATCH_PERIOD)

    async def append(self, key: str, value: bytes) -> None:
        """Append to the state stream in the name of the term.

        Returns once the record is certainly there; raises NotLeading when it is certainly not or
        the term has ended.
        """
        async with self._state_lock:
            self._sequence += 1
            writer = Writer(WRITER_NAME, self._current.number, self._sequence)
            while self.holds_term and self.won_at >= 0:
                try:
                    await self._log.append(STATE_STREAM, [(key, value)], writer=writer)
                    return
                except Fenced as error:
                    self._lose(str(error))
                except (AppendRefused, PlatformUnavailable) as error:
                    # The sequence number makes the repeat safe where only the answer was lost.
                    log.info("append is repeated", extra={"key": key, "why": str(error)})
                    await self._clock.sleep(
                        APPEND_RETRY if self.has_valid_lease() else APPEND_RETRY_LATE
                    )
            raise NotLeading(f"term {writer.epoch}")

    async def resign(self, extended_grants_remaining: int) -> None:
        """Give up the term, so that another daemon takes over at once.

        Long grants may last for *extended_grants_remaining* milliseconds more.
        """
        if not self.holds_term:
            return
        number = self._current.number
        resigned = dataclasses.replace(
            self._current, resigned=True, long_for=extended_grants_remaining
        )
        try:
            await self.append(TERM_KEY, resigned.encode())
        except NotLeading:
            log.info("term ended before it was resigned", extra={"term": number})
            return
        self._lose("resigned")
        log.info("term resigned", extra={"term": number})

    # Claims

    async def _leader_is_lost(self) -> bool:
        term = self._current
        if term.number == 0 or term.resigned:
            return True
        if term.vm == self._me.vm:
            # An earlier run of this very daemon, which has ended.
            return term.incarnation != self._me.incarnation
        renewal_failing_since = self._leader_renewal_failing_since
        if (
            renewal_failing_since is not None
            and self._clock.now() - renewal_failing_since >= RENEWAL_FAILURE_TOLERANCE
        ):
            self._leader_renewal_failing_since = None
            log.info("leader falters", extra={"term": term.number, "leader": term.vm})
            return True
        if self._clock.now() - self._heard_at < SILENCE_MAX:
            return False
        return await self._lease_stands_still(term)

    async def _lease_stands_still(self, term: Term) -> bool:
        """Tell whether the lease stream shows no renewal for `LOOK_PERIOD`."""
        try:
            before = await self._read_lease()
            await self._clock.sleep(LOOK_PERIOD)
            if self._current != term or self._clock.now() - self._heard_at < SILENCE_MAX:
                return False
            after = await self._read_lease()
        except PlatformUnavailable:
            await self._clock.sleep(CLAIM_RETRY)
            return False
        if self._current != term:
            return False
        if before != after:
            self._heard_at = self._clock.now()
            return False
        log.info("leader is lost", extra={"term": term.number, "leader": term.vm})
        return True

    async def _read_lease(self) -> bytes:
        page = await self._log.newest(LEASE_STREAM)
        return next((item.value or b"" for item in page.records if item.key == LEASE_KEY), b"")

    async def _claim(self) -> None:
        lost = self._current
        await self._clock.sleep(self._rng.randrange(CLAIM_JITTER))
        if self._current != lost:
            # Another daemon has claimed meanwhile.
            return
        claim = dataclasses.replace(self._me, number=self._current.number + 1)
        end = self._next_offset()
        try:
            # The condition alone decides: several claims of one term must not look like repeats.
            await self._log.append(STATE_STREAM, [(TERM_KEY, claim.encode())], at=end)
        except ConditionFailed as error:
            log.info("claim came too late", extra={"term": claim.number, "why": str(error)})
            self._read_on()
            await self._wait_for_change(CLAIM_RETRY)
            return
        except (AppendRefused, PlatformUnavailable) as error:
            log.info("claim failed", extra={"term": claim.number, "why": str(error)})
            await self._wait_for_change(CLAIM_RETRY)
            return
        self.apply_term_record(claim.encode())

    async def _wait_for_change(self, timeout: int) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(timeout / 1_000):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _establish(self) -> None:
        """Fence earlier leaders, and read all that they have written."""
        term = self._current.number
        writer = Writer(WRITER_NAME, term, 0)
        try:
            end = await self._log.append(STATE_STREAM, (), writer=writer)
        except Fenced as error:
            self._lose(str(error))
            return
        except (AppendRefused, PlatformUnavailable) as error:
            self._record_renewal_failure(str(error))
            await self._clock.sleep(RENEW_RETRY)
            return
        while self._next_offset() < end and self._current.number == term:
            self._read_on()
            await self._clock.sleep(READ_PAUSE)
        await self._renew()

    # Renewals

    async def _renew(self) -> None:
        """Renew once and wait for the next time.

        The first renewal of a term also fences the renewals of every earlier one.
        """
        sent_at = self._clock.now()
        self._renewals += 1
        writer = Writer(WRITER_NAME, self._current.number, self._renewals)
        value = json.dumps({"term": writer.epoch, "renewal": self._renewals}).encode()
        try:
            await self._log.append(LEASE_STREAM, [(LEASE_KEY, value)], writer=writer)
        except Fenced as error:
            self._lose(str(error))
            return
        except (AppendRefused, PlatformUnavailable) as error:
            # The number was not used up, or its repeat gets the first answer.
            self._renewals -= 1
            self._record_renewal_failure(str(error))
            await self._clock.sleep(RENEW_RETRY)
            return
        self._confirm(sent_at)
        await self._clock.sleep_until(sent_at + RENEW_PERIOD)

    def _confirm(self, sent_at: int) -> None:
        self._confirmed_at = sent_at
        self._renewal_failing_since = None
        if self.holds_term and self.won_at < 0:
            self._sequence = 0
            self.won_at = self._clock.now()
            log.info("term won", extra={"term": self._current.number})

    def _record_renewal_failure(self, why: str) -> None:
        if self._renewal_failing_since is None:
            log.warning("renewal failed", extra={"term": self._current.number, "why": why})
            self._renewal_failing_since = self._clock.now()

    def _lose(self, why: str) -> None:
        log.warning("term lost", extra={"term": self._current.number, "why": why})
        self._current = dataclasses.replace(self._current, incarnation="", vm="")
        self._heard_at = self._clock.now()
        self.won_at = -1
