"""The gRPC service that a daemon offers to its peers."""

from __future__ import annotations

from collections.abc import Callable

from grpclib.server import Stream

from fuchsiatrack.control.records import Daemon
from fuchsiatrack.control.voter import Voter
from fuchsiatrack.daemon.shard import OwnershipControl
from fuchsiatrack.peers.peers_grpc import PeersBase
from fuchsiatrack.peers.peers_pb2 import (
    PingReply,
    PingRequest,
    ProbeReply,
    ProbeRequest,
    RouteReply,
    RouteRequest,
    SupportReply,
    SupportRequest,
)


class PeerService(PeersBase):
    """Implements the Support, Probe, Route and Ping RPCs."""

    def __init__(
        self,
        local_daemon: Daemon,
        voter: Voter,
        find_ownership: Callable[[str], OwnershipControl | None],
        is_ready: Callable[[], bool],
    ) -> None:
        self._local_daemon = local_daemon
        self._voter = voter
        self._find_ownership = find_ownership
        self._is_ready = is_ready

    # Method names are defined by the generated base class.

    async def Support(self, stream: Stream) -> None:  # noqa: N802
        request: SupportRequest = await stream.recv_message()
        reply = SupportReply(incarnation=self._local_daemon.incarnation)
        if request.voter == self._local_daemon.incarnation:
            support = self._voter.support(request.shard, request.term, request.hold_ms)
            reply.granted = support.granted
            reply.highest_term = support.highest_term
            reply.wait_ms = support.earlier_support_remaining
            reply.hold_ms = support.grants_remaining
        await stream.send_message(reply)

    async def Probe(self, stream: Stream) -> None:  # noqa: N802
        request: ProbeRequest = await stream.recv_message()
        supporting = self._voter.is_supporting(request.shard, request.term)
        reply = ProbeReply(incarnation=self._local_daemon.incarnation, supporting=supporting)
        await stream.send_message(reply)

    async def Route(self, stream: Stream) -> None:  # noqa: N802
        request: RouteRequest = await stream.recv_message()
        ownership = self._find_ownership(request.shard)
        granted = ownership is not None and ownership.route_lease_manager.renew(
            request.daemon, request.term, request.applied, request.unsettled
        )
        if ownership and granted:
            ownership.assigner.loads.add(dict(request.load))
        await stream.send_message(
            RouteReply(incarnation=self._local_daemon.incarnation, granted=granted)
        )

    async def Ping(self, stream: Stream) -> None:  # noqa: N802
        _: PingRequest = await stream.recv_message()
        reply = PingReply(
            vm=self._local_daemon.vm,
            incarnation=self._local_daemon.incarnation,
            failure_domain=self._local_daemon.failure_domain,
            ready=self._is_ready(),
        )
        await stream.send_message(reply)
