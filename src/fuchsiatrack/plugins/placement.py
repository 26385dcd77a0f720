"""Placement policies: which backend server should own which partition."""

from __future__ import annotations

import abc
import dataclasses
import hashlib
import math
from collections.abc import Mapping, Sequence

from fuchsiatrack.kernel.registry import register


@dataclasses.dataclass(frozen=True)
class PlacementInput:
    """What a policy decides on.

    `owners` maps a partition to its present owner; `load` maps a partition to its share of the
    work, in requests a second; `capacity` maps a usable server to its slots.  `pinned` maps
    partitions to usable servers that no policy may change.
    """

    partitions: Sequence[str]
    owners: Mapping[str, str]
    load: Mapping[str, float]
    capacity: Mapping[str, int]
    pinned: Mapping[str, str] = dataclasses.field(default_factory=dict)


class PlacementPolicy(abc.ABC):
    """Chooses an owner for each partition."""

    @abc.abstractmethod
    def place(self, given: PlacementInput) -> dict[str, str]:
        """Return the wanted owner of each partition; empty when no server is usable."""


def _score(partition: str, server: str, capacity: int) -> float:
    digest = hashlib.blake2b(f"{partition}\0{server}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -capacity / math.log(uniform)


def rank_servers(partition: str, capacity: Mapping[str, int]) -> list[str]:
    """Return the servers by weighted rendezvous hashing, best first."""
    return sorted(capacity, key=lambda server: -_score(partition, server, capacity[server]))


@dataclasses.dataclass(frozen=True)
class _Need:
    """A partition that needs a server: its work, the servers' work so far, and their bounds."""

    partition: str
    weight: float
    used: Mapping[str, float]
    limits: Mapping[str, float]


@register("placement", "rendezvous")
class RendezvousPlacement(PlacementPolicy):
    """The best server by weighted rendezvous hashing; knows nothing of load."""

    def place(self, given: PlacementInput) -> dict[str, str]:
        if not given.capacity:
            return {}
        return {
            partition: given.pinned.get(partition) or rank_servers(partition, given.capacity)[0]
            for partition in given.partitions
        }


@register("placement", "bounded-load")
class BoundedLoadPlacement(PlacementPolicy):
    """Keeps present owners, and gives no server more than a bounded share of partitions.

    A partition without a usable owner goes to the best server by rendezvous hashing that is
    below its bound.  A partition above its owner's bound is moved.
    """

    bound = 1.25

    def place(self, given: PlacementInput) -> dict[str, str]:
        if not given.capacity:
            return {}
        weights = self._weights(given)
        limits = self._limits(given, sum(weights.values()))
        used = dict.fromkeys(given.capacity, 0.0)
        wanted = dict(given.pinned)
        for partition, server in wanted.items():
            used[server] += weights[partition]
        for partition in sorted(given.partitions, key=lambda name: (-weights[name], name)):
            owner = given.owners.get(partition, "")
            if partition in wanted or owner not in used:
                continue
            if used[owner] + weights[partition] <= limits[owner]:
                wanted[partition] = owner
                used[owner] += weights[partition]
        for partition in given.partitions:
            if partition not in wanted:
                need = _Need(partition, weights[partition], used, limits)
                server = self._choose(need, given.capacity)
                wanted[partition] = server
                used[server] += weights[partition]
        return wanted

    def _weights(self, given: PlacementInput) -> dict[str, float]:
        return dict.fromkeys(given.partitions, 1.0)

    def _limits(self, given: PlacementInput, total: float) -> dict[str, float]:
        slots = sum(given.capacity.values())
        return {
            server: math.ceil(self.bound * total * capacity / slots)
            for server, capacity in given.capacity.items()
        }

    def _choose(self, need: _Need, capacity: Mapping[str, int]) -> str:
        ranked = rank_servers(need.partition, capacity)
        fitting = (name for name in ranked if need.used[name] + need.weight <= need.limits[name])
        least = min(ranked, key=lambda name: need.used[name] / capacity[name])
        return next(fitting, least)


@register("placement", "load-aware")
class LoadAwarePlacement(BoundedLoadPlacement):
    """Like bounded load, but weighs each partition by its measured work.

    `hysteresis` is the share by which a server may exceed its fair work before one of its
    partitions moves; it keeps small changes of load from moving keys.
    """

    bound = 1.1
    hysteresis = 0.3

    def _weights(self, given: PlacementInput) -> dict[str, float]:
        total = sum(given.load.get(name, 0.0) for name in given.partitions)
        mean = total / len(given.partitions) if given.partitions else 0.0
        floor = mean / 4 or 1.0
        return {name: max(given.load.get(name, 0.0), floor) for name in given.partitions}

    def _limits(self, given: PlacementInput, total: float) -> dict[str, float]:
        slots = sum(given.capacity.values())
        return {
            server: (1 + self.hysteresis) * total * capacity / slots
            for server, capacity in given.capacity.items()
        }

    def _choose(self, need: _Need, capacity: Mapping[str, int]) -> str:
        return min(
            rank_servers(need.partition, capacity),
            key=lambda name: (need.used[name] + need.weight) / capacity[name],
        )
