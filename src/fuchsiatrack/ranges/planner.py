"""Which key ranges should move to which servers."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Mapping

from fuchsiatrack.directory.servers import ServerLife
from fuchsiatrack.kernel.registry import register
from fuchsiatrack.ranges.load import KeyRates
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap

# A server is relieved when it carries this much more than its share.
OVERLOAD_RATIO = 1.25
# A server with less than this part of its share gets keys also when none is overloaded.
UNDERLOAD_RATIO = 0.5
# Voluntary moves in one plan; each makes its keys wait for the running requests.
MOVES_MAX = 4
# Moves of less than this rate are not worth the wait, in requests a second.
RATE_WORTH_MOVING = 0.7
# Keys of a lost server go to several others in pieces of at least this share of their load.
PIECE_SHARE = 0.34


@dataclasses.dataclass(frozen=True)
class PlannedMove:
    """The keys from `first` to `last` should go to `successor`."""

    first: int
    last: int
    successor: ServerLife


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a plan is made from.

    `capacities` holds each server that may own keys, with its capacity in any unit; owners that
    are missing there must give up their ranges.
    """

    ownership: OwnershipMap
    capacities: Mapping[ServerLife, float]
    rates: KeyRates


class RangePlanner(abc.ABC):
    """Plans moves; has no state, so that equal situations give equal plans."""

    @abc.abstractmethod
    def plan(self, situation: Situation) -> tuple[PlannedMove, ...]:
        """Return the moves to start now."""


@register("range_planner", "stay")
class StayPlanner(RangePlanner):
    """Moves only what has to leave its server, each range to the least loaded server."""

    def plan(self, situation: Situation) -> tuple[PlannedMove, ...]:
        return tuple(_Draft(situation).place_forced())


@register("range_planner", "balanced")
class BalancedPlanner(RangePlanner):
    """Also relieves servers that carry more than their share of the requests."""

    def plan(self, situation: Situation) -> tuple[PlannedMove, ...]:
        draft = _Draft(situation)
        return (*draft.place_forced(), *draft.balance())


class _Draft:
    """A plan in the making: loads as they will be after the moves so far."""

    def __init__(self, situation: Situation) -> None:
        self._situation = situation
        self._rates = situation.rates
        self._loads = dict.fromkeys(situation.capacities, 0.0)
        self._cut: dict[int, OwnedRange] = {}
        for item in situation.ownership.ranges:
            life = item.successor or item.owner
            if life in self._loads:
                self._loads[life] += self._rates.between(item.first, item.last)
        capacity = sum(situation.capacities.values())
        self._share_rate = self._rates.total / capacity if capacity else 0.0

    def place_forced(self) -> list[PlannedMove]:
        """Place the ranges whose owners may own nothing, or whose successor is lost."""
        moves: list[PlannedMove] = []
        if not self._loads:
            return moves
        for item in self._situation.ownership.ranges:
            if (item.successor or item.owner) not in self._loads:
                moves += self._place(item)
        return moves

    def balance(self) -> list[PlannedMove]:
        """Move keys from the busiest servers to the idlest ones."""
        moves: list[PlannedMove] = []
        while len(moves) < MOVES_MAX and len(self._loads) > 1:
            donor = max(self._loads, key=self._fullness)
            receiver = min(self._loads, key=self._fullness)
            wanted = self._fullness(donor) >= OVERLOAD_RATIO
            starved = self._fullness(receiver) < UNDERLOAD_RATIO and self._fullness(donor) > 1
            move = self._relieve(donor, receiver) if wanted or starved else None
            if move is None:
                break
            moves.append(move)
        return moves

    def _fullness(self, life: ServerLife) -> float:
        """Return the load of *life* against its share."""
        share = self._share(life)
        return self._loads[life] / share if share else 1.0

    def _share(self, life: ServerLife) -> float:
        return self._share_rate * self._situation.capacities[life]

    def _place(self, item: OwnedRange) -> list[PlannedMove]:
        """Spread *item* over the servers with the most room."""
        moves = []
        first = item.first
        while first <= item.last:
            receiver = min(self._loads, key=self._fullness)
            room = self._share(receiver) - self._loads[receiver]
            rate = max(room, self._rates.between(item.first, item.last) * PIECE_SHARE)
            # A range that is already moving keeps its bounds; only its successor changes.
            last = item.last if item.is_moving else self._rates.reach(first, item.last, rate)
            self._loads[receiver] += self._rates.between(first, last)
            moves.append(PlannedMove(first, last, receiver))
            first = last + 1
        return moves

    def _relieve(self, donor: ServerLife, receiver: ServerLife) -> PlannedMove | None:
        excess = self._loads[donor] - self._share(donor)
        room = self._share(receiver) - self._loads[receiver]
        wanted = min(max(excess, room / 2), room)
        if wanted < RATE_WORTH_MOVING:
            return None
        item = self._densest(donor)
        if item is None:
            return None
        move = self._cut_from(item, wanted, receiver)
        moved = self._rates.between(move.first, move.last)
        if moved > excess + wanted:
            # One key carries most of it, and would only move the overload elsewhere.
            return None
        self._loads[donor] -= moved
        self._loads[receiver] += moved
        return move

    def _densest(self, donor: ServerLife) -> OwnedRange | None:
        """Return the range of *donor* with the most load a key that can still be cut."""
        ranges = [
            item
            for item in self._situation.ownership.of(donor)
            if not item.is_moving and item.first not in self._cut
        ]
        load = {item.first: self._rates.between(item.first, item.last) for item in ranges}
        return max(ranges, key=lambda item: load[item.first], default=None)

    def _cut_from(self, item: OwnedRange, rate: float, receiver: ServerLife) -> PlannedMove:
        self._cut[item.first] = item
        rest = self._rates.between(item.first, item.last) - rate
        if rest <= RATE_WORTH_MOVING:
            return PlannedMove(item.first, item.last, receiver)
        neighbour = self._situation.ownership.find(item.last + 1)
        if neighbour is not None and (neighbour.successor or neighbour.owner) == receiver:
            start = self._rates.reach(item.first, item.last, rest)
            return PlannedMove(min(start + 1, item.last), item.last, receiver)
        return PlannedMove(item.first, self._rates.reach(item.first, item.last, rate), receiver)
