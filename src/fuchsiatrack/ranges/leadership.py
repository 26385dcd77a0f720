"""Leader election by terms on the log.

Only the leader of the current term can write, and it sends grants only while its lease is valid.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import random
from collections.abc import Callable

from reactivex.subject import Subject

from fuchsiatrack.control.compactedlog import CompactedLog, ConditionFailed, Fenced, Writer
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import AppendRefused, PlatformUnavailable
from fuchsiatrack.ranges.records import (
    LEASE_KEY,
    LEASE_STREAM,
    STATE_STREAM,
    TERM_KEY,
    WRITER_NAME,
    EndedTerm,
    Term,
)

# Counted from the start of the latest successful renewal; three renewals may fail before it ends.
LEASE_DURATION_MS = 2_500
RENEWAL_PERIOD_MS = 700
# One renewal period and a slow response.
RENEWAL_OVERDUE_MS = RENEWAL_PERIOD_MS + 300
RENEWAL_RETRY_DELAY_MS = 200
# Three load reports without a response; the lease stream then decides whether the leader is lost.
LEADER_TIMEOUT_MS = 1_000
# One renewal period and some delay.
LEASE_CHECK_PERIOD_MS = 1_000
# Upper bound of the random delay before a claim, which makes concurrent claims rare.
CLAIM_JITTER_MS = 60
CLAIM_RETRY_DELAY_MS = 300
POLL_PERIOD_MS = 100
READ_POLL_PERIOD_MS = 10
APPEND_RETRY_DELAY_MS = 150
# Used once the lease has expired: the retry then only finds out whether the record is written or
# the term has ended.
EXPIRED_APPEND_RETRY_DELAY_MS = 1_000
# Leaves time for one retry of a renewal; after that a daemon that reaches the log takes over.
RENEWAL_FAILURE_TOLERANCE_MS = 300
# Grants are extended after this time without a renewal. It covers a due renewal that gets no
# response at all, and leaves the rest of the lease for sending the extended grants.
LEASE_AT_RISK_MS = 1_700
# How long other daemons leave the next term to the leader after the log was restored: it knows best
# what it has granted.
SUCCESSION_DELAY_MS = LEASE_DURATION_MS
# Keeps the sequence numbers of two terms apart, so that no append counts as the repeat of one of
# another term.
SEQUENCES_PER_TERM = 1_000_000

log = logging.getLogger(__name__)


class NotLeading(Exception):
    """The term has ended; nothing may be written or granted in it any more."""


class Leadership:
    """Leader election as seen by this daemon; `run` claims and renews terms until cancelled.

    *identity* is a term record with the VM, incarnation and report address of this daemon.
    *can_lead* returns whether the daemon has the state it needs to lead. *next_offset* returns
    the offset up to which the state stream has been read, and *poll_now* triggers a read of it.
    Times are in milliseconds of *clock*.
    """

    def __init__(
        self,
        identity: Term,
        log_service: CompactedLog,
        clock: Clock,
        rng: random.Random,
        can_lead: Callable[[], bool],
        next_offset: Callable[[], int],
        poll_now: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._log_service = log_service
        self._clock = clock
        self._rng = rng
        self._can_lead = can_lead
        self._next_offset = next_offset
        self._poll_now = poll_now
        self._current = Term()
        self._renewed_at = -LEASE_DURATION_MS
        self._leader_seen_at = clock.now()
        self._sequence = 0
        # The end of the state stream after the latest append of this daemon as the leader.
        self._state_end = 0
        # The latest term that this daemon led and ended.
        self._ended_own_term = 0
        self._renewal_number = 0
        self._renewal_term = 0
        # When the renewal with the latest number was first sent without a response.
        self._unanswered_since: int | None = None
        self._state_lock = asyncio.Lock()
        self._term_changed = asyncio.Event()
        self._renewal_failing_since: int | None = None
        self._leader_renewal_failing_since: int | None = None
        # The latest term that was resigned.
        self.resigned_term = EndedTerm()
        self._era_seen_at = -SUCCESSION_DELAY_MS
        # Whether a former era's claim follows the record of this daemon's term on the log.
        self._is_record_hidden = False
        # The term before the current one if this daemon led both, else 0.
        self.succeeded_term = 0
        self.won_at = -1
        self.term_changed_at = clock.now()
        self.changed: Subject[Term] = Subject()

    @property
    def current(self) -> Term:
        """The latest known term.

        Its `vm` and `incarnation` are cleared when this daemon ends its own term.
        """
        return self._current

    @property
    def holds_term(self) -> bool:
        """Whether this daemon claimed the current term and has not resigned."""
        is_own = self._current.incarnation == self._identity.incarnation
        return is_own and self._current.number > 0 and not self._current.resigned

    @property
    def is_outdated(self) -> bool:
        """Whether the current term began before the log was restored.

        Its leader sends grants as long as its lease lasts, but can't renew the lease or write.
        """
        return 0 < self._current.number <= self._log_service.era.first_term

    @property
    def renewed_at(self) -> int:
        """When the latest renewal of the lease was sent that succeeded."""
        return self._renewed_at

    def has_valid_lease(self) -> bool:
        """Return whether this daemon leads and may send grants now."""
        return self.holds_term and self.won_at >= 0 and self._clock.now() < self.lease_expires_at

    @property
    def lease_expires_at(self) -> int:
        """The time at which the lease expires."""
        return self._renewed_at + LEASE_DURATION_MS

    def apply_term_record(self, data: bytes | None) -> None:
        """Update the current term from a record of the log; ignore older and malformed ones."""
        try:
            term = Term.decode(data) if data else Term()
        except ValueError as error:
            log.warning("malformed term record", extra={"why": str(error)})
            return
        if term.number < self._current.number:
            self._is_record_hidden |= self.won_at >= 0 and (
                0 < term.number <= self._log_service.era.first_term < self._current.number
            )
            return
        is_new = term.number > self._current.number
        if is_new:
            self.won_at = -1
            self._is_record_hidden = False
            is_own = term.incarnation == self._identity.incarnation
            self.succeeded_term = self._current.number if is_own and self.holds_term else 0
            self.term_changed_at = self._clock.now()
            self._leader_renewal_failing_since = None
            self._renewal_failing_since = None
        if term.resigned and term.number == self._current.number:
            now = self._clock.now()
            self.resigned_term = EndedTerm(term.number, now + term.sending_for, now + term.long_for)
        if term.number == self._ended_own_term:
            # The record of a term that this daemon has ended can be read again.
            term = dataclasses.replace(term, vm="", incarnation="")
        held_term, self._current = self.holds_term, term
        self._leader_seen_at = self._clock.now()
        self._term_changed.set()
        if held_term and not self.holds_term:
            self.won_at = -1
        fields = {"term": term.number, "leader": term.vm, "resigned": term.resigned}
        log.info("term changed", extra=fields)
        if is_new:
            self.changed.on_next(term)

    @property
    def is_lease_at_risk(self) -> bool:
        """Whether the last renewal is so long ago that the lease may expire.

        While the log service is unresponsive, this holds long before a renewal times out.
        """
        return self.has_valid_lease() and self._clock.now() - self._renewed_at >= LEASE_AT_RISK_MS

    @property
    def is_renewal_current(self) -> bool:
        """Whether the lease is valid and no renewal is overdue."""
        return self.has_valid_lease() and self._clock.now() - self._renewed_at < RENEWAL_OVERDUE_MS

    @property
    def is_renewal_failing(self) -> bool:
        """Whether the latest renewal failed."""
        return self._renewal_failing_since is not None

    def record_heartbeat(self, term: int, renewal_failing: bool) -> None:
        """Record a message from the leader of *term*, and whether its lease renewals fail."""
        if term != self._current.number:
            return
        self._leader_seen_at = self._clock.now()
        if not renewal_failing:
            self._leader_renewal_failing_since = None
        elif self._leader_renewal_failing_since is None:
            self._leader_renewal_failing_since = self._clock.now()

    def observe_term(self, number: int) -> None:
        """Record that a peer has seen term *number*; a later term ends this daemon's term."""
        if number > self._current.number and self.holds_term:
            self._end_term(f"term {number} has begun")
            self._poll_now()

    async def run(self) -> None:
        """Claim a term when there is no leader, and renew its lease, until cancelled."""
        subscription = self._log_service.era.changed.subscribe(self._handle_era)
        try:
            while True:
                await self._run_step()
        finally:
            subscription.dispose()

    def _handle_era(self, era: int) -> None:
        self._era_seen_at = self._clock.now()
        # What failed were renewals on the former log.
        self._renewal_failing_since = self._leader_renewal_failing_since = None

    async def _run_step(self) -> None:
        if self.holds_term and self.is_outdated:
            if self._can_lead():
                await self._claim()
            else:
                await self._clock.sleep(READ_POLL_PERIOD_MS)
        elif self.holds_term and self.won_at < 0:
            await self._begin_term()
        elif self.holds_term:
            if self._is_record_hidden:
                await self._restate_term()
            await self._renew()
        elif self._can_lead() and await self._is_leader_lost():
            await self._claim()
        else:
            await self._clock.sleep(POLL_PERIOD_MS)

    async def _restate_term(self) -> None:
        """Write the term again: a delayed claim of a former era has hidden its record."""
        self._is_record_hidden = False
        log.warning("term record hidden by a former era's", extra={"term": self._current.number})
        try:
            await self.append(TERM_KEY, self._current.encode())
        except NotLeading as error:
            log.info("term ended before it was written again", extra={"why": str(error)})

    async def append(self, key: str, value: bytes, at: int | None = None) -> None:
        """Append a record to the state stream as the leader of the current term.

        With *at*, append only if the stream ends at that offset.  Return once the record is
        certainly written.  Raise NotLeading if the term ends first; the record may still have been
        written.
        """
        async with self._state_lock:
            self._sequence += 1
            writer = Writer(WRITER_NAME, self._current.number, self._sequence)
            while self.holds_term and self.won_at >= 0 and self._is_current(writer.epoch):
                try:
                    end = await self._log_service.append(
                        STATE_STREAM, [(key, value)], at=at, writer=writer
                    )
                    if self._is_current(writer.epoch):
                        self._state_end = end
                        return
                except (ConditionFailed, Fenced) as error:
                    if self._is_current(writer.epoch):
                        self._end_term(str(error))
                except (AppendRefused, PlatformUnavailable) as error:
                    # The sequence number prevents a duplicate if only the response was lost.
                    log.info("append retried", extra={"key": key, "why": str(error)})
                    await self._clock.sleep(
                        APPEND_RETRY_DELAY_MS
                        if self.has_valid_lease()
                        else EXPIRED_APPEND_RETRY_DELAY_MS
                    )
            raise NotLeading(f"term {writer.epoch} has ended")

    def _is_current(self, term: int) -> bool:
        """Return whether *term* is the current one and its log hasn't been restored."""
        return self._current.number == term and not self.is_outdated

    async def resign(self, extended_grants_remaining: int, sending_remaining: int) -> None:
        """Resign the term, so that another daemon takes over at once.

        Extended grants may last for another *extended_grants_remaining* milliseconds, and earlier
        leaders may send grants for another *sending_remaining*.
        """
        if not self.holds_term:
            return
        number = self._current.number
        resigned = dataclasses.replace(
            self._current,
            resigned=True,
            long_for=extended_grants_remaining,
            sending_for=sending_remaining,
        )
        try:
            # Conditional like a claim: executed after the next claim, it would hide that one.
            await self.append(TERM_KEY, resigned.encode(), at=self._state_end)
        except NotLeading:
            log.info("term ended before the resignation", extra={"term": number})
            return
        self._end_term("resigned")
        log.info("term resigned", extra={"term": number})

    # Claims

    async def _is_leader_lost(self) -> bool:
        term = self._current
        if term.number == 0 or term.resigned:
            return True
        if term.vm == self._identity.vm:
            # The leader ran on this VM; an earlier incarnation of this daemon has ended.
            return term.incarnation != self._identity.incarnation
        if self.is_outdated and self._clock.now() - self._era_seen_at < SUCCESSION_DELAY_MS:
            return False
        renewal_failing_since = self._leader_renewal_failing_since
        if (
            renewal_failing_since is not None
            and self._clock.now() - renewal_failing_since >= RENEWAL_FAILURE_TOLERANCE_MS
        ):
            self._leader_renewal_failing_since = None
            log.info(
                "leader cannot renew its lease", extra={"term": term.number, "leader": term.vm}
            )
            return True
        if self._clock.now() - self._leader_seen_at < LEADER_TIMEOUT_MS:
            return False
        return await self._is_lease_stale(term)

    async def _is_lease_stale(self, term: Term) -> bool:
        """Return whether the lease stream gets no renewal within `LEASE_CHECK_PERIOD_MS`."""
        try:
            before = await self._read_lease()
            await self._clock.sleep(LEASE_CHECK_PERIOD_MS)
            if (
                self._current != term
                or self._clock.now() - self._leader_seen_at < LEADER_TIMEOUT_MS
            ):
                return False
            after = await self._read_lease()
        except PlatformUnavailable:
            await self._clock.sleep(CLAIM_RETRY_DELAY_MS)
            return False
        if self._current != term:
            return False
        if before != after:
            self._leader_seen_at = self._clock.now()
            return False
        log.info("leader lost", extra={"term": term.number, "leader": term.vm})
        return True

    async def _read_lease(self) -> bytes:
        page = await self._log_service.newest(LEASE_STREAM)
        return next((item.value or b"" for item in page.records if item.key == LEASE_KEY), b"")

    async def _claim(self) -> None:
        lost_term = self._current
        await self._clock.sleep(self._rng.randrange(CLAIM_JITTER_MS))
        if not await self._has_checked_era():
            await self._wait_for_change(CLAIM_RETRY_DELAY_MS)
            return
        if self._current != lost_term or not self._can_lead():
            # Another daemon has claimed a term in the meantime, or the log was restored.
            return
        era = self._log_service.era.current
        number = max(self._current.number, self._log_service.era.first_term) + 1
        claim = dataclasses.replace(self._identity, number=number)
        end = self._next_offset()
        try:
            # No writer: the log would treat concurrent claims of one term as retries of each other.
            await self._log_service.append(STATE_STREAM, [(TERM_KEY, claim.encode())], at=end)
        except ConditionFailed as error:
            log.info(
                "claim lost to a concurrent append", extra={"term": claim.number, "why": str(error)}
            )
            self._poll_now()
            await self._wait_for_change(CLAIM_RETRY_DELAY_MS)
            return
        except (AppendRefused, PlatformUnavailable) as error:
            log.info("claim failed", extra={"term": claim.number, "why": str(error)})
            await self._wait_for_change(CLAIM_RETRY_DELAY_MS)
            return
        if self._log_service.era.current != era:
            # It may be in either log, and the condition was about the former one.
            log.info("claim void after a restoration", extra={"term": claim.number})
            return
        self.apply_term_record(claim.encode())

    async def _has_checked_era(self) -> bool:
        """Let the log show its era; return False if it doesn't respond.

        A claim that is repeated while the log is away would be the first call that the restored one
        gets, and could be in time before the leader's own.
        """
        if self._log_service.era.current is None:
            return True
        try:
            await self._read_lease()
        except PlatformUnavailable as error:
            log.info("claim delayed", extra={"why": str(error)})
            return False
        return True

    async def _wait_for_change(self, timeout: int) -> None:
        self._term_changed.clear()
        try:
            async with asyncio.timeout(timeout / 1_000):
                await self._term_changed.wait()
        except TimeoutError:
            return

    async def _begin_term(self) -> None:
        """Fence earlier leaders, read all that they have written, and renew the lease."""
        term = self._current.number
        writer = Writer(WRITER_NAME, term, _first_sequence(term))
        try:
            end = await self._log_service.append(STATE_STREAM, (), writer=writer)
            self._state_end = end
        except Fenced as error:
            if self._is_current(term):
                self._end_term(str(error))
            return
        except (AppendRefused, PlatformUnavailable) as error:
            self._record_renewal_failure(str(error))
            await self._clock.sleep(RENEWAL_RETRY_DELAY_MS)
            return
        while self._next_offset() < end and self._is_current(term):
            self._poll_now()
            await self._clock.sleep(READ_POLL_PERIOD_MS)
        if self.holds_term and self._is_current(term):
            await self._renew()

    # Renewals

    async def _renew(self) -> None:
        """Renew the lease and wait until the next renewal is due.

        The first renewal of a term also fences renewals of earlier terms.
        """
        sent_at, term = self._clock.now(), self._current.number
        if term != self._renewal_term:
            self._renewal_term, self._renewal_number = term, _first_sequence(term)
            self._unanswered_since = None
        number = self._renewal_number + 1
        writer = Writer(WRITER_NAME, term, number)
        value = json.dumps({"term": term, "renewal": number}).encode()
        try:
            await self._log_service.append(LEASE_STREAM, [(LEASE_KEY, value)], writer=writer)
        except Fenced as error:
            if self._is_current(term):
                self._end_term(str(error))
            return
        except (AppendRefused, PlatformUnavailable) as error:
            if self.is_outdated:
                return
            if isinstance(error, PlatformUnavailable) and self._unanswered_since is None:
                self._unanswered_since = sent_at
            # The next one has the same number, since this one may have been written.
            self._record_renewal_failure(str(error))
            await self._clock.sleep(RENEWAL_RETRY_DELAY_MS)
            return
        if not self._is_current(term):
            return
        if self._unanswered_since is not None:
            # The response may be the one to the first send, and the term may have ended since.
            fields = {"term": term, "first_sent_ms": sent_at - self._unanswered_since}
            log.info("lease renewed by a repeated renewal", extra=fields)
            sent_at, self._unanswered_since = self._unanswered_since, None
        self._renewal_number = number
        self._record_renewal(sent_at)
        await self._clock.sleep_until(sent_at + RENEWAL_PERIOD_MS)

    def _record_renewal(self, sent_at: int) -> None:
        self._renewed_at = sent_at
        self._renewal_failing_since = None
        if self.holds_term and self.won_at < 0:
            self._sequence = max(self._sequence, _first_sequence(self._current.number))
            self.won_at = self._clock.now()
            log.info("term won", extra={"term": self._current.number})

    def _record_renewal_failure(self, reason: str) -> None:
        if self._renewal_failing_since is None:
            log.warning("renewal failed", extra={"term": self._current.number, "why": reason})
            self._renewal_failing_since = self._clock.now()

    def _end_term(self, reason: str) -> None:
        log.warning("term lost", extra={"term": self._current.number, "why": reason})
        if self.holds_term:
            self._ended_own_term = self._current.number
        self._current = dataclasses.replace(self._current, incarnation="", vm="")
        self._leader_seen_at = self._clock.now()
        self.won_at = -1


def _first_sequence(term: int) -> int:
    """Return the sequence number before all that *term* uses for its records."""
    return term * SEQUENCES_PER_TERM
