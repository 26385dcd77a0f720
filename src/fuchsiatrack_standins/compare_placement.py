"""Comparison of placement policies on the same seeded load and server losses, for both examples.

In each step of one minute, the load of partitions varies, hot partitions change, and servers fail,
drain or return.  Prints imbalance, churn, unavailable time, and the cost by the weights of the
example's Placement.
"""

from __future__ import annotations

import dataclasses
import pathlib
import random
import statistics

from absl import app, flags
from tabulate import tabulate

from fuchsiatrack.kernel import registry
from fuchsiatrack.model.check import check_paths
from fuchsiatrack.model.objects import CostWeights, Placement
from fuchsiatrack.plugins.placement import PlacementInput

_SEEDS = flags.DEFINE_integer("seeds", 10, "Number of seeds.")
DURATION_MINUTES = 240
# Unavailable time of a partition after a planned move, and after the loss of its owner.
MOVE_UNAVAILABLE_S, LOSS_UNAVAILABLE_S = 0.05, 2.1
SERVICE_BY_EXAMPLE = {"mist-poles": "poles", "shell-grit": "stock"}
HOT_PARTITION_COUNT, HOT_LOAD_FACTOR, HOT_PERIOD_MINUTES = 4, 12.0, 15


@dataclasses.dataclass(frozen=True)
class Measures:
    """Means over a run.

    Imbalance is the load of the busiest server over the mean; churn is moves per minute;
    unavailable is partition seconds per minute.
    """

    imbalance: float
    churn: float
    unavailable: float

    def cost(self, weights: CostWeights) -> float:
        """Return the weighted cost."""
        return (
            weights.imbalance * (self.imbalance - 1)
            + weights.churn * self.churn
            + weights.unavailable * self.unavailable
        )


class Workload:
    """Seeded sequence of load and server losses, the same for every policy."""

    def __init__(self, partitions: list[str], servers: list[str], seed: int) -> None:
        self._rng = random.Random(seed)
        self._mean_loads = {name: self._rng.lognormvariate(0, 0.6) for name in partitions}
        self._servers = servers
        self._partitions = partitions
        self._hot_partitions: list[str] = []
        self._down_until: dict[str, int] = {}

    def step(self, minute: int) -> tuple[dict[str, float], set[str], set[str]]:
        """Return the load by partition, the available servers, and those that just failed.

        Servers that drain are neither available nor failed.
        """
        if minute % HOT_PERIOD_MINUTES == 0:
            self._hot_partitions = self._rng.sample(self._partitions, HOT_PARTITION_COUNT)
        load = {
            name: mean_load
            * self._rng.uniform(0.8, 1.2)
            * (HOT_LOAD_FACTOR if name in self._hot_partitions else 1)
            for name, mean_load in self._mean_loads.items()
        }
        self._down_until = {
            name: end_minute for name, end_minute in self._down_until.items() if end_minute > minute
        }
        failed = set()
        # Probability that a server fails or drains in this minute.
        if self._rng.random() < 0.03:
            name = self._rng.choice(
                [name for name in self._servers if name not in self._down_until]
            )
            self._down_until[name] = minute + self._rng.randrange(2, 20)
            # Of these servers, half fail and the others drain.
            if self._rng.random() < 0.5:
                failed.add(name)
        return load, {name for name in self._servers if name not in self._down_until}, failed


def run_policy(policy_name: str, objects, service: str, seed: int) -> Measures:  # noqa: ANN001
    """Return the measures of one policy on the workload with *seed*."""
    placement = next(p for p in objects.placements.values() if p.service == service)
    partitions = sorted(objects.partitions(service))
    slots = {server.name: server.slots for server in objects.servers(service)}
    workload = Workload(partitions, sorted(slots), seed)
    policy = registry.find("placement", policy_name)()
    owners: dict[str, str] = {}
    smoothed_load: dict[str, float] = {}
    imbalances, churn, unavailable = [], 0, 0.0
    for minute in range(DURATION_MINUTES):
        load, available, failed = workload.step(minute)
        smoothed_load = {
            name: smoothed_load.get(name, current) * 0.5 + current * 0.5
            for name, current in load.items()
        }
        capacity = {name: slots[name] for name in sorted(available)}
        targets = policy.place(PlacementInput(partitions, owners, smoothed_load, capacity))
        moves = _moves_within_budget(owners, targets, available, placement)
        if minute:
            churn += len(moves)
            unavailable += sum(
                LOSS_UNAVAILABLE_S if owners[p] in failed else MOVE_UNAVAILABLE_S for p in moves
            )
        owners = {**owners, **moves} if owners else dict(targets)
        server_loads = dict.fromkeys(available, 0.0)
        for name, server in owners.items():
            server_loads[server] += load[name]
        imbalances.append(max(server_loads.values()) / statistics.mean(server_loads.values()))
    return Measures(
        statistics.mean(imbalances), churn / DURATION_MINUTES, unavailable / DURATION_MINUTES
    )


def _moves_within_budget(
    owners: dict[str, str], targets: dict[str, str], available: set[str], placement: Placement
) -> dict[str, str]:
    """Return the moves of one minute: all forced ones, and voluntary ones within the budget."""
    moves = {name: targets[name] for name in owners if owners[name] != targets[name]}
    forced = {name: target for name, target in moves.items() if owners[name] not in available}
    voluntary = [name for name in moves if name not in forced][: placement.moves_per_minute]
    return forced | {name: moves[name] for name in voluntary}


def _main(argv: list[str]) -> int:
    registry.load_plugins()
    rows = []
    for example, service in SERVICE_BY_EXAMPLE.items():
        objects = check_paths([pathlib.Path("examples") / example]).objects
        weights = next(p.weights for p in objects.placements.values() if p.service == service)
        for name in registry.names("placement"):
            runs = [run_policy(name, objects, service, seed) for seed in range(_SEEDS.value)]
            means = Measures(
                *(
                    statistics.mean(getattr(run, field.name) for run in runs)
                    for field in dataclasses.fields(Measures)
                )
            )
            row = (example, name, *dataclasses.astuple(means), means.cost(weights))
            rows.append(row)
    headers = ("example", "policy", "imbalance", "moves/min", "unavailable s/min", "cost")
    print(tabulate(rows, headers=headers, floatfmt=".3f"))
    return 0


if __name__ == "__main__":
    app.run(_main)
