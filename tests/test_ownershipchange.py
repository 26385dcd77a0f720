"""Changes of ownership maps, sent by datagrams that may be lost, repeated or reordered."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.peers.ownershipupdates import OwnershipChangeNotice
from fuchsiatrack.ranges.leadership import Leadership
from fuchsiatrack.ranges.ownership import LAST_KEY, KeyInterval, OwnershipMap, divide_evenly
from fuchsiatrack.ranges.ownershipcache import OwnershipCache
from fuchsiatrack.ranges.ownershipchange import (
    COVERED_REVISIONS,
    OwnershipChange,
    OwnershipHistory,
)
from fuchsiatrack.ranges.records import Term

INCARNATIONS = tuple(ServerIncarnation(f"s{index}", 1) for index in range(5))


def _next_map(current: OwnershipMap, rng: random.Random) -> OwnershipMap:
    """Return *current* after one of the changes that a controller makes."""
    moving = [item for item in current.ranges if item.is_moving]
    kind = rng.randrange(5)
    if kind == 0 and moving:
        changed = current.finish_move(rng.choice(moving), "token")
    elif kind == 1 and moving:
        changed = current.redirect(rng.choice(moving).first, rng.choice(INCARNATIONS))
    elif kind == 2:
        changed = current.merge_neighbours()
    elif kind == 3:
        changed = current.raise_fence(rng.choice(current.ranges))
    else:
        first = rng.randrange(LAST_KEY)
        last = min(LAST_KEY, first + rng.randrange(9_000))
        changed = current.start_move(first, last, rng.choice(INCARNATIONS))
    return changed.with_revision(current.revision + 1)


def _maps(seed: int, count: int) -> list[OwnershipMap]:
    rng = random.Random(seed)
    maps = [divide_evenly(INCARNATIONS, 1).with_revision(1)]
    while len(maps) < count:
        maps.append(_next_map(maps[-1], rng))
    return maps


def _cache_with(ownership: OwnershipMap) -> OwnershipCache:
    clock = SystemClock()
    leadership = Leadership(Term(0, "vm"), None, clock, random.Random(1), bool, int, bool)
    cache = OwnershipCache(leadership, clock)
    cache.apply_map("stock", ownership.encode())
    return cache


class TestOwnershipHistory:
    """The changes that a leader sends, and the followers that apply them."""

    @given(st.integers(0, 10_000))
    @settings(max_examples=60, deadline=None)
    def test_follower_is_exact_or_knows_that_it_is_behind(self, seed):
        maps, rng = _maps(seed, 40), random.Random(seed)
        history, cache = OwnershipHistory(), _cache_with(maps[0])
        sent: list[OwnershipChange] = []
        for earlier, current in zip(maps, maps[1:], strict=False):
            sent.append(history.record(earlier, current))
            # Lost, doubled, late or in order.
            for change in rng.choices(sent[-12:], k=rng.randrange(3)):
                before = cache.find("stock").revision
                was_applied = cache.apply_change("stock", change)
                after = cache.find("stock")
                assert after.revision >= before
                assert was_applied == (after.revision >= change.revision)
                assert after == maps[after.revision - 1]

    def test_follower_that_missed_few_changes_applies_the_next(self):
        maps = _maps(3, COVERED_REVISIONS + 1)
        history = OwnershipHistory()
        changes = [history.record(a, b) for a, b in zip(maps, maps[1:], strict=False)]
        cache = _cache_with(maps[0])
        assert cache.apply_change("stock", changes[-1])
        assert cache.find("stock") == maps[-1]

    def test_follower_that_missed_more_reads_the_log(self):
        maps = _maps(3, COVERED_REVISIONS + 2)
        history = OwnershipHistory()
        changes = [history.record(a, b) for a, b in zip(maps, maps[1:], strict=False)]
        cache = _cache_with(maps[0])
        assert not cache.apply_change("stock", changes[-1])
        assert cache.find("stock") == maps[0]

    def test_new_leader_sends_the_whole_map_first(self):
        """Its first change may follow a map that it has not sent."""
        assert OwnershipHistory().record(OwnershipMap(), _maps(1, 1)[0]) is None

    def test_change_is_small(self):
        servers = tuple(ServerIncarnation(f"i-{index:010x}", 1_700_000) for index in range(150))
        earlier = divide_evenly(servers, 1).with_revision(1)
        current = earlier.start_move(500, 600, servers[9]).with_revision(2)
        notice = OwnershipChangeNotice(3, "stock", OwnershipHistory().record(earlier, current))
        assert len(notice.encode()) * 10 < len(current.encode())


class TestOwnershipMap:
    """Replacement of the ranges that changed."""

    def test_ranges_that_do_not_fit_are_rejected(self):
        ownership = divide_evenly(INCARNATIONS, 1).with_revision(4)
        part = ownership.start_move(10, 20, INCARNATIONS[3]).overlapping((KeyInterval(10, 20),))
        with pytest.raises(ValueError, match="revision 4"):
            ownership.replace_ranges(part, 2, 5)
