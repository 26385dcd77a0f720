"""Route leases, which replace grants at servers that don't check grants.

There the daemons enforce single ownership: a daemon routes only while it has a valid lease from
the leader, and a move waits until every daemon has stopped sending or its lease has expired.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterable

from fuchsiatrack.control.leadership import Leadership
from fuchsiatrack.control.records import Daemon
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.kernel.clock import Clock, drift_lower_bound, drift_upper_bound
from fuchsiatrack.peers.peermonitor import RPC_ERRORS, PeerMonitor
from fuchsiatrack.peers.peers_pb2 import RouteRequest

# Period of calls that are needed only to report load.
LOAD_REPORT_PERIOD_MS = 5_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class RouteLeaseHolder:
    """A daemon with a route lease: the lease's expiry and the state that the daemon reported.

    `applied` is the offset of the last record that it has applied.
    """

    expires_at: int
    applied: int
    draining_partitions: frozenset[str]

    def has_drained(self, partition: str, revoke_fence: int) -> bool:
        """Return whether the daemon has no request for the owner revoked at *revoke_fence*."""
        return self.applied >= revoke_fence and partition not in self.draining_partitions


class RouteLeaseManager:
    """The leader's side: grants route leases for a shard to daemons.

    Times are in milliseconds.  *max_request_duration* returns the longest time for which a
    request can run after it was sent.
    """

    def __init__(
        self,
        leadership: Leadership,
        clock: Clock,
        lease: int,
        max_request_duration: Callable[[], int],
    ) -> None:
        self._leadership = leadership
        self._clock = clock
        self._lease = lease
        self._max_request_duration = max_request_duration
        self._term = 0
        self._holders: dict[str, RouteLeaseHolder] = {}

    @property
    def max_request_duration(self) -> int:
        """The longest time for which a request can run after it was sent, in milliseconds."""
        return self._max_request_duration()

    def renew(
        self, incarnation: str, term: int, applied: int, draining_partitions: Iterable[str]
    ) -> bool:
        """Renew the route lease of the daemon with *incarnation*.

        Return False if the local daemon may not grant it.

        *applied* and *draining_partitions* are the state that the daemon reports.
        """
        if term != self._leadership.term or not self._leadership.has_valid_lease():
            return False
        self._reset_for_term()
        expires_at = self._clock.now() + drift_upper_bound(self._lease)
        self._holders[incarnation] = RouteLeaseHolder(
            expires_at, applied, frozenset(draining_partitions)
        )
        return True

    def is_drained(self, partition: str, revoke_fence: int) -> bool:
        """Return whether no request can still run for the owner revoked at *revoke_fence*."""
        self._reset_for_term()
        now, max_request_duration = self._clock.now(), self._max_request_duration()
        earlier_leases_end = (
            self._leadership.active_from + drift_upper_bound(self._lease) + max_request_duration
        )
        if now < earlier_leases_end:
            return False
        return all(
            holder.has_drained(partition, revoke_fence)
            or now >= holder.expires_at + max_request_duration
            for holder in self._holders.values()
        )

    def _reset_for_term(self) -> None:
        if self._term != self._leadership.term:
            self._term = self._leadership.term
            self._holders.clear()


class RouteLeaseClient:
    """A daemon's side: renews its route lease for servers that don't check grants.

    *lease* and *period* are in milliseconds.
    """

    def __init__(
        self,
        shard: str,
        local_daemon: Daemon,
        state: Callable[[], ShardState],
        peers: PeerMonitor,
        clock: Clock,
        lease: int,
        period: int,
    ) -> None:
        self._shard = shard
        self._local_daemon = local_daemon
        self._state = state
        self._peers = peers
        self._clock = clock
        self._lease = lease
        self._period = period
        self._expires_at = -1
        self.is_needed: Callable[[], bool] = lambda: True
        self.draining_partitions: Callable[[], Iterable[str]] = tuple
        self.pop_request_rates: Callable[[], dict[str, float]] = dict

    def is_valid(self) -> bool:
        """Return whether this daemon may route now."""
        return self._clock.now() < self._expires_at

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            await self._renew()
            pause = self._period if self.is_needed() else LOAD_REPORT_PERIOD_MS
            await self._clock.sleep(pause)

    async def _renew(self) -> None:
        state = self._state()
        if state.leader is None or state.resigned:
            return
        requested_at = self._clock.now()
        request = RouteRequest(
            shard=self._shard,
            term=state.term,
            daemon=self._local_daemon.incarnation,
            applied=state.applied,
            unsettled=list(self.draining_partitions()),
            load=self.pop_request_rates(),
        )
        try:
            async with asyncio.timeout(self._period / 1000):
                reply = await self._peers.stub(state.leader).Route(request)
        except RPC_ERRORS:
            return
        if reply.granted and reply.incarnation == state.leader.incarnation:
            self._expires_at = requested_at + drift_lower_bound(self._lease)
