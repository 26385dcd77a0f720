"""Who may act for a shard, and for how long.

The log decides who leads: the first claim after a term wins.  A leader acts only while a
majority of the voters supports its term, counted from before it asked, so that one that is cut
off or paused stops by itself; an outage of the log alone stops nobody.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import itertools
import logging
from collections.abc import Iterable

from fuchsiatrack.control.records import Claim, Daemon, RecordId, Resign, Voters
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.control.voter import Support, Voter
from fuchsiatrack.control.voterclient import VoterClient
from fuchsiatrack.control.voterset import choose_voters, majority
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import Clock, drift_lower_bound, drift_upper_bound
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.kernel.settings import TimingSettings
from fuchsiatrack.peers.peermonitor import PeerMonitor

# Step between the moments at which two daemons claim a term that nobody holds.
CLAIM_STEP = 60
CLAIM_TIMEOUT = 3_000
# Pause between questions of a daemon that is no voter whether the term is held.
NON_VOTER_PERIOD = 2_000
# The log counts as down when it has not answered for this long.
LOG_SILENCE = 3_000
# A voter that has not supported the leader for this long is replaced.
VOTER_PATIENCE = 5_000

log = logging.getLogger(__name__)


class Leadership:
    """Claims, keeps and gives up the term of one shard.  Times are in milliseconds."""

    def __init__(
        self,
        shard: str,
        me: Daemon,
        replica: StateReplica[ShardState],
        writer: StreamWriter,
        voter_client: VoterClient,
        voter: Voter,
        peers: PeerMonitor,
        clock: Clock,
        timings: TimingSettings,
    ) -> None:
        self._shard = shard
        self._me = me
        self._replica = replica
        self._writer = writer
        self._voter_client = voter_client
        self._voter = voter
        self._peers = peers
        self._clock = clock
        self._timings = timings
        self._lease_until = -1
        self._entitled_at: int | None = None
        self._entitled_term = 0
        self._known_voters: tuple[Daemon, ...] = ()
        self._voters_known_at = clock.now()
        self._proposed: tuple[Daemon, ...] = ()
        self._proposal_sent = False
        self._looked_at = -NON_VOTER_PERIOD
        self._supported_at: dict[Daemon, int] = {}
        self._resigned_term = 0
        self._inherited_hold = 0
        self._hold_granted_until = -1
        self._may_hold = False
        self._stopping = False
        replica.applied.subscribe(lambda applied: voter.observe_term(shard, self._state.term))

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self._shard

    @property
    def holds_term(self) -> bool:
        """Whether the log gives the current term to this daemon."""
        return self._state.leader == self._me and not self._state.resigned

    @property
    def term(self) -> int:
        """The shard's current term."""
        return self._state.term

    @property
    def active_from(self) -> int:
        """When this daemon became entitled to act under its term; valid while it may act."""
        return self._entitled_at if self._entitled_at is not None else self._clock.now()

    def has_valid_lease(self) -> bool:
        """Tell whether this daemon may grant at this very moment."""
        if not self.holds_term or self._stopping or self._entitled_term != self.term:
            return False
        if self._resigned_term == self.term:
            return False
        now = self._clock.now()
        return self._entitled_at is not None and self._entitled_at <= now < self._lease_until

    def choose_grant_lease(self) -> int:
        """Return how long a grant that is given now may last, in milliseconds.

        While the log is down nothing can be assigned anew, so a longer lease costs nothing and
        keeps owners in place if the leader is lost too.  Every voter has been told, so that a new
        leader learns of it from any one of them, however many of the others have ended.
        """
        if self._may_hold and self._is_log_silent():
            self._hold_granted_until = self._clock.now() + drift_upper_bound(
                self._timings.hold_lease
            )
            return self._timings.hold_lease
        return self._timings.grant_lease

    @property
    def earlier_grants_expire_at(self) -> int:
        """The moment from which no grant of an earlier leader is in force any more."""
        lease = max(drift_upper_bound(self._timings.grant_lease), self._inherited_hold)
        return self.active_from + lease

    def _is_log_silent(self) -> bool:
        return self._replica.has_failed_for(LOG_SILENCE)

    def _hold_to_announce(self) -> int:
        """Return the hold that voters must know of: one wanted, or one that may be in force."""
        wanted = self._timings.hold_lease if self._is_log_silent() else 0
        return max(wanted, self._hold_granted_until - self._clock.now(), 0)

    async def run(self) -> None:
        """Keep or seek the term until cancelled."""
        await self._replica.caught_up.wait()
        while True:
            try:
                await self._step()
            except PlatformUnavailable as error:
                log.info("log did not settle", extra={"shard": self._shard, "why": str(error)})
            await self._wait_for_next_step()

    async def _wait_for_next_step(self) -> None:
        applied = self._state.applied

        def has_been_resigned() -> bool:
            return self._state.resigned and self._state.applied != applied

        await self._replica.wait_for(has_been_resigned, self._timings.support_period)

    async def resign(self) -> None:
        """Stop acting at once and record it, so that another daemon takes over.

        The record may take effect at any later time, so this daemon acts no more in this term.
        """
        self._stopping = True
        if not self.holds_term:
            return
        term = self._resigned_term = self.term
        try:
            await self._writer.append(lambda id: Resign("resign", id, term), CLAIM_TIMEOUT)
        except PlatformUnavailable:
            log.warning("resignation was not read back", extra={"shard": self._shard})

    @property
    def _state(self) -> ShardState:
        return self._replica.state

    async def _step(self) -> None:
        self._note_voters()
        if self._stopping:
            return
        if not self.holds_term:
            await self._seek()
        elif self._peers.is_leaving(self._me.vm):
            await self._hand_over()
        elif self._entitled_term != self.term:
            await self._take_over()
        else:
            await self._renew()
            await self._maintain_voters()

    async def _hand_over(self) -> None:
        await self.resign()
        self._stopping = False

    def _note_voters(self) -> None:
        if self._state.voters != self._known_voters:
            self._known_voters = self._state.voters
            self._voters_known_at = self._clock.now()

    # Seeking the term

    async def _seek(self) -> None:
        if self._peers.is_leaving(self._me.vm) or not self._is_listed():
            return
        if not self._is_due_to_look():
            return
        if not await self._is_vacant():
            return
        term = self._state.term
        await self._clock.sleep(self._rank() * CLAIM_STEP)
        if self._state.term != term or not await self._is_vacant():
            return
        voters = choose_voters((), self._peers.reachable) or (self._me,)
        version = self._peers.vms.version

        def build(identity: RecordId) -> Claim:
            return Claim("claim", identity, term, self._me, voters, version)

        await self._writer.append(build, CLAIM_TIMEOUT)
        if self.holds_term:
            self._note_voters()
            await self._take_over()

    def _is_due_to_look(self) -> bool:
        """Voters notice a lost leader by themselves; others ask them only now and then."""
        now = self._clock.now()
        urgent = self._me in self._state.voters or self._state.resigned or not self._state.term
        if not urgent and now - self._looked_at < NON_VOTER_PERIOD:
            return False
        self._looked_at = now
        return True

    def _is_listed(self) -> bool:
        return self._peers.vms.find(self._me.vm) is not None

    async def _is_vacant(self) -> bool:
        """Tell whether so many voters have stopped supporting the term that nobody can act."""
        if self._state.term == 0 or self._state.resigned:
            return True
        voters = self._state.voters
        if self._me in voters and self._voter.is_supporting(self._shard, self._state.term):
            return False
        answers = await asyncio.gather(*(self._lapsed(voter) for voter in voters))
        return sum(answers) >= len(voters) - len(voters) // 2

    async def _lapsed(self, voter: Daemon) -> bool:
        if self._gone(voter):
            return True
        return await self._voter_client.probe(voter, self._shard, self._state.term) is False

    def _gone(self, voter: Daemon) -> bool:
        return self._peers.has_ended(voter, self._state.vm_version, self._voters_known_at)

    def _rank(self) -> int:
        """Return this daemon's place in the order of claims, from 0."""

        def score(daemon: Daemon) -> bytes:
            return hashlib.blake2b(f"{self._shard}\0{daemon.vm}".encode()).digest()

        return sum(1 for peer in self._peers.reachable if score(peer) < score(self._me))

    # Taking over

    async def _take_over(self) -> None:
        """Become entitled: no earlier leader can act any more."""
        term, voters = self.term, self._state.voters
        answers = await self._ask(voters, term, 0)
        granted = [answer for answer in answers.values() if answer.granted]
        alive = sum(1 for voter in voters if voter in answers or not self._gone(voter))
        if len(granted) < max(0, alive - len(voters) // 2) or self.term != term:
            return
        wait = self._wait_after(granted, voters)
        self._inherited_hold = self._hold_after(granted, voters)
        self._hold_granted_until = self._clock.now() + self._inherited_hold
        self._may_hold = False
        self._entitled_at = self._clock.now() + wait
        self._entitled_term = term
        self._lease_until = -1
        self._proposed, self._proposal_sent = (), False
        self._supported_at = {}
        log.info("leading", extra={"shard": self._shard, "term": term, "wait_ms": wait})
        await self._maintain_voters()
        await self._renew()

    def _wait_after(self, granted: list[Support], voters: tuple[Daemon, ...]) -> int:
        """Return how long an earlier leader may still act."""
        if self._state.follows_resignation:
            return 0
        if len(granted) < majority(voters):
            return drift_upper_bound(self._timings.support_lease)
        return max((drift_upper_bound(answer.wait) for answer in granted), default=0)

    def _hold_after(self, granted: list[Support], voters: tuple[Daemon, ...]) -> int:
        """Return how long grants of earlier leaders may last beyond the usual lease."""
        if not granted and not self._state.term_is_first:
            return drift_upper_bound(self._timings.hold_lease)
        return max((drift_upper_bound(answer.hold) for answer in granted), default=0)

    # Keeping the term

    async def _renew(self) -> set[Daemon]:
        """Extend the time for which this daemon may act, counted from before it asks.

        Return the voters that support it and know of its hold.
        """
        asked_at, term = self._clock.now(), self.term
        sets = [voters for voters in (self._state.voters, self._proposed) if voters]
        hold = self._hold_to_announce()
        answers = await self._ask(set().union(*sets), term, hold)
        granted = {voter for voter, answer in answers.items() if answer.granted}
        self._supported_at.update(dict.fromkeys(granted, asked_at))
        current = sets == [v for v in (self._state.voters, self._proposed) if v]
        if not current or self.term != term:
            return set()
        if all(len(granted.intersection(voters)) >= majority(voters) for voters in sets):
            self._lease_until = asked_at + drift_lower_bound(self._timings.support_lease)
            knows_all = granted.issuperset(itertools.chain.from_iterable(sets))
            self._may_hold = hold >= self._timings.hold_lease and knows_all
        return granted

    async def _ask(self, voters: Iterable[Daemon], term: int, hold: int) -> dict[Daemon, Support]:
        asked = tuple(voters)
        answers = await asyncio.gather(
            *(self._voter_client.support(voter, self._shard, term, hold) for voter in asked)
        )
        return {voter: answer for voter, answer in zip(asked, answers, strict=True) if answer}

    # Voters

    async def _maintain_voters(self) -> None:
        """Replace voters that are gone or silent, and add some while there are too few.

        From before the record is sent until it has been read back, the leader needs a majority
        of the old voters and of the new ones, since the record may take effect at any time.  The
        new ones are told of a hold that may be in force before they can replace those who know.
        """
        voters = self._state.voters
        wanted = self._proposed or self._wanted_voters()
        if set(wanted) == set(voters) or not wanted:
            self._proposed, self._proposal_sent = (), False
            return
        self._proposed = wanted
        self._lease_until = min(self._lease_until, self._clock.now())
        told = await self._renew()
        if not self._is_known_enough(told, wanted):
            self._proposed = wanted if self._proposal_sent else ()
            return
        self._proposal_sent = True
        term, version = self.term, self._peers.vms.version

        def build(identity: RecordId) -> Voters:
            return Voters("voters", identity, term, wanted, version)

        task = asyncio.create_task(self._writer.append(build, CLAIM_TIMEOUT))
        while not task.done():
            await asyncio.wait([task], timeout=self._timings.support_period / 1000)
            await self._renew()
        try:
            await task
        except PlatformUnavailable:
            return
        self._proposed, self._proposal_sent = (), False
        self._note_voters()
        await self._renew()

    def _wanted_voters(self) -> tuple[Daemon, ...]:
        kept = tuple(voter for voter in self._state.voters if self._is_kept(voter))
        return choose_voters(kept, self._peers.reachable) or (self._me,)

    def _is_known_enough(self, told: set[Daemon], wanted: tuple[Daemon, ...]) -> bool:
        """Tell whether *wanted* may become voters: all know of a hold that may be in force."""
        if self._hold_granted_until > self._clock.now():
            return told.issuperset(wanted)
        return len(told.intersection(wanted)) >= majority(wanted)

    def _is_kept(self, voter: Daemon) -> bool:
        if self._gone(voter) or self._peers.is_leaving(voter.vm):
            return False
        since = max(self._supported_at.get(voter, 0), self._voters_known_at, self.active_from)
        return voter == self._me or self._clock.now() - since < VOTER_PATIENCE


@dataclasses.dataclass(frozen=True)
class LeadershipReport:
    """What `status` shows of a shard's leadership on one daemon."""

    shard: str
    term: int
    leader: str
    acting: bool
    voters: tuple[str, ...]


def leadership_report(leadership: Leadership, state: ShardState) -> LeadershipReport:
    """Return the report on *leadership*."""
    leader = state.leader.vm if state.leader else ""
    names = tuple(voter.vm for voter in state.voters)
    return LeadershipReport(
        leadership.shard, state.term, leader, leadership.has_valid_lease(), names
    )
