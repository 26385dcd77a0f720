"""Leader election and the leader's lease for one shard.

The log decides the election: the first valid claim on a vacant term wins.  A leader acts only
while a majority of the voters supports its term.  The lease counts from before the support
requests were sent, so a leader that is paused or partitioned stops by itself.  An
outage of the log alone stops no leader.
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

# Daemons claim a vacant term one after another, this far apart.
CLAIM_STEP_MS = 60
# A record appended to a shard's stream must be read back within this time.
APPEND_TIMEOUT_MS = 3_000
# Daemons that are not voters check this often whether the term is vacant.
NON_VOTER_CHECK_PERIOD_MS = 2_000
# The log counts as unavailable once every read has failed for this long.
LOG_OUTAGE_AFTER_MS = 3_000
# A voter that has not supported the leader for this long is replaced.
VOTER_TIMEOUT_MS = 5_000

log = logging.getLogger(__name__)


class Leadership:
    """Claim, renewal and resignation of the term of one shard.

    All times are in milliseconds of this daemon's clock.
    """

    def __init__(
        self,
        shard: str,
        local_daemon: Daemon,
        replica: StateReplica[ShardState],
        writer: StreamWriter,
        voter_client: VoterClient,
        voter: Voter,
        peers: PeerMonitor,
        clock: Clock,
        timings: TimingSettings,
    ) -> None:
        self._shard = shard
        self._local_daemon = local_daemon
        self._replica = replica
        self._writer = writer
        self._voter_client = voter_client
        self._voter = voter
        self._peers = peers
        self._clock = clock
        self._timings = timings
        self._lease_expires_at = -1
        self._active_from: int | None = None
        self._active_term = 0
        self._known_voters: tuple[Daemon, ...] = ()
        self._voters_known_at = clock.now()
        self._proposed_voters: tuple[Daemon, ...] = ()
        self._has_sent_proposal = False
        self._vacancy_checked_at = -NON_VOTER_CHECK_PERIOD_MS
        self._last_supported_at: dict[Daemon, int] = {}
        self._resigned_term = 0
        self._inherited_grants_remaining = 0
        self._extended_grants_expire_at = -1
        self._can_extend_grants = False
        self._stopping = False
        replica.applied.subscribe(lambda applied: voter.observe_term(shard, self._state.term))

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self._shard

    @property
    def holds_term(self) -> bool:
        """Whether the log assigns the current term to this daemon."""
        return self._state.leader == self._local_daemon and not self._state.resigned

    @property
    def term(self) -> int:
        """The shard's current term."""
        return self._state.term

    @property
    def active_from(self) -> int:
        """Time from which this daemon may act in the last term it took over; now if none."""
        return self._active_from if self._active_from is not None else self._clock.now()

    def has_valid_lease(self) -> bool:
        """Return whether this daemon may act as leader now."""
        if not self.holds_term or self._stopping or self._active_term != self.term:
            return False
        if self._resigned_term == self.term:
            return False
        now = self._clock.now()
        return self._active_from is not None and self._active_from <= now < self._lease_expires_at

    def choose_grant_lease(self) -> int:
        """Return the duration of a grant that is given now, in milliseconds.

        While the log is unavailable nothing can be reassigned, so an extended grant costs nothing
        and keeps owners in place if the leader is lost too.  Grants are extended only once every
        voter has recorded the longer duration, so that a new leader learns of it from any one of
        them, however many of the others have ended.
        """
        if self._can_extend_grants and self._is_log_unavailable():
            self._extended_grants_expire_at = self._clock.now() + drift_upper_bound(
                self._timings.hold_lease
            )
            return self._timings.hold_lease
        return self._timings.grant_lease

    @property
    def earlier_grants_expire_at(self) -> int:
        """Time by which every grant of an earlier leader has expired."""
        lease = max(drift_upper_bound(self._timings.grant_lease), self._inherited_grants_remaining)
        return self.active_from + lease

    def _is_log_unavailable(self) -> bool:
        return self._replica.has_failed_for(LOG_OUTAGE_AFTER_MS)

    def _grant_duration_to_announce(self) -> int:
        """Return the extended grant duration that voters must record, 0 for none.

        This covers both grants to be extended now and extended grants that may be in force.
        """
        desired = self._timings.hold_lease if self._is_log_unavailable() else 0
        return max(desired, self._extended_grants_expire_at - self._clock.now(), 0)

    async def run(self) -> None:
        """Renew the term or try to claim it until cancelled."""
        await self._replica.caught_up.wait()
        while True:
            try:
                await self._step()
            except PlatformUnavailable as error:
                log.info("log state not settled", extra={"shard": self._shard, "why": str(error)})
            await self._wait_for_next_step()

    async def _wait_for_next_step(self) -> None:
        applied = self._state.applied

        def has_been_resigned() -> bool:
            return self._state.resigned and self._state.applied != applied

        await self._replica.wait_for(has_been_resigned, self._timings.support_period)

    async def resign(self) -> None:
        """Stop acting at once and append a resignation, so that another daemon takes over.

        This daemon does not act again in this term even if the append fails, because the record
        may take effect at any later time.
        """
        self._stopping = True
        if not self.holds_term:
            return
        term = self._resigned_term = self.term
        try:
            await self._writer.append(
                lambda record_id: Resign("resign", record_id, term), APPEND_TIMEOUT_MS
            )
        except PlatformUnavailable:
            log.warning("term resignation timed out", extra={"shard": self._shard})

    @property
    def _state(self) -> ShardState:
        return self._replica.state

    async def _step(self) -> None:
        self._update_known_voters()
        if self._stopping:
            return
        if not self.holds_term:
            await self._try_claim()
        elif self._peers.is_draining(self._local_daemon.vm):
            await self._resign_for_drain()
        elif self._active_term != self.term:
            await self._take_over()
        else:
            await self._renew()
            await self._maintain_voters()

    async def _resign_for_drain(self) -> None:
        await self.resign()
        self._stopping = False

    def _update_known_voters(self) -> None:
        if self._state.voters != self._known_voters:
            self._known_voters = self._state.voters
            self._voters_known_at = self._clock.now()

    # Claiming the term

    async def _try_claim(self) -> None:
        if self._peers.is_draining(self._local_daemon.vm) or not self._is_listed():
            return
        if not self._is_vacancy_check_due():
            return
        if not await self._is_vacant():
            return
        term = self._state.term
        await self._clock.sleep(self._claim_rank() * CLAIM_STEP_MS)
        if self._state.term != term or not await self._is_vacant():
            return
        voters = choose_voters((), self._peers.reachable) or (self._local_daemon,)
        version = self._peers.vms.version

        def build(record_id: RecordId) -> Claim:
            return Claim("claim", record_id, term, self._local_daemon, voters, version)

        await self._writer.append(build, APPEND_TIMEOUT_MS)
        if self.holds_term:
            self._update_known_voters()
            await self._take_over()

    def _is_vacancy_check_due(self) -> bool:
        """Return whether to check for a vacant term now.

        Voters detect a lost leader by their own expired support, so they check at every step.
        Other daemons have to query the voters and do so only periodically.
        """
        now = self._clock.now()
        urgent = (
            self._local_daemon in self._state.voters or self._state.resigned or not self._state.term
        )
        if not urgent and now - self._vacancy_checked_at < NON_VOTER_CHECK_PERIOD_MS:
            return False
        self._vacancy_checked_at = now
        return True

    def _is_listed(self) -> bool:
        return self._peers.vms.find(self._local_daemon.vm) is not None

    async def _is_vacant(self) -> bool:
        """Return whether too few voters support the term for any leader to act."""
        if self._state.term == 0 or self._state.resigned:
            return True
        voters = self._state.voters
        if self._local_daemon in voters and self._voter.is_supporting(
            self._shard, self._state.term
        ):
            return False
        responses = await asyncio.gather(*(self._has_expired_support(voter) for voter in voters))
        return sum(responses) >= len(voters) - len(voters) // 2

    async def _has_expired_support(self, voter: Daemon) -> bool:
        if self._has_ended(voter):
            return True
        return await self._voter_client.probe(voter, self._shard, self._state.term) is False

    def _has_ended(self, voter: Daemon) -> bool:
        return self._peers.has_ended(voter, self._state.vm_version, self._voters_known_at)

    def _claim_rank(self) -> int:
        """Return this daemon's position in the claim order, from 0."""

        def score(daemon: Daemon) -> bytes:
            return hashlib.blake2b(f"{self._shard}\0{daemon.vm}".encode()).digest()

        return sum(1 for peer in self._peers.reachable if score(peer) < score(self._local_daemon))

    # Taking over

    async def _take_over(self) -> None:
        """Start acting in the claimed term once no earlier leader can act any more."""
        term, voters = self.term, self._state.voters
        responses = await self._request_support(voters, term, 0)
        granted = [response for response in responses.values() if response.granted]
        live_count = sum(1 for voter in voters if voter in responses or not self._has_ended(voter))
        # At most half of the voters may be live without granting: too few to support an earlier
        # leader.
        if len(granted) < max(0, live_count - len(voters) // 2) or self.term != term:
            return
        wait = self._takeover_wait(granted, voters)
        self._inherited_grants_remaining = self._inherited_grant_duration(granted, voters)
        self._extended_grants_expire_at = self._clock.now() + self._inherited_grants_remaining
        self._can_extend_grants = False
        self._active_from = self._clock.now() + wait
        self._active_term = term
        self._lease_expires_at = -1
        self._proposed_voters, self._has_sent_proposal = (), False
        self._last_supported_at = {}
        log.info("leading", extra={"shard": self._shard, "term": term, "wait_ms": wait})
        await self._maintain_voters()
        await self._renew()

    def _takeover_wait(self, granted: list[Support], voters: tuple[Daemon, ...]) -> int:
        """Return how long an earlier leader may still act, in milliseconds."""
        if self._state.follows_resignation:
            return 0
        if len(granted) < majority(voters):
            return drift_upper_bound(self._timings.support_lease)
        return max(
            (drift_upper_bound(response.earlier_support_remaining) for response in granted),
            default=0,
        )

    def _inherited_grant_duration(self, granted: list[Support], voters: tuple[Daemon, ...]) -> int:
        """Return how long extended grants of earlier leaders may last, in milliseconds.

        Assume the longest duration if no voter could report one.
        """
        if not granted and not self._state.is_first_term:
            return drift_upper_bound(self._timings.hold_lease)
        return max(
            (drift_upper_bound(response.grants_remaining) for response in granted), default=0
        )

    # Renewing the term

    async def _renew(self) -> set[Daemon]:
        """Request support from the voters and extend the lease if a majority gives it.

        The lease counts from before the requests are sent.  Return the voters that support the
        term and have recorded the announced grant duration.
        """
        requested_at, term = self._clock.now(), self.term
        voter_sets = [voters for voters in (self._state.voters, self._proposed_voters) if voters]
        grant_duration = self._grant_duration_to_announce()
        responses = await self._request_support(set().union(*voter_sets), term, grant_duration)
        granted = {voter for voter, response in responses.items() if response.granted}
        self._last_supported_at.update(dict.fromkeys(granted, requested_at))
        is_unchanged = voter_sets == [
            voters for voters in (self._state.voters, self._proposed_voters) if voters
        ]
        if not is_unchanged or self.term != term:
            return set()
        if all(len(granted.intersection(voters)) >= majority(voters) for voters in voter_sets):
            self._lease_expires_at = requested_at + drift_lower_bound(self._timings.support_lease)
            all_granted = granted.issuperset(itertools.chain.from_iterable(voter_sets))
            self._can_extend_grants = grant_duration >= self._timings.hold_lease and all_granted
        return granted

    async def _request_support(
        self, voters: Iterable[Daemon], term: int, grant_duration: int
    ) -> dict[Daemon, Support]:
        requested = tuple(voters)
        responses = await asyncio.gather(
            *(
                self._voter_client.support(voter, self._shard, term, grant_duration)
                for voter in requested
            )
        )
        return {
            voter: response
            for voter, response in zip(requested, responses, strict=True)
            if response
        }

    # Voters

    async def _maintain_voters(self) -> None:
        """Replace voters that have ended or are unresponsive, and add voters if there are too few.

        From before the record is appended until it has been read back, the leader needs a
        majority of both the old and the new voters, since the record may take effect at any time.
        If extended grants may be in force, every new voter has to record their duration before
        the new voters can replace the old ones, which have recorded it.
        """
        voters = self._state.voters
        desired = self._proposed_voters or self._desired_voters()
        if set(desired) == set(voters) or not desired:
            self._proposed_voters, self._has_sent_proposal = (), False
            return
        self._proposed_voters = desired
        self._lease_expires_at = min(self._lease_expires_at, self._clock.now())
        acknowledged = await self._renew()
        if not self._can_propose(acknowledged, desired):
            self._proposed_voters = desired if self._has_sent_proposal else ()
            return
        self._has_sent_proposal = True
        term, version = self.term, self._peers.vms.version

        def build(record_id: RecordId) -> Voters:
            return Voters("voters", record_id, term, desired, version)

        task = asyncio.create_task(self._writer.append(build, APPEND_TIMEOUT_MS))
        while not task.done():
            await asyncio.wait([task], timeout=self._timings.support_period / 1000)
            await self._renew()
        try:
            await task
        except PlatformUnavailable:
            return
        self._proposed_voters, self._has_sent_proposal = (), False
        self._update_known_voters()
        await self._renew()

    def _desired_voters(self) -> tuple[Daemon, ...]:
        kept = tuple(voter for voter in self._state.voters if self._should_keep(voter))
        return choose_voters(kept, self._peers.reachable) or (self._local_daemon,)

    def _can_propose(self, acknowledged: set[Daemon], desired: tuple[Daemon, ...]) -> bool:
        """Return whether enough of the *desired* voters have acknowledged to propose them.

        If extended grants may be in force, all of them must have acknowledged; otherwise a majority
        is enough.
        """
        if self._extended_grants_expire_at > self._clock.now():
            return acknowledged.issuperset(desired)
        return len(acknowledged.intersection(desired)) >= majority(desired)

    def _should_keep(self, voter: Daemon) -> bool:
        if self._has_ended(voter) or self._peers.is_draining(voter.vm):
            return False
        since = max(self._last_supported_at.get(voter, 0), self._voters_known_at, self.active_from)
        return voter == self._local_daemon or self._clock.now() - since < VOTER_TIMEOUT_MS


@dataclasses.dataclass(frozen=True)
class LeadershipReport:
    """Leadership of a shard as one daemon sees it, as printed by `status`."""

    shard: str
    term: int
    leader: str
    acting: bool
    voters: tuple[str, ...]


def leadership_report(leadership: Leadership, state: ShardState) -> LeadershipReport:
    """Return the report on *leadership* with the replicated *state* of its shard."""
    leader = state.leader.vm if state.leader else ""
    names = tuple(voter.vm for voter in state.voters)
    return LeadershipReport(
        leadership.shard, state.term, leader, leadership.has_valid_lease(), names
    )
