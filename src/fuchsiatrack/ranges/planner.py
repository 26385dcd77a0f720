"""Planners that decide which key ranges move to which servers."""

from __future__ import annotations

import abc
import dataclasses
import itertools
from collections.abc import Collection, Mapping

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.registry import register
from fuchsiatrack.ranges.load import KeyRate, KeyRates
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap

# Utilization, as load relative to fair share, from which keys are moved away from a server.
OVERLOAD_RATIO = 1.25
# Utilization below which a server gets keys even if no server is overloaded.
UNDERLOAD_RATIO = 0.5
# Keys are moved away only from a server that uses at least this share of its capacity, or to one
# that has none: below it requests hardly wait, while a move makes its keys wait, and differences
# between servers are mostly chance.
BUSY_RATIO = 0.5
# A plan has at most this many voluntary moves, or the number per server if that is more. Requests
# for moving keys wait until the running ones have completed.
MOVE_LIMIT_MIN = 4
MOVE_LIMIT_PER_SERVER = 0.125
# Moving a lower rate is not worth the wait.
MOVE_RATE_MIN_PER_S = 0.7
# Minimum for services with few requests, and before the first request: this share of the mean load
# per server, if that is less than `MOVE_RATE_MIN_PER_S`.
MOVE_SHARE_MIN = 0.25
# A key from this rate on may get a server of its own. That is about fifteen requests within the
# time constant of rates, too many to occur by chance.
HOT_KEY_RATE_MIN_PER_S = 6.0
# A server with a hot key above this part of its fair share gets no other hot key.
HOT_KEY_SHARE = 0.5
# A hot key moves only to a server with at least this many times the capacity of its owner.
HOT_KEY_CAPACITY_RATIO_MIN = 1.25
# Share of the rate to which a server limits its requests that is planned for it, and the same if
# the servers without a limit would be beyond their capacity otherwise.
LIMIT_USED_RATIO = 0.8
LIMIT_USED_RATIO_MAX = 1.0
# Limits that have ended are planned for as if they were in force while the servers without a limit
# use at most this share of their capacity.
COMFORTABLE_RATIO = 0.6
# Load that must leave a server at once goes to several others; each piece but the last has at
# least this share of it.
PIECE_SHARE_MIN = 0.34
# Ranges that leave a limited server at the same time. Each takes a connection for its release.
RELIEF_MOVES_PER_SERVER = 3


@dataclasses.dataclass(frozen=True)
class PlannedMove:
    """A planned move of the keys from `first` to `last` to `successor`."""

    first: int
    last: int
    successor: ServerIncarnation


@dataclasses.dataclass(frozen=True)
class PlannerInput:
    """The ownership map, server capacities and request rates that a plan is based on.

    `capacities` maps each server that may own keys to the number of requests that it processes at
    once, relative to a server of median speed. Ranges of other owners must move. `service_time` is
    that of the median server in milliseconds, 0 if it isn't known.  `limits` has the requests per
    second, above 0, of each server that limits them, and `recent_limits` the last ones of servers
    that have ended theirs and may soon set them again, the latest end first.
    """

    ownership: OwnershipMap
    capacities: Mapping[ServerIncarnation, float]
    rates: KeyRates
    service_time: float = 0.0
    limits: Mapping[ServerIncarnation, float] = dataclasses.field(default_factory=dict)
    recent_limits: Mapping[ServerIncarnation, float] = dataclasses.field(default_factory=dict)


class RangePlanner(abc.ABC):
    """Plans moves of key ranges; without state, so that equal input gives equal plans."""

    @abc.abstractmethod
    def plan(self, planner_input: PlannerInput) -> tuple[PlannedMove, ...]:
        """Return the moves to start now, as described by *planner_input*."""


@register("range_planner", "stay")
class ForcedMovesPlanner(RangePlanner):
    """Moves ranges whose owner or successor must not own keys, to the least utilized servers."""

    def plan(self, planner_input: PlannerInput) -> tuple[PlannedMove, ...]:
        return tuple(_Draft(planner_input).place_forced())


@register("range_planner", "balanced")
class BalancedPlanner(RangePlanner):
    """Also moves keys away from servers with more than their limit or fair share of the load."""

    def plan(self, planner_input: PlannerInput) -> tuple[PlannedMove, ...]:
        draft = _Draft(planner_input)
        return (*draft.place_forced(), *draft.relieve_limited(), *draft.balance())


class _Draft:
    """A plan under construction, with the server loads expected after the moves so far."""

    def __init__(self, planner_input: PlannerInput) -> None:
        self._planner_input = planner_input
        self._rates = planner_input.rates
        self._loads = dict.fromkeys(planner_input.capacities, 0.0)
        self._split_ranges: set[int] = set()
        for item in planner_input.ownership.ranges:
            incarnation = item.successor or item.owner
            if incarnation in self._loads:
                self._loads[incarnation] += self._rates.between(item.first, item.last)
        hot_keys = [
            item
            for item in self._rates.busiest(len(planner_input.capacities))
            if item.rate >= HOT_KEY_RATE_MIN_PER_S
        ]
        self._capacities = _usable_capacities(planner_input, self._loads)
        self._rate_per_capacity = _fair_rate_per_capacity(
            self._rates.total, hot_keys, self._capacities.values()
        )
        self._hot_key_owners = self._find_hot_key_owners(hot_keys)
        mean_share = self._rates.total / max(len(self._loads), 1)
        self._min_move_rate = min(MOVE_RATE_MIN_PER_S, mean_share * MOVE_SHARE_MIN)

    def place_forced(self) -> list[PlannedMove]:
        """Plan moves of the ranges whose owner, or successor while moving, must not own keys."""
        moves: list[PlannedMove] = []
        if not self._loads:
            return moves
        for item in self._planner_input.ownership.ranges:
            if (item.successor or item.owner) not in self._loads:
                moves += self._place_range(item)
        return moves

    def relieve_limited(self) -> list[PlannedMove]:
        """Plan moves of what limited servers own beyond their limits to servers that have room.

        Requests beyond the limit are rejected until their keys have moved, so that most of them
        move at once, however little of it each of the other servers takes.
        """
        limited = self._loads.keys() & self._planner_input.limits.keys()
        moves: list[PlannedMove] = []
        for source in sorted(limited, key=self._utilization, reverse=True):
            if self._utilization(source) < OVERLOAD_RATIO:
                break
            moves += self._move_excess(source)
        return moves

    def balance(self) -> list[PlannedMove]:
        """Plan moves of keys from the most to the least utilized servers."""
        moves: list[PlannedMove] = []
        sources = set(self._loads)
        move_limit = max(MOVE_LIMIT_MIN, int(len(self._loads) * MOVE_LIMIT_PER_SERVER))
        while len(moves) < move_limit and sources and len(self._loads) > 1:
            source = max(sources, key=self._utilization)
            target = min(self._loads, key=self._utilization)
            is_overloaded = self._utilization(source) >= OVERLOAD_RATIO and self._is_busy(source)
            is_underloaded = (
                self._utilization(target) < UNDERLOAD_RATIO
                and self._utilization(source) > 1
                and (self._is_busy(source) or not self._loads[target])
            )
            if not is_overloaded and not is_underloaded:
                break
            move = self._move_hot_key(source) or self._move_load(source, target)
            if move is None:
                sources.remove(source)
            else:
                moves.append(move)
        return moves

    def _find_hot_key_owners(self, hot_keys: list[KeyRate]) -> set[ServerIncarnation]:
        """Return the servers that own, or will own, a key above `HOT_KEY_SHARE` of their share."""
        owners = set()
        for hot_key in hot_keys:
            item = self._planner_input.ownership.find(hot_key.key)
            incarnation = item and (item.successor or item.owner)
            if (
                incarnation in self._loads
                and hot_key.rate > self._share(incarnation) * HOT_KEY_SHARE
            ):
                owners.add(incarnation)
        return owners

    def _utilization(self, incarnation: ServerIncarnation) -> float:
        """Return the load of *incarnation* relative to its fair share."""
        share = self._share(incarnation)
        return self._loads[incarnation] / share if share else 1.0

    def _is_busy(self, incarnation: ServerIncarnation) -> bool:
        """Return whether *incarnation* uses enough of its capacity for requests to wait.

        Beyond its limit requests are rejected, whatever its capacity is.
        """
        limit = self._planner_input.limits.get(incarnation)
        if limit is not None and self._loads[incarnation] > limit * LIMIT_USED_RATIO:
            return True
        requests_at_once = self._loads[incarnation] * self._planner_input.service_time / 1_000
        capacity = self._capacities[incarnation]
        is_known = self._planner_input.service_time > 0
        return not is_known or requests_at_once >= BUSY_RATIO * capacity

    def _share(self, incarnation: ServerIncarnation) -> float:
        """Return the fair share of *incarnation*, in requests per second."""
        return self._rate_per_capacity * self._capacities[incarnation]

    def _place_range(self, item: OwnedRange) -> list[PlannedMove]:
        """Plan moves of *item*, in pieces, to the least utilized servers."""
        moves = []
        first = item.first
        while first <= item.last:
            target = min(self._loads, key=self._utilization)
            spare = self._share(target) - self._loads[target]
            rate = max(spare, self._rates.between(item.first, item.last) * PIECE_SHARE_MIN)
            # A range that is already moving keeps its bounds; only its successor changes.
            last = item.last if item.is_moving else self._rates.split_key(first, item.last, rate)
            self._loads[target] += self._rates.between(first, last)
            moves.append(PlannedMove(first, last, target))
            first = last + 1
        return moves

    def _move_excess(self, source: ServerIncarnation) -> list[PlannedMove]:
        """Plan moves of the load of *source* beyond its share, in a few pieces."""
        moves: list[PlannedMove] = []
        excess = self._loads[source] - self._share(source)
        ownership = self._planner_input.ownership
        move_limit = RELIEF_MOVES_PER_SERVER - sum(
            item.is_moving for item in ownership.owned_by(source)
        )
        for item in self._movable_ranges(source):
            first = item.first
            while first <= item.last and self._loads[source] > self._share(source):
                target = min(self._loads, key=self._utilization)
                if target == source or len(moves) >= move_limit:
                    return moves
                left = self._loads[source] - self._share(source)
                spare = self._share(target) - self._loads[target]
                rate = min(left, max(spare, excess * PIECE_SHARE_MIN))
                last = self._rates.split_key(first, item.last, rate)
                moves.append(self._record_move(source, PlannedMove(first, last, target)))
                first = last + 1
        return moves

    def _move_hot_key(self, source: ServerIncarnation) -> PlannedMove | None:
        """Plan a move of a key above the fair share of *source* to a larger server without one."""
        if source not in self._hot_key_owners:
            return None
        busiest_keys = [
            hot_key
            for item in self._movable_ranges(source)
            for hot_key in self._rates.busiest(1, item.first, item.last)
        ]
        hottest_key = max(busiest_keys, key=lambda hot_key: hot_key.rate, default=None)
        if hottest_key is None or hottest_key.rate <= self._share(source):
            return None
        capacities = self._capacities
        free_servers = capacities.keys() - self._hot_key_owners
        largest = max(free_servers, key=lambda incarnation: capacities[incarnation], default=None)
        if largest is None or capacities[largest] < capacities[source] * HOT_KEY_CAPACITY_RATIO_MIN:
            return None
        self._hot_key_owners.add(largest)
        return self._record_move(source, PlannedMove(hottest_key.key, hottest_key.key, largest))

    def _move_load(
        self, source: ServerIncarnation, target: ServerIncarnation
    ) -> PlannedMove | None:
        """Plan a move of keys to *target*, unless that would only shift the overload there."""
        excess = self._loads[source] - self._share(source)
        spare = self._share(target) - self._loads[target]
        wanted_rate = min(max(excess, spare / 2), spare)
        if wanted_rate < self._min_move_rate:
            return None
        for item in self._movable_ranges(source):
            for move in self._candidate_moves(item, wanted_rate, target):
                rate = self._rates.between(move.first, move.last)
                if self._min_move_rate <= rate <= excess + wanted_rate:
                    return self._record_move(source, move)
        return None

    def _record_move(self, source: ServerIncarnation, move: PlannedMove) -> PlannedMove:
        rate = self._rates.between(move.first, move.last)
        self._split_ranges.add(self._planner_input.ownership.find(move.first).first)
        self._loads[source] -= rate
        self._loads[move.successor] += rate
        return move

    def _movable_ranges(self, source: ServerIncarnation) -> list[OwnedRange]:
        """Return the ranges of *source* not yet split by this plan, in descending order of load."""
        ranges = [
            item
            for item in self._planner_input.ownership.owned_by(source)
            if not item.is_moving and item.first not in self._split_ranges
        ]
        return sorted(ranges, key=lambda item: -self._rates.between(item.first, item.last))

    def _candidate_moves(
        self, item: OwnedRange, rate: float, target: ServerIncarnation
    ) -> list[PlannedMove]:
        """Return candidate moves of parts of *item* with about *rate*, the preferred one first."""
        preferred = self._preferred_move(item, rate, target)
        candidates = [preferred]
        for busiest_key in self._rates.busiest(1, preferred.first, preferred.last):
            if item.first < busiest_key.key:
                last = self._rates.split_key(item.first, busiest_key.key - 1, rate)
                candidates.append(PlannedMove(item.first, last, target))
            if busiest_key.key < item.last:
                last = self._rates.split_key(busiest_key.key + 1, item.last, rate)
                candidates.append(PlannedMove(busiest_key.key + 1, last, target))
        return candidates

    def _preferred_move(
        self, item: OwnedRange, rate: float, target: ServerIncarnation
    ) -> PlannedMove:
        remaining_rate = self._rates.between(item.first, item.last) - rate
        if remaining_rate <= self._min_move_rate:
            return PlannedMove(item.first, item.last, target)
        next_range = self._planner_input.ownership.find(item.last + 1)
        if next_range is not None and (next_range.successor or next_range.owner) == target:
            start = self._rates.split_key(item.first, item.last, remaining_rate)
            return PlannedMove(min(start + 1, item.last), item.last, target)
        return PlannedMove(item.first, self._rates.split_key(item.first, item.last, rate), target)


def _usable_capacities(
    planner_input: PlannerInput, loads: Mapping[ServerIncarnation, float]
) -> dict[ServerIncarnation, float]:
    """Return the capacities, smaller ones for servers whose limit is below their fair share.

    A server with a recent limit keeps its load, but gets no more than the limit unless the others
    need it.
    """
    recent_limits = {
        server: max(rate * LIMIT_USED_RATIO, loads.get(server, 0.0))
        for server, rate in planner_input.recent_limits.items()
    }
    limits = {server: rate * LIMIT_USED_RATIO for server, rate in planner_input.limits.items()}
    utilization_per_rate = planner_input.service_time / 1_000
    while recent_limits:
        capacities, rate_per_capacity = _limited_capacities(planner_input, recent_limits | limits)
        utilization = rate_per_capacity * utilization_per_rate
        if rate_per_capacity > 0 and utilization <= COMFORTABLE_RATIO:
            return capacities
        latest = itertools.islice(recent_limits.items(), len(recent_limits) // 2)
        recent_limits = dict(latest)
    capacities, rate_per_capacity = _limited_capacities(planner_input, limits)
    if rate_per_capacity * utilization_per_rate > 1:
        limits = {
            server: rate * LIMIT_USED_RATIO_MAX for server, rate in planner_input.limits.items()
        }
        capacities, _ = _limited_capacities(planner_input, limits)
    return capacities


def _limited_capacities(
    planner_input: PlannerInput, limits: Mapping[ServerIncarnation, float]
) -> tuple[dict[ServerIncarnation, float], float]:
    """Return the capacities if servers get at most their *limits*, and the rate for each unit.

    A limited server's capacity is the one whose fair share is its limit.  The others' shares grow
    by what the limited ones can't take, so that further servers may exceed their limits.  The rate,
    in requests per second, is 0 if every server is limited.
    """
    capacities = dict(planner_input.capacities)
    rates = {server: limits[server] for server in capacities.keys() & limits.keys()}
    limited: set[ServerIncarnation] = set()
    total = planner_input.rates.total
    while True:
        free_capacity = sum(
            capacity for server, capacity in capacities.items() if server not in limited
        )
        free_rate = total - sum(rates[server] for server in limited)
        if free_capacity <= 0 or free_rate <= 0:
            # Every server is limited, and together they take less than the load.
            return {server: rates[server] for server in capacities}, 0.0
        rate_per_capacity = free_rate / free_capacity
        exceeding = {
            server
            for server in rates.keys() - limited
            if capacities[server] * rate_per_capacity > rates[server]
        }
        if not exceeding:
            usable = {
                server: rates[server] / rate_per_capacity if server in limited else capacity
                for server, capacity in capacities.items()
            }
            return usable, rate_per_capacity
        limited |= exceeding


def _fair_rate_per_capacity(
    total: float, hot_keys: list[KeyRate], capacities: Collection[float]
) -> float:
    """Return the fair rate for each unit of capacity, in requests per second.

    A key of *hot_keys*, which are in descending order of rate, that exceeds the share of a server
    is counted as the only load of one of the largest servers, since one key cannot be split.
    """
    remaining_capacity = sum(capacities)
    largest = sorted(capacities, reverse=True)
    for hot_key, capacity in zip(hot_keys, largest[:-1], strict=False):
        if hot_key.rate * remaining_capacity <= capacity * total:
            break
        total -= hot_key.rate
        remaining_capacity -= capacity
    return total / remaining_capacity if remaining_capacity else 0.0
