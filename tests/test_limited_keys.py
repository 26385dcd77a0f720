"""Keys of servers that limit their requests: replays of load and limits on the planner."""

from __future__ import annotations

import itertools
import random

import pytest

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.limits.registry import LimitRegistry
from fuchsiatrack.ranges.load import KeyRates
from fuchsiatrack.ranges.ownership import LAST_KEY, OwnershipMap, divide_evenly
from fuchsiatrack.ranges.planner import BalancedPlanner, PlannerInput

SERVERS = tuple(ServerIncarnation(f"s{index}", 1) for index in range(14))
SLOTS = 4.0
SERVICE_TIME_MS = 60.0
# What a server without a limit can serve, in requests per second.
CAPACITY_PER_S = SLOTS * 1_000 / SERVICE_TIME_MS
PLAN_PERIOD_MS = 500
# Time by which keys have left a server that has named a limit.
RELIEF_TIME_MS = 1_500


class LimitReplay:
    """The planner under a steady load of *rate* a second, whose moves end before the next plan."""

    def __init__(self, rate: float) -> None:
        keys = tuple(range(0, LAST_KEY, 61))
        rates = itertools.accumulate(itertools.repeat(rate / len(keys), len(keys)), initial=0.0)
        self._rates = KeyRates(keys, tuple(rates), 0.0)
        self._registry = LimitRegistry(lambda server: True)
        self._ownership = divide_evenly(SERVERS, 1)
        self._now = 0
        self.moved_rate = 0.0

    @property
    def loads(self) -> dict[ServerIncarnation, float]:
        """The requests per second for the keys of each server."""
        return {
            server: sum(
                self._rates.between(item.first, item.last)
                for item in self._ownership.owned_by(server)
            )
            for server in SERVERS
        }

    def name_limits(self, limits: dict[ServerIncarnation, float]) -> None:
        """Let each server of *limits* name its limit, and all others none."""
        for server in SERVERS:
            self._registry.record_response(server, limits.get(server), self._now, self._now + 1)

    def run(self, duration_ms: int) -> None:
        """Plan and move for *duration_ms*."""
        for _ in range(duration_ms // PLAN_PERIOD_MS):
            self._plan()
            self._now += PLAN_PERIOD_MS
            self._registry.drop_outdated(self._now)

    def _plan(self) -> None:
        planner_input = PlannerInput(
            self._ownership,
            dict.fromkeys(SERVERS, SLOTS),
            self._rates,
            SERVICE_TIME_MS,
            self._registry.rates,
            self._registry.recent_limits,
        )
        for move in BalancedPlanner().plan(planner_input):
            self._ownership = self._ownership.start_move(move.first, move.last, move.successor)
            self.moved_rate += self._rates.between(move.first, move.last)
        self._ownership = _finish_moves(self._ownership)


def _finish_moves(ownership: OwnershipMap) -> OwnershipMap:
    for item in ownership.ranges:
        if item.is_moving:
            ownership = ownership.finish_move(item, "")
    return ownership


class TestPlansForLimitedServers:
    """No request is rejected where other servers have room."""

    def test_servers_that_are_limited_in_turn_leave_no_server_with_more_than_it_takes(self):
        """Guards against keys on a few servers while others, limited before, are idle.

        Every 7 s other five of 14 servers name a limit, and 360 requests a second arrive.
        """
        rng = random.Random(5)
        replay = LimitReplay(360.0)
        for _ in range(12):
            limits = {server: rng.uniform(7.0, 18.0) for server in rng.sample(SERVERS, 5)}
            replay.name_limits(limits)
            replay.run(RELIEF_TIME_MS)
            for _ in range(11):
                replay.run(PLAN_PERIOD_MS)
                beyond = {
                    server.server: load
                    for server, load in replay.loads.items()
                    if load > limits.get(server, CAPACITY_PER_S)
                }
                assert beyond == {}

    @pytest.mark.parametrize("limited_count", [1, 2, 5])
    def test_keys_leave_when_each_other_server_can_take_only_a_few_more(self, limited_count: int):
        """Guards against keys that stay because no other server lacks much of its fair share."""
        replay = LimitReplay(90.0)
        limits = dict.fromkeys(SERVERS[:limited_count], 3.0)
        replay.name_limits(limits)
        replay.run(RELIEF_TIME_MS)
        assert all(replay.loads[server] <= limit for server, limit in limits.items())

    def test_keys_do_not_return_at_the_end_of_a_limit_while_no_server_is_overloaded(self):
        """Guards against moves for nothing, as the same servers are often limited again."""
        replay = LimitReplay(360.0)
        limits = {SERVERS[0]: 8.0, SERVERS[1]: 18.0}
        replay.name_limits(limits)
        replay.run(3_000)
        moved_before = replay.moved_rate
        for _ in range(5):
            replay.name_limits({})
            replay.run(3_000)
            replay.name_limits(limits)
            replay.run(3_000)
        assert replay.moved_rate == moved_before

    def test_limits_are_used_up_while_the_other_servers_are_beyond_their_capacity(self):
        """Guards against unused limits while requests are rejected elsewhere."""
        replay = LimitReplay(500.0)
        limits = dict.fromkeys(SERVERS[:8], 14.0)
        replay.name_limits(limits)
        replay.run(10_000)
        used = sum(replay.loads[server] for server in limits)
        assert used >= 0.95 * sum(limits.values())
