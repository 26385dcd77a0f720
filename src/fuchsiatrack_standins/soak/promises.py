"""The promises that a soak checks, from what callers and servers saw."""

from __future__ import annotations

import asyncio
import collections
import itertools
import time
from collections.abc import Iterable, Mapping

from fuchsiatrack_standins.fleet.instance import InstanceStandIn
from fuchsiatrack_standins.soak.callers import DEADLINE_MS, KEYS, Call
from fuchsiatrack_standins.soak.daemons import State

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# How long after its deadline a request may be answered, in milliseconds; the users' rule for
# requests that reach their route's timeout.
LATE_MAX = 500
# How long two servers may hold one key, in seconds; the users' rule for holds without requests.
OVERLAP_MAX_S = 0.5
SAMPLE_S = 0.02


class OwnerWatch:
    """Looks for keys that two servers hold or work on; `broken` says what was seen."""

    def __init__(self, servers: Mapping[str, InstanceStandIn]) -> None:
        self._servers = servers
        self._since: dict[int, float] = {}
        self.broken: list[str] = []

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.look(time.monotonic())
            await asyncio.sleep(SAMPLE_S)

    def look(self, now: float) -> None:
        """Look once."""
        keyed = [server for server in self._servers.values() if server.keyed]
        for key in KEYS:
            holders = [server.id for server in keyed if server.holds(key)]
            if len(holders) < 2:
                self._since.pop(key, None)
            elif now - self._since.setdefault(key, now) > OVERLAP_MAX_S:
                self.broken.append(f"key {key} held by {', '.join(holders)} for half a second")
                self._since.pop(key)
        working = collections.defaultdict(set)
        for server in keyed:
            for run in server.runs[-200:]:
                if not run.finished:
                    working[run.key].add(server.id)
        for key, names in working.items():
            if len(names) > 1:
                self.broken.append(f"key {key} worked on by {', '.join(sorted(names))}")


def check_calls(
    calls: Iterable[Call], servers: Iterable[InstanceStandIn], timed: bool = True
) -> list[str]:
    """Return which promises *calls* broke; those on time only when *timed*."""
    runs = collections.Counter(
        run.request_id for run in itertools.chain.from_iterable(item.runs for item in servers)
    )
    broken = []
    for call in calls:
        ran = runs[call.request_id]
        if call.method == "POST" and ran > 1:
            broken.append(f"order {call.request_id} ran {ran} times")
        if call.method == "POST" and call.status in PROMISES and ran:
            broken.append(f"order {call.request_id} ran and was answered {call.status}")
        if call.status == 200 and not call.text.endswith(call.request_id):
            broken.append(f"{call.request_id} got the answer {call.text!r}")
        well = call.state is State.WELL
        if timed and well and call.took_ms > DEADLINE_MS + LATE_MAX:
            broken.append(f"{call.request_id} at {call.vm} took {call.took_ms} ms ({call.status})")
        # A request that crosses the close of a stopping daemon may be cut, but not once it runs.
        if call.status == 0 and (well or (call.state is State.STOPPING and ran)):
            broken.append(f"{call.request_id} at {call.vm} was cut: {call.text}")
    return broken
