"""Which key ranges should move to which servers."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Collection, Mapping

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.registry import register
from fuchsiatrack.ranges.load import KeyRate, KeyRates
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap

# A server is relieved when it carries this much more than its share.
OVERLOAD_RATIO = 1.25
# A server with less than this part of its share gets keys also when none is overloaded.
UNDERLOAD_RATIO = 0.5
# Voluntary moves in one plan, at least and for each server; each makes its keys wait for the
# running requests.
MOVES_MAX = 4
MOVES_PER_SERVER = 0.125
# Moves of less than this rate are not worth the wait, in requests a second.
RATE_WORTH_MOVING = 0.7
# The same as part of a server's share, where that is less: before there are requests, and for
# services with few of them.
SHARE_WORTH_MOVING = 0.25
# A key goes to a server alone when it has at least this rate, in requests a second: some fifteen
# requests within the memory of rates, so that no chance makes a key hot.
HOT_RATE_MIN = 6.0
# Servers with a key of more than this part of their share get no other hot key.
HOT_SHARE = 0.5
# A hot key moves to a server that has this many times the capacity of its owner.
FASTER_RATIO = 1.25
# Keys of a lost server go to several others in pieces of at least this share of their load.
PIECE_SHARE = 0.34


@dataclasses.dataclass(frozen=True)
class PlannedMove:
    """The keys from `first` to `last` should go to `successor`."""

    first: int
    last: int
    successor: ServerIncarnation


@dataclasses.dataclass(frozen=True)
class PlannerInput:
    """What a plan is made from.

    `capacities` holds each server that may own keys, with its capacity in any unit; owners that
    are missing there must give up their ranges.
    """

    ownership: OwnershipMap
    capacities: Mapping[ServerIncarnation, float]
    rates: KeyRates


class RangePlanner(abc.ABC):
    """Plans moves; has no state, so that equal situations give equal plans."""

    @abc.abstractmethod
    def plan(self, planner_input: PlannerInput) -> tuple[PlannedMove, ...]:
        """Return the moves to start now."""


@register("range_planner", "stay")
class ForcedMovesPlanner(RangePlanner):
    """Moves only what has to leave its server, each range to the least loaded server."""

    def plan(self, planner_input: PlannerInput) -> tuple[PlannedMove, ...]:
        return tuple(_Draft(planner_input).place_forced())


@register("range_planner", "balanced")
class BalancedPlanner(RangePlanner):
    """Also relieves servers that carry more than their share of the requests."""

    def plan(self, planner_input: PlannerInput) -> tuple[PlannedMove, ...]:
        draft = _Draft(planner_input)
        return (*draft.place_forced(), *draft.balance())


class _Draft:
    """A plan in the making: loads as they will be after the moves so far."""

    def __init__(self, planner_input: PlannerInput) -> None:
        self._planner_input = planner_input
        self._rates = planner_input.rates
        self._loads = dict.fromkeys(planner_input.capacities, 0.0)
        self._cut: set[int] = set()
        for item in planner_input.ownership.ranges:
            incarnation = item.successor or item.owner
            if incarnation in self._loads:
                self._loads[incarnation] += self._rates.between(item.first, item.last)
        hot = [
            item
            for item in self._rates.heaviest(len(planner_input.capacities))
            if item.rate >= HOT_RATE_MIN
        ]
        self._share_rate = _fair_rate(self._rates.total, hot, planner_input.capacities.values())
        self._taken = self._owners_of_hot(hot)
        mean_share = self._rates.total / max(len(self._loads), 1)
        self._worth_moving = min(RATE_WORTH_MOVING, mean_share * SHARE_WORTH_MOVING)

    def place_forced(self) -> list[PlannedMove]:
        """Place the ranges whose owners may own nothing, or whose successor is lost."""
        moves: list[PlannedMove] = []
        if not self._loads:
            return moves
        for item in self._planner_input.ownership.ranges:
            if (item.successor or item.owner) not in self._loads:
                moves += self._place(item)
        return moves

    def balance(self) -> list[PlannedMove]:
        """Move keys from the busiest servers to the idlest ones."""
        moves: list[PlannedMove] = []
        donors = set(self._loads)
        most = max(MOVES_MAX, int(len(self._loads) * MOVES_PER_SERVER))
        while len(moves) < most and donors and len(self._loads) > 1:
            donor = max(donors, key=self._fullness)
            receiver = min(self._loads, key=self._fullness)
            wanted = self._fullness(donor) >= OVERLOAD_RATIO
            starved = self._fullness(receiver) < UNDERLOAD_RATIO and self._fullness(donor) > 1
            if not wanted and not starved:
                break
            move = self._speed_up(donor) or self._relieve(donor, receiver)
            if move is None:
                donors.remove(donor)
            else:
                moves.append(move)
        return moves

    def _owners_of_hot(self, hot: list[KeyRate]) -> set[ServerIncarnation]:
        """Return the servers that have, or will have, a key that fills much of their share."""
        owners = set()
        for peak in hot:
            item = self._planner_input.ownership.find(peak.key)
            incarnation = item and (item.successor or item.owner)
            if incarnation in self._loads and peak.rate > self._share(incarnation) * HOT_SHARE:
                owners.add(incarnation)
        return owners

    def _fullness(self, incarnation: ServerIncarnation) -> float:
        """Return the load of *incarnation* against its share."""
        share = self._share(incarnation)
        return self._loads[incarnation] / share if share else 1.0

    def _share(self, incarnation: ServerIncarnation) -> float:
        return self._share_rate * self._planner_input.capacities[incarnation]

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

    def _speed_up(self, donor: ServerIncarnation) -> PlannedMove | None:
        """Move a key that is more than the share of *donor* to a faster server without one."""
        if donor not in self._taken:
            return None
        peaks = [
            peak
            for item in self._movable(donor)
            for peak in self._rates.heaviest(1, item.first, item.last)
        ]
        hottest = max(peaks, key=lambda peak: peak.rate, default=None)
        if hottest is None or hottest.rate <= self._share(donor):
            return None
        capacities = self._planner_input.capacities
        free = capacities.keys() - self._taken
        fastest = max(free, key=lambda incarnation: capacities[incarnation], default=None)
        if fastest is None or capacities[fastest] < capacities[donor] * FASTER_RATIO:
            return None
        self._taken.add(fastest)
        return self._move(donor, PlannedMove(hottest.key, hottest.key, fastest))

    def _relieve(self, donor: ServerIncarnation, receiver: ServerIncarnation) -> PlannedMove | None:
        """Move keys to *receiver* unless one of them would only move the overload there."""
        excess = self._loads[donor] - self._share(donor)
        room = self._share(receiver) - self._loads[receiver]
        wanted = min(max(excess, room / 2), room)
        if wanted < self._worth_moving:
            return None
        for item in self._movable(donor):
            for move in self._pieces(item, wanted, receiver):
                rate = self._rates.between(move.first, move.last)
                if self._worth_moving <= rate <= excess + wanted:
                    return self._move(donor, move)
        return None

    def _move(self, donor: ServerIncarnation, move: PlannedMove) -> PlannedMove:
        rate = self._rates.between(move.first, move.last)
        self._cut.add(self._planner_input.ownership.find(move.first).first)
        self._loads[donor] -= rate
        self._loads[move.successor] += rate
        return move

    def _movable(self, donor: ServerIncarnation) -> list[OwnedRange]:
        """Return the ranges of *donor* that can still be cut, the most loaded first."""
        ranges = [
            item
            for item in self._planner_input.ownership.of(donor)
            if not item.is_moving and item.first not in self._cut
        ]
        return sorted(ranges, key=lambda item: -self._rates.between(item.first, item.last))

    def _pieces(
        self, item: OwnedRange, rate: float, receiver: ServerIncarnation
    ) -> list[PlannedMove]:
        """Return parts of *item* with about *rate*, the best one first."""
        best = self._cut_from(item, rate, receiver)
        pieces = [best]
        for peak in self._rates.heaviest(1, best.first, best.last):
            if item.first < peak.key:
                last = self._rates.reach(item.first, peak.key - 1, rate)
                pieces.append(PlannedMove(item.first, last, receiver))
            if peak.key < item.last:
                last = self._rates.reach(peak.key + 1, item.last, rate)
                pieces.append(PlannedMove(peak.key + 1, last, receiver))
        return pieces

    def _cut_from(self, item: OwnedRange, rate: float, receiver: ServerIncarnation) -> PlannedMove:
        rest = self._rates.between(item.first, item.last) - rate
        if rest <= self._worth_moving:
            return PlannedMove(item.first, item.last, receiver)
        neighbour = self._planner_input.ownership.find(item.last + 1)
        if neighbour is not None and (neighbour.successor or neighbour.owner) == receiver:
            start = self._rates.reach(item.first, item.last, rest)
            return PlannedMove(min(start + 1, item.last), item.last, receiver)
        return PlannedMove(item.first, self._rates.reach(item.first, item.last, rate), receiver)


def _fair_rate(total: float, hot: list[KeyRate], capacities: Collection[float]) -> float:
    """Return the rate that each unit of capacity has to carry, in requests a second.

    A key of *hot* (hottest first) that is more than a server's share counts as if it filled one
    of the largest servers alone: its excess can't be given to others.
    """
    room = sum(capacities)
    largest = sorted(capacities, reverse=True)
    for peak, capacity in zip(hot, largest[:-1], strict=False):
        if peak.rate * room <= capacity * total:
            break
        total -= peak.rate
        room -= capacity
    return total / room if room else 0.0
