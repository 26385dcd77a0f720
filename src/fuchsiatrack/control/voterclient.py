"""How a leader or challenger reaches voters."""

from __future__ import annotations

import abc
import asyncio

from fuchsiatrack.control.records import Daemon
from fuchsiatrack.control.voter import Support, Voter
from fuchsiatrack.peers.peermonitor import RPC_ERRORS, PeerMonitor
from fuchsiatrack.peers.peers_pb2 import ProbeRequest, SupportRequest


class VoterClient(abc.ABC):
    """How a leader or challenger reaches voters."""

    @abc.abstractmethod
    async def support(
        self, voter: Daemon, shard: str, term: int, grant_duration: int
    ) -> Support | None:
        """Ask *voter* to support *term*; None when it does not answer as that incarnation.

        *hold* announces how long grants may last, in milliseconds; 0 announces nothing.
        """

    @abc.abstractmethod
    async def probe(self, voter: Daemon, shard: str, term: int) -> bool | None:
        """Ask whether *voter* still supports *term*; None when it does not answer."""


class GrpcVoterClient(VoterClient):
    """Reaches this daemon's own voter directly and others over grpclib."""

    def __init__(self, me: Daemon, own_voter: Voter, peers: PeerMonitor, timeout: int) -> None:
        self._me = me
        self._own_voter = own_voter
        self._peers = peers
        self._timeout = timeout

    async def support(
        self, voter: Daemon, shard: str, term: int, grant_duration: int
    ) -> Support | None:
        if voter == self._me:
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
        if voter == self._me:
            return self._own_voter.is_supporting(shard, term)
        request = ProbeRequest(shard=shard, term=term, voter=voter.incarnation)
        try:
            async with asyncio.timeout(self._timeout / 1000):
                reply = await self._peers.stub(voter).Probe(request)
        except RPC_ERRORS:
            return None
        return reply.supporting if reply.incarnation == voter.incarnation else None
