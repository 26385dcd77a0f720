"""Planning of assignments, moves, splits and merges for the leader of a shard."""

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
    key_of_hot_partition,
    slot_of,
    slot_of_hot_partition,
)
from fuchsiatrack.plugins.placement import PlacementInput, PlacementPolicy


@dataclasses.dataclass(frozen=True)
class ServerView:
    """Whether a server can take partitions, and whether it must release those it has."""

    usable: bool
    must_release: bool


@dataclasses.dataclass(frozen=True)
class Plan:
    """Changes to make to the ownership of one service.

    `forced` moves leave a server that must release its partitions; `voluntary` moves improve the
    balance.  A split is a pair of slot partition and key; a merge is the partition of one key.
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
        """Whether the plan contains any change."""
        return bool(self.assign or self.forced or self.voluntary or self.splits or self.merges)


class Planner:
    """Plans the ownership of one service's partitions."""

    def __init__(self, service: str) -> None:
        self._service = service

    def plan(
        self,
        objects: ObjectSet,
        state: ShardState,
        view: Callable[[str], ServerView],
        load: Mapping[str, float],
    ) -> Plan:
        """Return the changes that bring *state* in line with *objects*.

        *view* returns the view of a server by name; *load* is the smoothed request rate
        of each partition per daemon report, in requests per second.
        """
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
        slot_names = [
            name for name, key_range in slots.items() if key_range.placement == placement.name
        ]
        hot_names = [
            name
            for name in state.ownership
            if key_of_hot_partition(name) and slot_of_hot_partition(name) in slot_names
        ]
        servers = eligible_servers(objects, placement)
        capacity = {item.name: item.slots for item in servers if view(item.name).usable}
        owners = {
            name: state.ownership[name].server
            for name in slot_names + hot_names
            if name in state.ownership
        }
        policy: PlacementPolicy = registry.find("placement", placement.policy)()
        pinned = _listed_owners(objects, placement, hot_names, capacity)
        pinned |= _merge_targets(objects, placement, hot_names, owners, capacity)
        wanted = policy.place(
            PlacementInput(slot_names + hot_names, owners, load, capacity, pinned)
        )
        names = {item.name for item in servers}

        def must_release(name: str) -> bool:
            return name not in names or view(name).must_release

        unrevoked = {n: o for n, o in state.ownership.items() if n in owners and not o.revoked}
        return Plan(
            assign=_new_assignments(slot_names, state.ownership, wanted),
            forced=_moves(unrevoked, wanted, must_release, True),
            voluntary=_moves(unrevoked, wanted, must_release, False),
            splits=_splits(objects, placement, unrevoked, owners),
            merges=_merges(objects, placement, hot_names, unrevoked),
            wanted=wanted,
        )


def _new_assignments(
    slot_names: list[str], ownership: Mapping[str, PartitionOwner], wanted: Mapping[str, str]
) -> tuple[PartitionAssignment, ...]:
    return tuple(
        PartitionAssignment(name, wanted[name])
        for name in slot_names
        if name not in ownership and name in wanted
    )


def _moves(
    unrevoked: Mapping[str, PartitionOwner],
    wanted: Mapping[str, str],
    must_release: Callable[[str], bool],
    forced: bool,
) -> tuple[PartitionAssignment, ...]:
    return tuple(
        PartitionAssignment(name, wanted[name])
        for name, owner in unrevoked.items()
        if wanted.get(name, owner.server) != owner.server and must_release(owner.server) == forced
    )


def _listed_hot_keys(objects: ObjectSet, placement: Placement) -> dict[str, HotKey]:
    by_partition = {}
    for hot in placement.hot_keys:
        key_range = objects.range_of(placement.service, hot.key)
        if key_range is not None:
            by_partition[hot_partition(slot_of(key_range, hot.key), hot.key)] = hot
    return by_partition


def _listed_owners(
    objects: ObjectSet, placement: Placement, hot_names: list[str], capacity: Mapping[str, int]
) -> dict[str, str]:
    listed = _listed_hot_keys(objects, placement)
    return {
        name: listed[name].server
        for name in hot_names
        if name in listed and listed[name].server in capacity
    }


def _merge_targets(
    objects: ObjectSet,
    placement: Placement,
    hot_names: list[str],
    owners: Mapping[str, str],
    capacity: Mapping[str, int],
) -> dict[str, str]:
    """Return the slot owners for hot keys that are no longer listed.

    Their partitions move there first and are then merged into the slot.
    """
    listed = _listed_hot_keys(objects, placement)
    return {
        name: owners[slot_of_hot_partition(name)]
        for name in hot_names
        if name not in listed and owners.get(slot_of_hot_partition(name)) in capacity
    }


def _splits(
    objects: ObjectSet,
    placement: Placement,
    unrevoked: Mapping[str, PartitionOwner],
    owners: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (slot_of_hot_partition(name), hot.key)
        for name, hot in _listed_hot_keys(objects, placement).items()
        if name not in owners and slot_of_hot_partition(name) in unrevoked
    )


def _merges(
    objects: ObjectSet,
    placement: Placement,
    hot_names: list[str],
    unrevoked: Mapping[str, PartitionOwner],
) -> tuple[str, ...]:
    listed = _listed_hot_keys(objects, placement)
    return tuple(
        name
        for name in hot_names
        if name not in listed
        and name in unrevoked
        and slot_of_hot_partition(name) in unrevoked
        and unrevoked[name].server == unrevoked[slot_of_hot_partition(name)].server
    )
