"""What the leader of a shard wants to change, computed from what it knows."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable, Mapping

from fuchsiatrack.control.records import PartitionAssignment
from fuchsiatrack.control.state import PartitionOwner, ShardState
from fuchsiatrack.kernel import registry
from fuchsiatrack.model.check import eligible_servers
from fuchsiatrack.model.objects import HotKey, Placement
from fuchsiatrack.model.objectset import (
    ObjectSet,
    hot_partition,
    key_of_hot,
    slot_of,
    slot_of_hot,
)
from fuchsiatrack.plugins.placement import PlacementInput, PlacementPolicy


@dataclasses.dataclass(frozen=True)
class ServerView:
    """Whether a server can take partitions, and whether it must give up those it has."""

    usable: bool
    must_drain: bool


@dataclasses.dataclass(frozen=True)
class Plan:
    """Changes that are wanted; a split is a pair of slot and key, a merge a partition.

    `wanted` maps every partition to the server that the policy chose.
    """

    assign: tuple[PartitionAssignment, ...] = ()
    forced: tuple[PartitionAssignment, ...] = ()
    voluntary: tuple[PartitionAssignment, ...] = ()
    splits: tuple[tuple[str, str], ...] = ()
    merges: tuple[str, ...] = ()
    wanted: Mapping[str, str] = dataclasses.field(default_factory=dict)

    @property
    def has_changes(self) -> bool:
        """Whether anything should change."""
        return bool(self.assign or self.forced or self.voluntary or self.splits or self.merges)


class Planner:
    """Plans one service's partitions."""

    def __init__(self, service: str) -> None:
        self._service = service

    def plan(
        self,
        objects: ObjectSet,
        state: ShardState,
        view: Callable[[str], ServerView],
        load: Mapping[str, float],
    ) -> Plan:
        """Return what should change in *state* so that it follows *objects*."""
        slots = objects.partitions(self._service)
        plans = [
            self._plan_placement(objects, placement, slots, state, view, load)
            for placement in objects.placements.values()
            if placement.service == self._service
        ]
        return Plan(
            *(
                tuple(itertools.chain.from_iterable(getattr(plan, name) for plan in plans))
                for name in ("assign", "forced", "voluntary", "splits", "merges")
            ),
            wanted={name: server for plan in plans for name, server in plan.wanted.items()},
        )

    def _plan_placement(
        self,
        objects: ObjectSet,
        placement: Placement,
        slots: Mapping[str, object],
        state: ShardState,
        view: Callable[[str], ServerView],
        load: Mapping[str, float],
    ) -> Plan:
        own = [name for name, key_range in slots.items() if key_range.placement == placement.name]
        hot = [name for name in state.ownership if key_of_hot(name) and slot_of_hot(name) in own]
        servers = eligible_servers(objects, placement)
        capacity = {item.name: item.slots for item in servers if view(item.name).usable}
        owners = {
            name: state.ownership[name].server for name in own + hot if name in state.ownership
        }
        policy: PlacementPolicy = registry.find("placement", placement.policy)()
        pinned = _pins(objects, placement, hot, capacity)
        pinned |= _homecomings(objects, placement, hot, owners, capacity)
        wanted = policy.place(PlacementInput(own + hot, owners, load, capacity, pinned))
        names = {item.name for item in servers}

        def must_drain(name: str) -> bool:
            return name not in names or view(name).must_drain

        staying = {n: o for n, o in state.ownership.items() if n in owners and not o.revoked}
        return Plan(
            assign=_new(own, state.ownership, wanted),
            forced=_moves(staying, wanted, must_drain, True),
            voluntary=_moves(staying, wanted, must_drain, False),
            splits=_splits(objects, placement, staying, owners),
            merges=_merges(objects, placement, hot, staying),
            wanted=wanted,
        )


def _new(
    own: list[str], ownership: Mapping[str, PartitionOwner], wanted: Mapping[str, str]
) -> tuple[PartitionAssignment, ...]:
    return tuple(
        PartitionAssignment(name, wanted[name])
        for name in own
        if name not in ownership and name in wanted
    )


def _moves(
    staying: Mapping[str, PartitionOwner],
    wanted: Mapping[str, str],
    must_drain: Callable[[str], bool],
    forced: bool,
) -> tuple[PartitionAssignment, ...]:
    return tuple(
        PartitionAssignment(name, wanted[name])
        for name, owner in staying.items()
        if wanted.get(name, owner.server) != owner.server and must_drain(owner.server) == forced
    )


def _hot_names(objects: ObjectSet, placement: Placement) -> dict[str, HotKey]:
    named = {}
    for hot in placement.hot_keys:
        key_range = objects.range_of(placement.service, hot.key)
        if key_range is not None:
            named[hot_partition(slot_of(key_range, hot.key), hot.key)] = hot
    return named


def _pins(
    objects: ObjectSet, placement: Placement, hot: list[str], capacity: Mapping[str, int]
) -> dict[str, str]:
    listed = _hot_names(objects, placement)
    return {
        name: listed[name].server
        for name in hot
        if name in listed and listed[name].server in capacity
    }


def _homecomings(
    objects: ObjectSet,
    placement: Placement,
    hot: list[str],
    owners: Mapping[str, str],
    capacity: Mapping[str, int],
) -> dict[str, str]:
    """Hot partitions that are no longer listed go back to their slot's owner, then merge."""
    listed = _hot_names(objects, placement)
    return {
        name: owners[slot_of_hot(name)]
        for name in hot
        if name not in listed and owners.get(slot_of_hot(name)) in capacity
    }


def _splits(
    objects: ObjectSet,
    placement: Placement,
    staying: Mapping[str, PartitionOwner],
    owners: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (slot_of_hot(name), hot.key)
        for name, hot in _hot_names(objects, placement).items()
        if name not in owners and slot_of_hot(name) in staying
    )


def _merges(
    objects: ObjectSet, placement: Placement, hot: list[str], staying: Mapping[str, PartitionOwner]
) -> tuple[str, ...]:
    listed = _hot_names(objects, placement)
    return tuple(
        name
        for name in hot
        if name not in listed
        and name in staying
        and slot_of_hot(name) in staying
        and staying[name].server == staying[slot_of_hot(name)].server
    )
