"""Placement policies, which select the owner of each partition among the backend servers."""

from __future__ import annotations

import abc
import dataclasses
import hashlib
import math
from collections.abc import Mapping, Sequence

from fuchsiatrack.kernel.registry import register


@dataclasses.dataclass(frozen=True)
class PlacementInput:
    """The state that a policy decides on.

    `owners` maps partitions to their current owners; `load` maps partitions to their requests
    per second; `capacity` maps usable servers to their concurrency slots.  `pinned` maps
    partitions to usable servers that the policy must keep.
    """

    partitions: Sequence[str]
    owners: Mapping[str, str]
    load: Mapping[str, float]
    capacity: Mapping[str, int]
    pinned: Mapping[str, str] = dataclasses.field(default_factory=dict)


class PlacementPolicy(abc.ABC):
    """Selects an owner for each partition."""

    @abc.abstractmethod
    def place(self, inputs: PlacementInput) -> dict[str, str]:
        """Return the owner that each partition should have; empty if no server is usable."""


def _score(partition: str, server: str, capacity: int) -> float:
    digest = hashlib.blake2b(f"{partition}\0{server}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -capacity / math.log(uniform)


def rank_servers(partition: str, capacity: Mapping[str, int]) -> list[str]:
    """Return the servers in *capacity* by weighted rendezvous hashing, best first."""
    return sorted(capacity, key=lambda server: -_score(partition, server, capacity[server]))


@dataclasses.dataclass(frozen=True)
class _PartitionDemand:
    """A partition without a server: its weight, and the loads and limits of the servers."""

    partition: str
    weight: float
    assigned_load: Mapping[str, float]
    load_limits: Mapping[str, float]


@register("placement", "rendezvous")
class RendezvousPlacement(PlacementPolicy):
    """Selects the best server by weighted rendezvous hashing, regardless of load."""

    def place(self, inputs: PlacementInput) -> dict[str, str]:
        if not inputs.capacity:
            return {}
        return {
            partition: inputs.pinned.get(partition) or rank_servers(partition, inputs.capacity)[0]
            for partition in inputs.partitions
        }


@register("placement", "bounded-load")
class BoundedLoadPlacement(PlacementPolicy):
    """Keeps current owners while no server exceeds a bounded share of the partitions.

    `bound_factor` is the limit of a server relative to its share by capacity.  A partition
    without a usable owner goes to the best server by rendezvous hashing that stays within its
    limit.  A partition that exceeds its owner's limit is moved.
    """

    bound_factor = 1.25

    def place(self, inputs: PlacementInput) -> dict[str, str]:
        if not inputs.capacity:
            return {}
        weights = self._weights(inputs)
        load_limits = self._load_limits(inputs, sum(weights.values()))
        assigned_load = dict.fromkeys(inputs.capacity, 0.0)
        placed = dict(inputs.pinned)
        for partition, server in placed.items():
            assigned_load[server] += weights[partition]
        for partition in sorted(inputs.partitions, key=lambda name: (-weights[name], name)):
            owner = inputs.owners.get(partition, "")
            if partition in placed or owner not in assigned_load:
                continue
            if assigned_load[owner] + weights[partition] <= load_limits[owner]:
                placed[partition] = owner
                assigned_load[owner] += weights[partition]
        for partition in inputs.partitions:
            if partition not in placed:
                demand = _PartitionDemand(partition, weights[partition], assigned_load, load_limits)
                server = self._select_server(demand, inputs.capacity)
                placed[partition] = server
                assigned_load[server] += weights[partition]
        return placed

    def _weights(self, inputs: PlacementInput) -> dict[str, float]:
        return dict.fromkeys(inputs.partitions, 1.0)

    def _load_limits(self, inputs: PlacementInput, total: float) -> dict[str, float]:
        slots = sum(inputs.capacity.values())
        return {
            server: math.ceil(self.bound_factor * total * capacity / slots)
            for server, capacity in inputs.capacity.items()
        }

    def _select_server(self, demand: _PartitionDemand, capacity: Mapping[str, int]) -> str:
        ranked = rank_servers(demand.partition, capacity)
        fitting = (
            name
            for name in ranked
            if demand.assigned_load[name] + demand.weight <= demand.load_limits[name]
        )
        least_loaded = min(ranked, key=lambda name: demand.assigned_load[name] / capacity[name])
        return next(fitting, least_loaded)


@register("placement", "load-aware")
class LoadAwarePlacement(BoundedLoadPlacement):
    """Like bounded-load, but weighs each partition by its measured load.

    Each partition that is neither pinned nor kept by its owner goes to the server with the lowest
    resulting load relative to its capacity.  `bound_factor` has no effect.
    `hysteresis_share` is the share by which a server may exceed its share of the load by capacity
    before one of its partitions moves, so that small changes of load do not move keys.
    """

    # Unused: `_load_limits` applies `hysteresis_share` instead.
    bound_factor = 1.1
    hysteresis_share = 0.3

    def _weights(self, inputs: PlacementInput) -> dict[str, float]:
        total = sum(inputs.load.get(name, 0.0) for name in inputs.partitions)
        mean = total / len(inputs.partitions) if inputs.partitions else 0.0
        min_weight = mean / 4 or 1.0
        return {name: max(inputs.load.get(name, 0.0), min_weight) for name in inputs.partitions}

    def _load_limits(self, inputs: PlacementInput, total: float) -> dict[str, float]:
        slots = sum(inputs.capacity.values())
        return {
            server: (1 + self.hysteresis_share) * total * capacity / slots
            for server, capacity in inputs.capacity.items()
        }

    def _select_server(self, demand: _PartitionDemand, capacity: Mapping[str, int]) -> str:
        return min(
            rank_servers(demand.partition, capacity),
            key=lambda name: (demand.assigned_load[name] + demand.weight) / capacity[name],
        )
