"""One seed of the soak."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib

from fuchsiatrack_standins.soak.faults import Faults
from fuchsiatrack_standins.soak.promises import OwnerWatch, check_calls
from fuchsiatrack_standins.soak.scene import Scene

CALLERS = 8
# Lines of broken promises that a description shows.
SHOWN_MAX = 12


@dataclasses.dataclass(frozen=True)
class SoakResult:
    """What a seed played and broke."""

    seed: int
    faults: tuple[str, ...]
    statuses: dict[int, int]
    broken: tuple[str, ...]

    def describe(self) -> str:
        """Return some lines for people."""
        lines = [
            f"seed {self.seed}: {'BROKEN' if self.broken else 'kept'}; {self.statuses}",
            f"  {', '.join(self.faults)}",
            *(f"  {item}" for item in self.broken[:SHOWN_MAX]),
        ]
        return "\n".join(lines)


async def run_seed(
    seed: int, duration: float, daemons: int, directory: pathlib.Path, timed: bool = True
) -> SoakResult:
    """Play faults of *seed* for *duration* seconds, then look whether all is served again.

    Unless *timed*, answers and stops may take longer than promised, as on a crowded machine.
    """
    scene = Scene(daemons, seed, directory)
    faults, tasks = Faults(scene, seed), []
    watch = OwnerWatch(scene.servers)
    try:
        await scene.start()
        tasks = [asyncio.create_task(scene.callers.run()) for _ in range(CALLERS)]
        tasks.append(asyncio.create_task(watch.run()))
        await faults.run(duration)
        missing = await scene.wait_served()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await scene.stop()
    calls = scene.callers.calls
    broken = [*watch.broken, *missing, *check_calls(calls, scene.everyone, timed)]
    if timed:
        broken += faults.broken
    statuses = dict(sorted(collections.Counter(call.status for call in calls).items()))
    return SoakResult(seed, tuple(faults.played), statuses, tuple(broken))
