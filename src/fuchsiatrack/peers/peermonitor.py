"""The other daemons: who is listed, who answers, and as which incarnation."""

from __future__ import annotations

import asyncio
import dataclasses
import logging

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from fuchsiatrack.control.records import Daemon
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.peers.peers_grpc import PeersStub
from fuchsiatrack.peers.peers_pb2 import PingRequest
from fuchsiatrack.peers.vmlist import VM, VMList, VMSnapshot, VMState

# Peers that a daemon pings, however many daemons there are.
MAX_PEERS = 8
PING_PERIOD = 1_000
PING_TIMEOUT = 500
# A peer that has not answered for this long counts as unreachable.
PEER_TIMEOUT = 3_000

log = logging.getLogger(__name__)
RPC_ERRORS = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)


@dataclasses.dataclass(frozen=True)
class Seen:
    """A peer that has answered, and when it was last asked with success, in milliseconds."""

    daemon: Daemon
    at: int
    ready: bool


class PeerMonitor:
    """Follows the VM list and keeps in touch with a bounded number of peers.

    The peers of a daemon are its successors in the order of VM names, so that every daemon has
    as many as any other.
    """

    def __init__(self, me: Daemon, vm_list: VMList, clock: Clock, poll: int) -> None:
        self._me = me
        self._vm_list = vm_list
        self._clock = clock
        self._poll = poll
        self._channels: dict[tuple[str, int], Channel] = {}
        self._seen: dict[str, Seen] = {}
        self._listed: set[str] = set()
        self.vms = VMSnapshot()
        self.vms_read_at = -1

    async def run(self) -> None:
        """Read the VM list and ping peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_list())
            tasks.create_task(self._follow_peers())

    def stub(self, daemon: Daemon) -> PeersStub:
        """Return a client for calls to *daemon*."""
        return self._stub(daemon.address, daemon.peer_port)

    @property
    def reachable(self) -> tuple[Daemon, ...]:
        """The daemons that answered lately and are listed as live, this one included."""
        horizon = self._clock.now() - PEER_TIMEOUT
        live = {vm.name for vm in self.vms.daemons if vm.state is VMState.LIVE}
        others = (
            seen.daemon
            for name, seen in sorted(self._seen.items())
            if seen.at >= horizon and seen.ready and name in live
        )
        return (self._me, *others) if self._me.vm in live else tuple(others)

    def has_ended(self, daemon: Daemon, vm_version: int, first_known_at: int) -> bool:
        """Tell whether the run *daemon*, known since the moment *first_known_at*, has ended.

        It has when its VM was dropped from a list as new as *vm_version*, by which the VM had
        been listed, or when another incarnation answers at its address to a call made later
        than *first_known_at*.
        """
        seen = self._seen.get(daemon.vm)
        if seen and seen.at >= first_known_at and seen.daemon.address == daemon.address:
            if seen.daemon != daemon:
                return True
        if daemon.vm == self._me.vm and daemon.address == self._me.address:
            return daemon != self._me
        return self.vms.version >= max(vm_version, 1) and self.vms.find(daemon.vm) is None

    def is_leaving(self, vm: str) -> bool:
        """Tell whether the platform lists *vm* as leaving."""
        found = self.vms.find(vm)
        return found is not None and found.state is VMState.LEAVING

    def was_delisted(self, vm: str) -> bool:
        """Tell whether the platform listed *vm* once and lists it no more."""
        return vm in self._listed and self.vms.find(vm) is None

    @property
    def daemon_count(self) -> int:
        """Number of daemons on the VM list, at least one."""
        return max(1, len(self.vms.daemons))

    async def close(self) -> None:
        """Close the connections to peers and to the platform's list."""
        await self._vm_list.close()
        for channel in self._channels.values():
            channel.close()

    async def _follow_list(self) -> None:
        while True:
            try:
                self.vms = await self._vm_list.read()
                self._listed.update(vm.name for vm in self.vms.vms)
                self.vms_read_at = self._clock.now()
            except PlatformUnavailable as error:
                log.debug("VM list is unavailable", extra={"why": str(error)})
            await self._clock.sleep(self._poll)

    async def _follow_peers(self) -> None:
        while True:
            await asyncio.gather(*(self._ping(vm) for vm in self._chosen()))
            await self._clock.sleep(PING_PERIOD)

    def _chosen(self) -> list[VM]:
        others = [vm for vm in self.vms.daemons if vm.name != self._me.vm]
        after = [vm for vm in others if vm.name > self._me.vm]
        before = [vm for vm in others if vm.name < self._me.vm]
        return (after + before)[:MAX_PEERS]

    async def _ping(self, vm: VM) -> None:
        request = PingRequest(vm=self._me.vm, incarnation=self._me.incarnation)
        asked_at = self._clock.now()
        try:
            async with asyncio.timeout(PING_TIMEOUT / 1000):
                reply = await self._stub(vm.address, vm.peer_port).Ping(request)
        except RPC_ERRORS:
            return
        daemon = Daemon(reply.vm, reply.incarnation, reply.failure_domain, vm.address, vm.peer_port)
        self._seen[vm.name] = Seen(daemon, asked_at, reply.ready)

    def _stub(self, address: str, port: int) -> PeersStub:
        channel = self._channels.get((address, port))
        if channel is None:
            channel = self._channels[(address, port)] = Channel(address, port)
        return PeersStub(channel)
