"""Checks of the system's guarantees against what callers and servers recorded."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import math
import time
from collections.abc import Iterable, Mapping, Sequence

from fuchsiatrack_standins.fleet.server import NamedLimit, ServerStandIn
from fuchsiatrack_standins.soak.callers import DEADLINE_MS, KEYS, CompletedCall
from fuchsiatrack_standins.soak.daemons import DaemonState

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# The rules of the users' platform allow a response this long after the deadline if a request
# reaches its route's timeout.
MAX_LATENESS_MS = 500
# The rule LOST allows the connection of a request that was not passed on to end without an answer
# for this long after its last byte was sent.
LOSS_SLACK_S = 0.2
# The rule DRAIN allows requests to reach a server for this long after it left, if they come from
# daemons that had no disturbance for `CONTACT_S`.
DRAIN_S = 2.0
CONTACT_S = 3.0
# The rule LIMIT: from `CONTACT_S` after a server began to name a limit, it gets in this time at
# most 1.5 times what the limit allows and 5 requests more.
LIMIT_WINDOW_S = 4.0
LIMIT_EXCESS_RATIO = 1.5
LIMIT_EXCESS_REQUESTS = 5
# The rule OWNER of the users' platform (see docs/INVARIANTS.md) allows two servers to own a key for
# this long if neither executes requests for it.
MAX_OVERLAP_S = 0.5
SAMPLE_INTERVAL_S = 0.02


class OwnershipMonitor:
    """Detects keys that two servers own, or execute requests for, at the same time.

    `violations` lists what was detected, one text each.
    """

    def __init__(self, servers: Mapping[str, ServerStandIn]) -> None:
        self._servers = servers
        self._overlap_started_at_s: dict[int, float] = {}
        self.violations: list[str] = []

    async def run(self) -> None:
        """Take a sample every `SAMPLE_INTERVAL_S` until cancelled."""
        while True:
            self.sample(time.monotonic())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self, now_s: float) -> None:
        """Check all keys at *now_s*, a time of the monotonic clock."""
        keyed_servers = [server for server in self._servers.values() if server.keyed]
        for key in KEYS:
            owners = [server.id for server in keyed_servers if server.owns(key)]
            if len(owners) < 2:
                self._overlap_started_at_s.pop(key, None)
            elif now_s - self._overlap_started_at_s.setdefault(key, now_s) > MAX_OVERLAP_S:
                self.violations.append(f"key {key} held by {', '.join(owners)} for half a second")
                self._overlap_started_at_s.pop(key)
        executing = collections.defaultdict(set)
        for server in keyed_servers:
            # Only the newest runs of a server are checked. Older ones have finished, as it executes
            # few at once, and each takes only `WORK_MS` in a soak test.
            for run in server.runs[-200:]:
                if not run.finished:
                    executing[run.key].add(server.id)
        for key, server_ids in executing.items():
            if len(server_ids) > 1:
                self.violations.append(f"key {key} executed by {', '.join(sorted(server_ids))}")


def check_calls(
    calls: Iterable[CompletedCall], servers: Iterable[ServerStandIn], check_timing: bool = True
) -> list[str]:
    """Return a text for each guarantee that a call violated.

    Late responses count only if *check_timing* is set.
    """
    run_counts = collections.Counter(
        run.request_id for run in itertools.chain.from_iterable(server.runs for server in servers)
    )
    violations = []
    for call in calls:
        run_count = run_counts[call.request_id]
        if call.is_unread:
            if run_count:
                violations.append(f"{call.request_id} ran behind the last response of {call.vm}")
            continue
        if call.method == "POST" and run_count > 1:
            violations.append(f"order {call.request_id} ran {run_count} times")
        if call.method == "POST" and call.status in NOT_RUN_STATUSES and run_count:
            violations.append(f"order {call.request_id} ran but was rejected with {call.status}")
        if call.status == 200 and not call.text.endswith(call.request_id):
            violations.append(f"{call.request_id} received response {call.text!r}")
        is_healthy = call.state is DaemonState.HEALTHY
        response_ms = call.took_ms - call.paused_ms
        if check_timing and is_healthy and response_ms > DEADLINE_MS + MAX_LATENESS_MS:
            violations.append(
                f"{call.request_id} at {call.vm} took {call.took_ms} ms ({call.status})"
            )
        # A stopping daemon may close a connection while a request is arriving, but not once the
        # request runs or has been read.
        is_owed = call.state is DaemonState.STOPPING and (run_count or _is_read(call))
        if call.status == 0 and (is_healthy or is_owed):
            violations.append(f"{call.request_id} at {call.vm} received no response: {call.text}")
    return violations


def _is_read(call: CompletedCall) -> bool:
    """Return whether the daemon has had the whole request, as far as its caller can tell."""
    if call.whole_sent_at_s is None:
        return False
    return call.on_own_connection or call.ended_at_s > call.whole_sent_at_s + LOSS_SLACK_S


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A time in which the log service or a daemon was faulty; seconds of the monotonic clock."""

    started_at_s: float
    ended_at_s: float

    def excuses(self, moment_s: float) -> bool:
        """Return whether a late request at *moment_s* may be due to the disturbance."""
        return self.started_at_s <= moment_s < self.ended_at_s + CONTACT_S


def check_departures(
    servers: Iterable[ServerStandIn], disturbances: Sequence[Disturbance]
) -> list[str]:
    """Return a text for each request that reached a server which had left too long ago."""
    violations = []
    for server in servers:
        if server.left_at_s is None:
            continue
        for run in server.runs:
            late_s = run.arrived_at_s - server.left_at_s - DRAIN_S
            if late_s > 0 and not any(item.excuses(run.arrived_at_s) for item in disturbances):
                violations.append(
                    f"{run.request_id} reached {server.id} {late_s * 1_000:.0f} ms too late"
                )
    return violations


def check_limits(calls: Iterable[CompletedCall], servers: Iterable[ServerStandIn]) -> list[str]:
    """Return a text for each server that got more requests than the limit that it had named.

    Requests through a daemon that was not healthy are not counted, as a restart, pause or cut of a
    daemon excuses it.
    """
    healthy = {call.request_id for call in calls if call.state is DaemonState.HEALTHY}
    violations = []
    for server in servers:
        times_s = [item.at_s for item in server.arrivals if item.request_id in healthy]
        for start_s in times_s:
            allowed = _allowed_requests(server.limits, start_s)
            if allowed is None:
                continue
            count = sum(1 for at_s in times_s if start_s <= at_s < start_s + LIMIT_WINDOW_S)
            if count > allowed:
                violations.append(
                    f"{server.id} got {count} requests in {LIMIT_WINDOW_S} s; allowed {allowed:.1f}"
                )
                break
    return violations


def _allowed_requests(limits: Sequence[NamedLimit], start_s: float) -> float | None:
    """Return how many requests *limits* allow in the window from *start_s*.

    None if the window is not bound: the server began to name a limit less than `CONTACT_S` before,
    or names none, or a malformed value, in a part of it.
    """
    known = [item for item in limits if item.since_s <= start_s]
    current = list(itertools.takewhile(lambda item: item.value is not None, reversed(known)))
    if not current or start_s < current[-1].since_s + CONTACT_S:
        return None
    end_s, allowed = start_s + LIMIT_WINDOW_S, float(LIMIT_EXCESS_REQUESTS)
    for limit, next_limit in itertools.zip_longest(limits, limits[1:]):
        limit_end_s = next_limit.since_s if next_limit is not None else math.inf
        overlap_s = min(end_s, limit_end_s) - max(start_s, limit.since_s)
        if overlap_s <= 0:
            continue
        if limit.rate is None:
            return None
        allowed += LIMIT_EXCESS_RATIO * limit.rate * overlap_s
    return allowed
