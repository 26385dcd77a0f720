"""Small fakes at the control interfaces, on virtual time: log, VM list, voters, servers.

Every await of a node goes through a fake, so a frozen node makes no step until it is thawed.
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
    """Passes waits at once and counts them as time."""

    now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the sum of its waits."""

    def __init__(self):
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now


def run_virtual(job):
    """Run the coroutine *job* on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(job)


class Gate:
    """Open while a node runs."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    def freeze(self):
        self._open.clear()

    def thaw(self):
        self._open.set()

    async def wait(self):
        await self._open.wait()


class NodeClock(Clock):
    """Virtual time with an offset of its own and a rate that is off by *ppm*."""

    def __init__(self, gate=None, offset=0, ppm=0):
        self._gate = gate or Gate()
        self._offset = offset
        self._rate = 1 + ppm / 1e6

    def now(self):
        return int(asyncio.get_running_loop().time() * 1000 * self._rate) + self._offset

    async def sleep(self, duration):
        await asyncio.sleep(max(duration, 0) / 1000)
        await self._gate.wait()


class Network:
    """Delays and cuts between named ends."""

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

    async def pass_over(self, one, other, error):
        await asyncio.sleep(self.rng.uniform(*self.delay))
        if self.is_cut(one, other):
            await asyncio.sleep(0.2)
            raise error


class MemoryLog:
    """The log's streams with faults; `LogClient` is one node's way to it."""

    def __init__(self, rng):
        self.rng = rng
        self.records = {}
        self.first = {}
        self.down = False
        self.lose_answers = 0.0
        self.late = 0.0
        self.changed = asyncio.Condition()

    def head(self, stream):
        return self.first.get(stream, 1) + len(self.records.get(stream, []))

    async def put(self, stream, data):
        self.records.setdefault(stream, []).append(data)
        async with self.changed:
            self.changed.notify_all()
        return self.head(stream) - 1

    def expire(self, stream, before):
        first = self.first.get(stream, 1)
        del self.records[stream][: before - first]
        self.first[stream] = before


class LogClient(AppendLog):
    """One node's client; *name* is its end of the network."""

    def __init__(self, log, network, name, gate):
        self._log = log
        self._network = network
        self._name = name
        self._gate = gate

    async def append(self, stream, data):
        error = PlatformUnavailable("cut")
        await self._network.pass_over(self._name, "log", error)
        if self._log.down:
            raise PlatformUnavailable("down")
        if self._log.rng.random() < self._log.late:
            asyncio.create_task(self._append_late(stream, data))
            raise PlatformUnavailable("late")
        offset = await self._log.put(stream, data)
        if self._log.rng.random() < self._log.lose_answers:
            raise PlatformUnavailable("lost")
        await self._gate.wait()
        return offset

    async def _append_late(self, stream, data):
        await asyncio.sleep(self._log.rng.uniform(0.5, 4))
        await self._log.put(stream, data)

    async def read(self, stream, first, wait=0):
        await self._network.pass_over(self._name, "log", PlatformUnavailable("cut"))
        try:
            async with asyncio.timeout(wait / 1000):
                async with self._log.changed:
                    await self._log.changed.wait_for(lambda: self._log.head(stream) > first)
        except TimeoutError:
            pass
        await self._gate.wait()
        if self._log.down or self._network.is_cut(self._name, "log"):
            raise PlatformUnavailable("down")
        start = self._log.first.get(stream, 1)
        if first < start:
            raise RecordsExpired(start)
        kept = self._log.records.get(stream, [])[first - start :]
        records = tuple(LogRecord(first + i, data) for i, data in enumerate(kept))
        return LogPage(records, self._log.head(stream))


class FakePeerMonitor:
    """The VM list and peers as one node sees them."""

    def __init__(self, fleet, me):
        self._fleet = fleet
        self._me = me

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
        return tuple(n.daemon for n in nodes if n.alive and not cut(self._me.vm, n.daemon.vm))

    def has_ended(self, daemon, vm_version, first_known_at):
        node = self._fleet.listed.get(daemon.vm)
        return node is None or (node.alive and node.daemon != daemon)

    def is_leaving(self, vm):
        return False


class FakeVoterClient(VoterClient):
    """Calls to voters over the fake network."""

    def __init__(self, fleet, me):
        self._fleet = fleet
        self._me = me

    async def support(self, voter, shard, term, hold):
        node = await self._reach(voter)
        answer = node.voter.support(shard, term, hold) if node else None
        await self._return()
        return answer

    async def probe(self, voter, shard, term):
        node = await self._reach(voter)
        answer = node.voter.is_supporting(shard, term) if node else None
        await self._return()
        return answer

    async def _return(self):
        await asyncio.sleep(self._fleet.network.rng.uniform(*self._fleet.network.delay))
        await self._fleet.nodes[self._me.incarnation].gate.wait()

    async def _reach(self, voter):
        try:
            await self._fleet.network.pass_over(self._me.vm, voter.vm, TimeoutError())
            node = self._fleet.nodes.get(voter.incarnation)
            if node is None or not node.alive:
                return None
            async with asyncio.timeout(0.2):
                await node.gate.wait()
        except TimeoutError:
            return None
        return node


@dataclasses.dataclass
class Holding:
    fence: int
    until: int


class FakeServer:
    """A server that takes fenced grants, with a clock of its own."""

    def __init__(self, name, fleet, offset):
        self.name = name
        self._fleet = fleet
        self._restarts = 0
        self.clock = NodeClock(offset=offset, ppm=fleet.network.rng.choice((-900, 0, 900)))
        self.alive = True
        self.gate = Gate()
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
        return held is not None and self.clock.now() < held.until

    def grant(self, grants, reading, lease):
        if reading.incarnation != self.incarnation:
            return frozenset()
        until = reading.clock + lease
        return frozenset(g.partition for g in grants if self._take(g.partition, g.fence, until))

    def revoke(self, fences):
        for partition, fence in fences.items():
            if fence >= self.fences.get(partition, 0):
                self.fences[partition] = fence
                self.held.pop(partition, None)
        return frozenset(p for p, f in fences.items() if self.fences[p] == f)

    def _take(self, partition, fence, until):
        if fence < self.fences.get(partition, 0):
            return False
        self.fences[partition] = fence
        held = self.held.setdefault(partition, Holding(fence, until))
        held.fence, held.until = fence, max(until, held.until if held.fence == fence else 0)
        if self.owns(partition):
            self._fleet.observe(partition, self)
        return True


class FakeGrantClient(GrantClient):
    """One node's calls to one server; a call may arrive long after it was made."""

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
        """Give up after a while; the call may still arrive."""
        task = asyncio.create_task(call)
        try:
            return await asyncio.wait_for(asyncio.shield(task), CALL_TIMEOUT_S)
        except TimeoutError:
            task.add_done_callback(lambda done: done.cancelled() or done.exception())
            await self._node.gate.wait()
            raise ServerUnreachable("no answer in time") from None

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
        if rng.random() < self._fleet.late_calls:
            await asyncio.sleep(rng.uniform(0.3, 3))
        await self._node.gate.wait()
        await self._fleet.network.pass_over(
            self._node.daemon.vm, self._server.name, ServerUnreachable("cut")
        )
        if not self._server.alive:
            raise ServerUnreachable("refused")
        await self._server.gate.wait()

    async def _receive(self):
        reading = ClockReading(self._server.incarnation, self._server.clock.now(), 0)
        await asyncio.sleep(self._fleet.network.rng.uniform(*self._fleet.network.delay))
        await self._node.gate.wait()
        return dataclasses.replace(reading, received_at=self._node.clock.now())


class Node:
    """The control parts of one daemon."""

    def __init__(self, fleet, daemon):
        rng = fleet.network.rng
        self.daemon = daemon
        self.alive = True
        self.gate = Gate()
        self.clock = NodeClock(self.gate, rng.randrange(10**6), rng.choice((-900, 0, 900)))
        self.voter = Voter(self.clock, fleet.timings.support_lease)
        self.directory = FakePeerMonitor(fleet, daemon)
        client = LogClient(fleet.log, fleet.network, daemon.vm, self.gate)
        self.replica = StateReplica(client, "shard", ShardState, self.clock, 500)
        self.writer = StreamWriter(client, self.replica, daemon.incarnation, self.clock)
        calls = FakeVoterClient(fleet, daemon)
        self.leadership = Leadership(
            "shard", daemon, self.replica, self.writer, calls, self.voter,
            self.directory, self.clock, fleet.timings,
        )  # fmt: skip
        leases = RouteLeaseManager(
            self.leadership, self.clock, fleet.timings.grant_lease, lambda: 0
        )
        self.assigner = Assigner(
            fleet.service, self.leadership, self.replica, self.writer, lambda: fleet.objects,
            self.directory, leases,
            lambda server: FakeGrantClient(fleet, self, fleet.servers[server.name]),
            self.clock, fleet.timings,
        )  # fmt: skip
        jobs = (self.replica.run(), self.leadership.run(), self.assigner.run())
        self.tasks = [asyncio.create_task(job) for job in jobs]

    def kill(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Nodes, servers, log and network of one test."""

    service = "poles"

    def __init__(self, objects: ObjectSet, nodes=3, seed=0):
        self.objects = objects
        self.timings = TimingSettings()
        self.network = Network(seed)
        self.log = MemoryLog(self.network.rng)
        self.late_calls = 0.0
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
        acting = [n for n in self.nodes.values() if n.alive and n.leadership.has_valid_lease()]
        return acting[0] if acting else None

    def observe(self, partition, owner):
        """Note every server that owns *partition* while *owner* has just been granted it."""
        for server in (*self.servers.values(), *self.replaced):
            if server is not owner and server.owns(partition):
                self.overlaps.append((partition, server.name, owner.name))

    def owned(self):
        """Return the partitions that some server owns now."""
        return {
            partition
            for server in self.servers.values()
            if server.alive
            for partition in server.held
            if server.owns(partition)
        }

    async def wait_until(self, predicate, seconds=30.0):
        """Return the virtual seconds until *predicate* held; fail after *seconds*."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not predicate():
            assert loop.time() - start < seconds, "did not come true in time"
            await asyncio.sleep(0.01)
        return loop.time() - start

    async def settle(self):
        """Wait until every partition is owned."""
        names = set(self.objects.partitions(self.service))
        await self.wait_until(lambda: names <= self.owned())

    def close(self):
        for node in self.nodes.values():
            node.kill()
