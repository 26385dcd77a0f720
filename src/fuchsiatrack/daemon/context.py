"""Dependencies that all components of one daemon share."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import aiohttp

from fuchsiatrack.callers.requestmemory import RequestMemory
from fuchsiatrack.callers.responsememory import ResponseMemory
from fuchsiatrack.control.appendlog import AppendLog
from fuchsiatrack.control.leadership import Leadership
from fuchsiatrack.control.records import Daemon
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.state import ReplicatedState, ShardState
from fuchsiatrack.control.voter import Voter
from fuchsiatrack.control.voterclient import GrpcVoterClient
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.kernel.settings import Settings
from fuchsiatrack.peers.peermonitor import PeerMonitor


@dataclasses.dataclass(frozen=True)
class Context:
    """Identity, clock, clients of outside services, voter and memory bounds of one daemon."""

    settings: Settings
    local_daemon: Daemon
    clock: Clock
    metrics: Metrics
    log: AppendLog
    peers: PeerMonitor
    voter: Voter
    session: aiohttp.ClientSession
    rng: random.Random
    request_memory: RequestMemory
    response_memory: ResponseMemory

    def create_replica(
        self, stream: str, create_state: Callable[[], ReplicatedState]
    ) -> StateReplica:
        """Return a replica of the state in *stream*; the caller runs it."""
        return StateReplica(
            self.log, stream, create_state, self.clock, self.settings.timings.log_wait
        )

    def create_writer(self, replica: StateReplica) -> StreamWriter:
        """Return a writer to the stream of *replica*."""
        return StreamWriter(self.log, replica, self.local_daemon.incarnation, self.clock)

    def create_leadership(
        self, shard: str, replica: StateReplica[ShardState], writer: StreamWriter
    ) -> Leadership:
        """Return the leadership of *shard*; the caller runs it."""
        timings = self.settings.timings
        voter_client = GrpcVoterClient(
            self.local_daemon, self.voter, self.peers, timings.support_period
        )
        return Leadership(
            shard,
            self.local_daemon,
            replica,
            writer,
            voter_client,
            self.voter,
            self.peers,
            self.clock,
            timings,
        )
