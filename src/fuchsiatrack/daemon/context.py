"""What every part of one daemon shares."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import aiohttp

from fuchsiatrack.control.appendlog import AppendLog
from fuchsiatrack.control.follower import Follower
from fuchsiatrack.control.leadership import Leadership
from fuchsiatrack.control.records import Daemon
from fuchsiatrack.control.state import ReplayState, ShardState
from fuchsiatrack.control.voter import Voter
from fuchsiatrack.control.votercalls import PeerVoterCalls
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.kernel.settings import Settings
from fuchsiatrack.peers.directory import PeerDirectory


@dataclasses.dataclass(frozen=True)
class Context:
    """The daemon's identity, clock, outside services and voter."""

    settings: Settings
    me: Daemon
    clock: Clock
    metrics: Metrics
    log: AppendLog
    peers: PeerDirectory
    voter: Voter
    session: aiohttp.ClientSession
    rng: random.Random

    def follow(self, stream: str, create: Callable[[], ReplayState]) -> Follower:
        """Return a follower of *stream*, not yet running."""
        return Follower(self.log, stream, create, self.clock, self.settings.timings.log_wait)

    def write(self, follower: Follower) -> StreamWriter:
        """Return a writer to the stream of *follower*."""
        return StreamWriter(self.log, follower, self.me.incarnation, self.clock)

    def lead(self, shard: str, follower: Follower[ShardState], writer: StreamWriter) -> Leadership:
        """Return the leadership of *shard*, not yet running."""
        timings = self.settings.timings
        calls = PeerVoterCalls(self.me, self.voter, self.peers, timings.support_period)
        return Leadership(
            shard, self.me, follower, writer, calls, self.voter, self.peers, self.clock, timings
        )
