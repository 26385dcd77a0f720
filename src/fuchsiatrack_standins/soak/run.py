"""Soak test of a single seed."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib

from fuchsiatrack_standins.soak.daemons import RETRY_BUDGET
from fuchsiatrack_standins.soak.environment import SERVICE_OF_PATH, Environment
from fuchsiatrack_standins.soak.faults import FaultInjector
from fuchsiatrack_standins.soak.guarantees import (
    OwnershipMonitor,
    check_calls,
    check_departures,
    check_limits,
)
from fuchsiatrack_standins.soak.serverwishes import check_leaving, check_pauses, check_repeats

CALLER_COUNT = 8
# Of so many seeds, one injects only changes, so that daemons are bound all the time.
CHANGES_ONLY_EVERY = 3
MAX_SHOWN_VIOLATIONS = 12


@dataclasses.dataclass(frozen=True)
class SoakResult:
    """Injected faults of a seed, number of calls by status, and violated guarantees."""

    seed: int
    faults: tuple[str, ...]
    statuses: dict[int, int]
    violations: tuple[str, ...]

    def describe(self) -> str:
        """Return a readable summary of several lines.

        It shows at most `MAX_SHOWN_VIOLATIONS` violations.
        """
        lines = [
            f"seed {self.seed}: {'BROKEN' if self.violations else 'kept'}; {self.statuses}",
            f"  {', '.join(self.faults)}",
            *(f"  {violation}" for violation in self.violations[:MAX_SHOWN_VIOLATIONS]),
        ]
        return "\n".join(lines)


async def run_seed(
    seed: int,
    duration: float,
    daemon_count: int,
    directory: pathlib.Path,
    check_timing: bool = True,
) -> SoakResult:
    """Inject faults of *seed* for *duration* seconds, then check that all requests are served.

    Settings files and logs go to *directory*. Unless *check_timing* is set, late responses,
    failed graceful stops and late requests to servers that left are ignored, for runs on a busy
    machine.
    """
    environment = Environment(daemon_count, seed, directory)
    only_changes = seed % CHANGES_ONLY_EVERY == 0
    injector, tasks = FaultInjector(environment, seed, only_changes), []
    monitor = OwnershipMonitor(environment.servers)
    try:
        await environment.start()
        tasks = [asyncio.create_task(environment.callers.run()) for _ in range(CALLER_COUNT)]
        tasks += [asyncio.create_task(item.run()) for item in environment.persistent_callers]
        tasks += [asyncio.create_task(item.run()) for item in environment.raw_callers]
        tasks.append(asyncio.create_task(monitor.run()))
        await injector.run(duration)
        failures = await environment.wait_until_served()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await environment.stop()
    calls = environment.callers.calls
    disturbed_at_s = {daemon.vm: daemon.disturbed_at_s for daemon in environment.daemons}
    violations = [
        *monitor.violations,
        *failures,
        *check_calls(calls, environment.all_servers, check_timing),
        *check_limits(calls, environment.all_servers),
        *check_repeats(calls, environment.all_servers, SERVICE_OF_PATH, RETRY_BUDGET),
        *check_leaving(calls, environment.all_servers, disturbed_at_s),
        *check_pauses(calls, environment.all_servers, disturbed_at_s, injector.link_faults),
    ]
    if check_timing:
        violations += injector.violations
        violations += check_departures(environment.all_servers, injector.disturbances)
    statuses = dict(sorted(collections.Counter(call.status for call in calls).items()))
    return SoakResult(seed, tuple(injector.injected), statuses, tuple(violations))
