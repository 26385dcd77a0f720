"""Calls from leaders and claimants to voters."""

from __future__ import annotations

import abc
import asyncio

from fuchsiatrack.control.records import Daemon
from fuchsiatrack.control.voter import Support, Voter
from fuchsiatrack.peers.peermonitor import RPC_ERRORS, PeerMonitor
from fuchsiatrack.peers.peers_pb2 import ProbeRequest, SupportRequest


class VoterClient(abc.ABC):
    """Calls to the voters of any shard."""

    @abc.abstractmethod
    async def support(
        self, voter: Daemon, shard: str, term: int, grant_duration: int
    ) -> Support | None:
        """Request support of *term*; return None if *voter* does not respond in time.

        A response of another incarnation counts as none.  *grant_duration* announces extended
        grants, in milliseconds; 0 announces none.
        """

    @abc.abstractmethod
    async def probe(self, voter: Daemon, shard: str, term: int) -> bool | None:
        """Return whether *voter* still supports *term*, or None if it does not respond in time."""


class GrpcVoterClient(VoterClient):
    """Calls this daemon's own voter directly and all others over gRPC.

    *timeout* is in milliseconds for each call.
    """

    def __init__(
        self, local_daemon: Daemon, own_voter: Voter, peers: PeerMonitor, timeout: int
    ) -> None:
        self._local_daemon = local_daemon
        self._own_voter = own_voter
        self._peers = peers
        self._timeout = timeout

    async def support(
        self, voter: Daemon, shard: str, term: int, grant_duration: int
    ) -> Support | None:
        if voter == self._local_daemon:
            return self._own_voter.support(shard, term, grant_duration)
        request = SupportRequest(
            shard=shard, term=term, voter=voter.incarnation, hold_ms=grant_duration
        )
        try:
            async with asyncio.timeout(self._timeout / 1000):
                reply = await self._peers.stub(voter).Support(request)
        except RPC_ERRORS:
            return None
        if reply.incarnation != voter.incarnation:
            return None
        return Support(reply.granted, reply.highest_term, reply.wait_ms, reply.hold_ms)

    async def probe(self, voter: Daemon, shard: str, term: int) -> bool | None:
        if voter == self._local_daemon:
            return self._own_voter.is_supporting(shard, term)
        request = ProbeRequest(shard=shard, term=term, voter=voter.incarnation)
        try:
            async with asyncio.timeout(self._timeout / 1000):
                reply = await self._peers.stub(voter).Probe(request)
        except RPC_ERRORS:
            return None
        return reply.supporting if reply.incarnation == voter.incarnation else None
