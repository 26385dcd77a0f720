"""Monitoring of the other daemons: which are listed, which respond, and as which incarnation."""

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

# A daemon pings at most this many peers, however many daemons there are.
MAX_PEERS = 8
PING_PERIOD_MS = 1_000
PING_TIMEOUT_MS = 500
# A peer that has not responded for this long counts as unreachable.
PEER_TIMEOUT_MS = 3_000

log = logging.getLogger(__name__)
RPC_ERRORS = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)


@dataclasses.dataclass(frozen=True)
class PingResponse:
    """Latest response of a peer, to a ping sent at `asked_at` by the monitor's clock."""

    daemon: Daemon
    asked_at: int
    ready: bool


class PeerMonitor:
    """Monitor that polls the VM list and pings a bounded number of peers.

    The peers of a daemon are its successors in the circular order of VM names, so that every
    daemon pings, and is pinged by, equally many.  *poll_period* is in milliseconds.
    """

    def __init__(
        self, local_daemon: Daemon, vm_list: VMList, clock: Clock, poll_period: int
    ) -> None:
        self._local_daemon = local_daemon
        self._vm_list = vm_list
        self._clock = clock
        self._poll_period = poll_period
        self._channels: dict[tuple[str, int], Channel] = {}
        self._responses: dict[str, PingResponse] = {}
        self._listed: set[str] = set()
        self.vms = VMSnapshot()
        self.vms_read_at = -1

    async def run(self) -> None:
        """Poll the VM list and ping peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_list())
            tasks.create_task(self._ping_peers())

    def stub(self, daemon: Daemon) -> PeersStub:
        """Return a client for calls to *daemon*."""
        return self._stub(daemon.address, daemon.peer_port)

    @property
    def reachable(self) -> tuple[Daemon, ...]:
        """Daemons that are listed as live, responded within `PEER_TIMEOUT_MS`, and are ready.

        This daemon is included if it is listed as live.
        """
        cutoff = self._clock.now() - PEER_TIMEOUT_MS
        live = {vm.name for vm in self.vms.daemon_vms if vm.state is VMState.LIVE}
        others = (
            response.daemon
            for name, response in sorted(self._responses.items())
            if response.asked_at >= cutoff and response.ready and name in live
        )
        return (self._local_daemon, *others) if self._local_daemon.vm in live else tuple(others)

    def has_ended(self, daemon: Daemon, vm_version: int, first_known_at: int) -> bool:
        """Return whether the incarnation *daemon* has ended.

        True if another incarnation responded at its address to a ping sent at or after
        *first_known_at*, if this daemon is another incarnation at its address, or if its VM is
        missing from the VM list last read and that list is not older than *vm_version*.

        *vm_version* is the version of a list that had the VM.  *first_known_at* is in
        milliseconds of the monitor's clock.
        """
        response = self._responses.get(daemon.vm)
        if (
            response
            and response.asked_at >= first_known_at
            and response.daemon.address == daemon.address
        ):
            if response.daemon != daemon:
                return True
        if daemon.vm == self._local_daemon.vm and daemon.address == self._local_daemon.address:
            return daemon != self._local_daemon
        return self.vms.version >= max(vm_version, 1) and self.vms.find(daemon.vm) is None

    def is_draining(self, vm: str) -> bool:
        """Return whether the platform lists *vm* as draining."""
        found = self.vms.find(vm)
        return found is not None and found.state is VMState.DRAINING

    def was_delisted(self, vm: str) -> bool:
        """Return whether the platform has listed *vm* and no longer does."""
        return vm in self._listed and self.vms.find(vm) is None

    @property
    def daemon_count(self) -> int:
        """Number of daemons on the VM list, but at least one."""
        return max(1, len(self.vms.daemon_vms))

    async def close(self) -> None:
        """Close the connections to peers and to the VM list."""
        await self._vm_list.close()
        for channel in self._channels.values():
            channel.close()

    async def _poll_list(self) -> None:
        while True:
            try:
                self.vms = await self._vm_list.read()
                self._listed.update(vm.name for vm in self.vms.vms)
                self.vms_read_at = self._clock.now()
            except PlatformUnavailable as error:
                log.debug("VM list unavailable", extra={"why": str(error)})
            await self._clock.sleep(self._poll_period)

    async def _ping_peers(self) -> None:
        while True:
            await asyncio.gather(*(self._ping(vm) for vm in self._select_peers()))
            await self._clock.sleep(PING_PERIOD_MS)

    def _select_peers(self) -> list[VM]:
        others = [vm for vm in self.vms.daemon_vms if vm.name != self._local_daemon.vm]
        after = [vm for vm in others if vm.name > self._local_daemon.vm]
        before = [vm for vm in others if vm.name < self._local_daemon.vm]
        return (after + before)[:MAX_PEERS]

    async def _ping(self, vm: VM) -> None:
        request = PingRequest(vm=self._local_daemon.vm, incarnation=self._local_daemon.incarnation)
        asked_at = self._clock.now()
        try:
            async with asyncio.timeout(PING_TIMEOUT_MS / 1000):
                reply = await self._stub(vm.address, vm.peer_port).Ping(request)
        except RPC_ERRORS:
            return
        daemon = Daemon(reply.vm, reply.incarnation, reply.failure_domain, vm.address, vm.peer_port)
        self._responses[vm.name] = PingResponse(daemon, asked_at, reply.ready)

    def _stub(self, address: str, port: int) -> PeersStub:
        channel = self._channels.get((address, port))
        if channel is None:
            channel = self._channels[(address, port)] = Channel(address, port)
        return PeersStub(channel)
