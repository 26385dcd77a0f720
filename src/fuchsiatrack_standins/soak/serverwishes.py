"""Checks of what servers ask of the daemons, and of the retries that they get."""

from __future__ import annotations

import bisect
import collections
import contextlib
from collections.abc import Iterable, Mapping, Sequence

from fuchsiatrack.limits.retryratio import RetryBudgetSettings
from fuchsiatrack_standins.fleet.server import ServerStandIn, TurnedAway
from fuchsiatrack_standins.soak.callers import CompletedCall
from fuchsiatrack_standins.soak.guarantees import DRAIN_S, Disturbance

# The rule BUDGET: from this time after a server asked a daemon for a pause until the end of the
# pause, at most `PAUSE_REQUESTS` requests of that daemon reach the server.
PAUSE_NOTICE_S = 0.5
PAUSE_REQUESTS = 2


def check_leaving(
    calls: Sequence[CompletedCall],
    servers: Iterable[ServerStandIn],
    disturbed_at_s: Mapping[str, Sequence[float]],
) -> list[str]:
    """Return a text for each request that its daemon sent to a server that had said that it leaves.

    The rule DRAIN binds a daemon from `DRAIN_S` after it passed such a response on, until it is
    disturbed.  *disturbed_at_s* has the times of disturbances of each daemon.
    """
    by_id = {call.request_id: call for call in calls}
    notices = collections.defaultdict(list)
    for call in calls:
        if call.leaving:
            notices[call.text.partition(" ")[0], call.vm].append(call.ended_at_s)
    violations = []
    for server in servers:
        for arrival in server.arrivals:
            call = by_id.get(arrival.request_id)
            if call is None:
                continue
            binding = [
                notice_s
                for notice_s in notices[server.id, call.vm]
                if notice_s + DRAIN_S < call.sent_at_s
                and not _is_between(disturbed_at_s[call.vm], notice_s, arrival.at_s)
            ]
            if binding:
                late_s = call.sent_at_s - min(binding) - DRAIN_S
                violations.append(
                    f"{call.request_id} at {call.vm} reached {server.id}, which had said that it "
                    f"leaves, {late_s * 1_000:.0f} ms too late"
                )
    return violations


def check_pauses(
    calls: Iterable[CompletedCall],
    servers: Iterable[ServerStandIn],
    disturbed_at_s: Mapping[str, Sequence[float]],
    link_faults: Mapping[str, Sequence[Disturbance]],
) -> list[str]:
    """Return a text for each pause that a server asked a daemon for and did not get.

    *link_faults* has the times in which the connections to each server were disturbed.
    """
    vm_of = {call.request_id: call.vm for call in calls}
    violations = []
    for server in servers:
        arrivals = collections.defaultdict(list)
        for arrival in server.arrivals:
            arrivals[vm_of.get(arrival.request_id)].append(arrival.at_s)
        for rejection in server.turned_away:
            vm, pause_s = vm_of.get(rejection.request_id), _pause(rejection)
            is_cut = any(item.excuses(rejection.at_s) for item in link_faults.get(server.id, ()))
            if vm is None or pause_s is None or is_cut:
                continue
            unwanted = [
                at_s
                for at_s in arrivals[vm]
                if rejection.at_s + PAUSE_NOTICE_S < at_s < rejection.at_s + pause_s
                and not _is_between(disturbed_at_s[vm], rejection.at_s, at_s)
            ]
            if len(unwanted) > PAUSE_REQUESTS:
                violations.append(
                    f"{server.id} got {len(unwanted)} requests of {vm} in a pause of {pause_s} s"
                )
    return violations


def check_repeats(
    calls: Iterable[CompletedCall],
    servers: Iterable[ServerStandIn],
    services: Mapping[str, str],
    budget: RetryBudgetSettings,
) -> list[str]:
    """Return a text for each service that got more retries in a window than *budget* allows.

    *services* has the service of each path.  Nothing excuses a retry.
    """
    requests = collections.defaultdict(list)
    for call in calls:
        requests[services[call.path]].append(call.sent_at_s)
    first_arrivals: dict[tuple[str, str], float] = {}
    retries = collections.defaultdict(list)
    arrivals = [(item.at_s, server.service, item) for server in servers for item in server.arrivals]
    for at_s, service, arrival in sorted(arrivals, key=lambda row: row[0]):
        if (service, arrival.request_id) in first_arrivals:
            retries[service].append(at_s)
        first_arrivals.setdefault((service, arrival.request_id), at_s)
    return [
        violation
        for service, times_s in retries.items()
        if (violation := _exceeded(service, sorted(requests[service]), times_s, budget))
    ]


def _exceeded(
    service: str, requests: list[float], retries: list[float], budget: RetryBudgetSettings
) -> str:
    window_s = budget.window / 1_000

    def count(times_s: list[float], start_s: float) -> int:
        end = bisect.bisect_left(times_s, start_s + window_s)
        return end - bisect.bisect_left(times_s, start_s)

    for start_s in retries:
        starts = (start_s, start_s - window_s / 2, start_s - window_s)
        allowed = budget.ratio * max(count(requests, item) for item in starts) + budget.fixed
        if count(retries, start_s) > allowed:
            return f"{service} got {count(retries, start_s)} retries in a window, of {allowed:.1f}"
    return ""


def _is_between(times_s: Sequence[float], start_s: float, end_s: float) -> bool:
    return any(start_s <= at_s <= end_s for at_s in times_s)


def _pause(rejection: TurnedAway) -> float | None:
    """Return the pause in seconds, None if the value is malformed."""
    with contextlib.suppress(ValueError):
        return float(rejection.retry_after)
    return None
