"""Fakes of the log, VM list, voters and servers for the control package, on virtual time.

Until it is resumed, a suspended node gets no further than its next successful call to a fake or
its next `clock.sleep`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import selectors

from fuchsiatrack.control.appendlog import AppendLog, LogPage, LogRecord
from fuchsiatrack.control.assigner import Assigner
from fuchsiatrack.control.grantclient import (
    ClockReading,
    GrantClient,
    GrantResponse,
    ServerUnreachable,
)
from fuchsiatrack.control.leadership import Leadership
from fuchsiatrack.control.records import Daemon
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.routelease import RouteLeaseManager
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.control.voter import Voter
from fuchsiatrack.control.voterclient import VoterClient
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable, RecordsExpired
from fuchsiatrack.kernel.settings import TimingSettings
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.peers.vmlist import VM, VMSnapshot, VMState

registry.load_plugins()
CALL_TIMEOUT_S = 0.5


class VirtualSelector(selectors.SelectSelector):
    """Skips waits and advances the virtual time by them."""

    now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, which is the sum of its waits."""

    def __init__(self):
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now


def run_virtual(coroutine):
    """Run *coroutine* on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class RunState:
    """Whether a node or server runs or is suspended."""

    def __init__(self):
        self._running = asyncio.Event()
        self._running.set()

    def suspend(self):
        self._running.clear()

    def resume(self):
        self._running.set()

    async def wait_running(self):
        await self._running.wait()


class NodeClock(Clock):
    """Virtual time with an offset in milliseconds and a rate error of *ppm*."""

    def __init__(self, run_state=None, offset=0, ppm=0):
        self._run_state = run_state or RunState()
        self._offset = offset
        self._rate = 1 + ppm / 1e6

    def now(self):
        return int(asyncio.get_running_loop().time() * 1000 * self._rate) + self._offset

    async def sleep(self, duration):
        await asyncio.sleep(max(duration, 0) / 1000)
        await self._run_state.wait_running()


class Network:
    """Message delays in seconds and cut connections between named endpoints."""

    def __init__(self, seed=0, delay=(0.001, 0.01)):
        self.rng = random.Random(seed)
        self.delay = delay
        self.cuts = set()

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def cut(self, one, others):
        self.cuts |= {frozenset((one, other)) for other in others if other != one}

    def heal(self):
        self.cuts.clear()

    async def deliver(self, one, other, error):
        await asyncio.sleep(self.rng.uniform(*self.delay))
        if self.is_cut(one, other):
            await asyncio.sleep(0.2)
            raise error


class MemoryLog:
    """An in-memory log service with faults; nodes access it through `LogClient`."""

    def __init__(self, rng):
        self.rng = rng
        self.records = {}
        self.first = {}
        self.down = False
        self.response_loss_rate = 0.0
        self.late_append_rate = 0.0
        self.changed = asyncio.Condition()

    def end_offset(self, stream):
        """Return the offset after the last record."""
        return self.first.get(stream, 1) + len(self.records.get(stream, []))

    async def put(self, stream, data):
        self.records.setdefault(stream, []).append(data)
        async with self.changed:
            self.changed.notify_all()
        return self.end_offset(stream) - 1

    def expire(self, stream, before):
        first = self.first.get(stream, 1)
        del self.records[stream][: before - first]
        self.first[stream] = before


class LogClient(AppendLog):
    """One node's client of the log; *name* is the node's network endpoint."""

    def __init__(self, log, network, name, run_state):
        self._log = log
        self._network = network
        self._name = name
        self._run_state = run_state

    async def append(self, stream, data):
        error = PlatformUnavailable("cut")
        await self._network.deliver(self._name, "log", error)
        if self._log.down:
            raise PlatformUnavailable("down")
        if self._log.rng.random() < self._log.late_append_rate:
            asyncio.create_task(self._append_late(stream, data))
            raise PlatformUnavailable("late")
        offset = await self._log.put(stream, data)
        if self._log.rng.random() < self._log.response_loss_rate:
            raise PlatformUnavailable("lost")
        await self._run_state.wait_running()
        return offset

    async def _append_late(self, stream, data):
        await asyncio.sleep(self._log.rng.uniform(0.5, 4))
        await self._log.put(stream, data)

    async def read(self, stream, first, wait=0):
        await self._network.deliver(self._name, "log", PlatformUnavailable("cut"))
        try:
            async with asyncio.timeout(wait / 1000):
                async with self._log.changed:
                    await self._log.changed.wait_for(lambda: self._log.end_offset(stream) > first)
        except TimeoutError:
            pass
        await self._run_state.wait_running()
        if self._log.down or self._network.is_cut(self._name, "log"):
            raise PlatformUnavailable("down")
        start = self._log.first.get(stream, 1)
        if first < start:
            raise RecordsExpired(start)
        kept = self._log.records.get(stream, [])[first - start :]
        records = tuple(LogRecord(first + i, data) for i, data in enumerate(kept))
        return LogPage(records, self._log.end_offset(stream))


class FakePeerMonitor:
    """The VM list and the peers as seen by one node."""

    def __init__(self, fleet, local_daemon):
        self._fleet = fleet
        self._local_daemon = local_daemon

    @property
    def vms(self):
        nodes = self._fleet.listed.values()
        vms = tuple(
            VM(n.daemon.vm, n.daemon.address, VMState.LIVE, "daemon", n.daemon.failure_domain)
            for n in nodes
        )
        return VMSnapshot(self._fleet.version, vms)

    @property
    def reachable(self):
        cut = self._fleet.network.is_cut
        nodes = self._fleet.listed.values()
        return tuple(
            n.daemon for n in nodes if n.alive and not cut(self._local_daemon.vm, n.daemon.vm)
        )

    def has_ended(self, daemon, vm_version, first_known_at):
        node = self._fleet.listed.get(daemon.vm)
        return node is None or (node.alive and node.daemon != daemon)

    def is_draining(self, vm):
        return False


class FakeVoterClient(VoterClient):
    """Calls to voters over the fake network."""

    def __init__(self, fleet, local_daemon):
        self._fleet = fleet
        self._local_daemon = local_daemon

    async def support(self, voter, shard, term, grant_duration):
        node = await self._reach(voter)
        response = node.voter.support(shard, term, grant_duration) if node else None
        await self._receive_response()
        return response

    async def probe(self, voter, shard, term):
        node = await self._reach(voter)
        response = node.voter.is_supporting(shard, term) if node else None
        await self._receive_response()
        return response

    async def _receive_response(self):
        await asyncio.sleep(self._fleet.network.rng.uniform(*self._fleet.network.delay))
        await self._fleet.nodes[self._local_daemon.incarnation].run_state.wait_running()

    async def _reach(self, voter):
        try:
            await self._fleet.network.deliver(self._local_daemon.vm, voter.vm, TimeoutError())
            node = self._fleet.nodes.get(voter.incarnation)
            if node is None or not node.alive:
                return None
            async with asyncio.timeout(0.2):
                await node.run_state.wait_running()
        except TimeoutError:
            return None
        return node


@dataclasses.dataclass
class HeldGrant:
    fence: int
    expires_at: int


class FakeServer:
    """A server that accepts fenced grants and has its own clock."""

    def __init__(self, name, fleet, offset):
        self.name = name
        self._fleet = fleet
        self._restarts = 0
        self.clock = NodeClock(offset=offset, ppm=fleet.network.rng.choice((-900, 0, 900)))
        self.alive = True
        self.run_state = RunState()
        self.held = {}
        self.fences = {}

    @property
    def incarnation(self):
        return f"{self.name}.{self._restarts}"

    def restart(self):
        self._restarts += 1
        self.held.clear()
        self.fences.clear()

    def owns(self, partition):
        held = self.held.get(partition)
        return held is not None and self.clock.now() < held.expires_at

    def grant(self, grants, reading, lease):
        if reading.incarnation != self.incarnation:
            return frozenset()
        expires_at = reading.clock + lease
        return frozenset(
            g.partition for g in grants if self._accept_grant(g.partition, g.fence, expires_at)
        )

    def revoke(self, fences):
        for partition, fence in fences.items():
            if fence >= self.fences.get(partition, 0):
                self.fences[partition] = fence
                self.held.pop(partition, None)
        return frozenset(p for p, f in fences.items() if self.fences[p] == f)

    def _accept_grant(self, partition, fence, expires_at):
        if fence < self.fences.get(partition, 0):
            return False
        self.fences[partition] = fence
        held = self.held.setdefault(partition, HeldGrant(fence, expires_at))
        held.fence, held.expires_at = fence, max(
            expires_at, held.expires_at if held.fence == fence else 0
        )
        if self.owns(partition):
            self._fleet.record_overlaps(partition, self)
        return True


class FakeGrantClient(GrantClient):
    """One node's calls to one server; a call may arrive long after it was sent."""

    def __init__(self, fleet, node, server):
        self._fleet = fleet
        self._node = node
        self._server = server

    async def read_clock(self):
        return await self._call(self._read_clock())

    async def grant(self, grants, reading, lease):
        return await self._call(self._grant(grants, reading, lease))

    async def revoke(self, fences, reading, lease):
        return await self._call(self._revoke(fences))

    async def _call(self, call):
        """Return the result of *call*, or time out while it may still arrive."""
        task = asyncio.create_task(call)
        try:
            return await asyncio.wait_for(asyncio.shield(task), CALL_TIMEOUT_S)
        except TimeoutError:
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            await self._node.run_state.wait_running()
            raise ServerUnreachable("no response in time") from None

    async def _read_clock(self):
        await self._send()
        return await self._receive()

    async def _grant(self, grants, reading, lease):
        await self._send()
        held = self._server.grant(grants, reading, lease)
        return GrantResponse(await self._receive(), held)

    async def _revoke(self, fences):
        await self._send()
        released = self._server.revoke(fences)
        return GrantResponse(await self._receive(), released)

    async def _send(self):
        rng = self._fleet.network.rng
        if rng.random() < self._fleet.late_call_rate:
            await asyncio.sleep(rng.uniform(0.3, 3))
        await self._node.run_state.wait_running()
        await self._fleet.network.deliver(
            self._node.daemon.vm, self._server.name, ServerUnreachable("cut")
        )
        if not self._server.alive:
            raise ServerUnreachable("refused")
        await self._server.run_state.wait_running()

    async def _receive(self):
        reading = ClockReading(self._server.incarnation, self._server.clock.now(), 0)
        await asyncio.sleep(self._fleet.network.rng.uniform(*self._fleet.network.delay))
        await self._node.run_state.wait_running()
        return dataclasses.replace(reading, received_at=self._node.clock.now())


class Node:
    """The control components of one daemon."""

    def __init__(self, fleet, daemon):
        rng = fleet.network.rng
        self.daemon = daemon
        self.alive = True
        self.run_state = RunState()
        self.clock = NodeClock(self.run_state, rng.randrange(10**6), rng.choice((-900, 0, 900)))
        self.voter = Voter(self.clock, fleet.timings.support_lease)
        self.peers = FakePeerMonitor(fleet, daemon)
        client = LogClient(fleet.log, fleet.network, daemon.vm, self.run_state)
        self.replica = StateReplica(client, "shard", ShardState, self.clock, 500)
        self.writer = StreamWriter(client, self.replica, daemon.incarnation, self.clock)
        voter_client = FakeVoterClient(fleet, daemon)
        self.leadership = Leadership(
            "shard", daemon, self.replica, self.writer, voter_client, self.voter,
            self.peers, self.clock, fleet.timings,
        )  # fmt: skip
        route_leases = RouteLeaseManager(
            self.leadership, self.clock, fleet.timings.grant_lease, lambda: 0
        )
        self.assigner = Assigner(
            fleet.service, self.leadership, self.replica, self.writer, lambda: fleet.objects,
            self.peers, route_leases,
            lambda server: FakeGrantClient(fleet, self, fleet.servers[server.name]),
            self.clock, fleet.timings,
        )  # fmt: skip
        coroutines = (self.replica.run(), self.leadership.run(), self.assigner.run())
        self.tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    def kill(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()


class Fleet:
    """The nodes, servers, log and network of one test."""

    service = "poles"

    def __init__(self, objects: ObjectSet, nodes=3, seed=0):
        self.objects = objects
        self.timings = TimingSettings()
        self.network = Network(seed)
        self.log = MemoryLog(self.network.rng)
        self.late_call_rate = 0.0
        self.version = 1
        self.nodes = {}
        self.listed = {}
        self.overlaps = []
        self.replaced = []
        self.servers = {
            server.name: FakeServer(server.name, self, self.network.rng.randrange(10**6))
            for server in objects.servers(self.service)
        }
        for number in range(nodes):
            self.start_node(f"entry-{number}")

    def start_node(self, vm):
        number = len(self.nodes)
        daemon = Daemon(vm, f"{vm}.{number}", f"domain-{vm[-1]}", vm, 1)
        node = Node(self, daemon)
        self.nodes[daemon.incarnation] = node
        self.listed[vm] = node
        self.version += 1
        return node

    @property
    def leader(self):
        leaders = [n for n in self.nodes.values() if n.alive and n.leadership.has_valid_lease()]
        return leaders[0] if leaders else None

    def record_overlaps(self, partition, owner):
        """Record every other server that owns *partition* when *owner* is granted it."""
        for server in (*self.servers.values(), *self.replaced):
            if server is not owner and server.owns(partition):
                self.overlaps.append((partition, server.name, owner.name))

    def owned(self):
        """Return the partitions that are owned by a live server."""
        return {
            partition
            for server in self.servers.values()
            if server.alive
            for partition in server.held
            if server.owns(partition)
        }

    async def wait_until(self, predicate, seconds=30.0):
        """Return the virtual seconds until *predicate* holds; fail after *seconds*."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not predicate():
            assert loop.time() - start < seconds, "condition did not hold in time"
            await asyncio.sleep(0.01)
        return loop.time() - start

    async def wait_all_owned(self):
        """Wait until every partition is owned."""
        names = set(self.objects.partitions(self.service))
        await self.wait_until(lambda: names <= self.owned())

    def close(self):
        for node in self.nodes.values():
            node.kill()
