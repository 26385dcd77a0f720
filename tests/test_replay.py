"""Replay is deterministic and ignores void records, and appends take effect exactly once."""

from __future__ import annotations

import asyncio
import random

import pytest
from fakes import LogClient, MemoryLog, Network, NodeClock, RunState, run_virtual
from hypothesis import given, settings
from hypothesis import strategies as st
from test_model import small_set

from fuchsiatrack.control import records as r
from fuchsiatrack.control.orders import BeginResult, OrderDeduplicator, OrdersState
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.snapshots import Snapshotter
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.control.voter import Voter
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import CLOCK_DRIFT_PPM, drift_lower_bound, drift_upper_bound
from fuchsiatrack.kernel.errors import PlatformUnavailable

DAEMONS = tuple(r.Daemon(f"entry-{n}", f"entry-{n}.0", "a", "127.0.1.1", 8082) for n in range(3))
PARTITIONS = ("all/0", "all/1", "all/1/key:k")
terms = st.integers(0, 40)
placed = st.lists(
    st.builds(r.PartitionAssignment, st.sampled_from(PARTITIONS), st.sampled_from(("s1", "s2"))),
    max_size=3,
).map(tuple)


def _build(make, *parts):
    return st.tuples(*parts).map(lambda values: lambda record_id: make(record_id, *values))


builders = st.one_of(
    _build(
        lambda i, t, d: r.Claim("claim", i, t, DAEMONS[d], DAEMONS, 1), terms, st.integers(0, 2)
    ),
    _build(lambda i, t: r.Voters("voters", i, t, DAEMONS[:2], 2), terms),
    _build(lambda i, t: r.Resign("resign", i, t), terms),
    _build(lambda i, t, p: r.Assign("assign", i, t, p), terms, placed),
    _build(lambda i, t, p: r.Move("move", i, t, p), terms, placed),
    _build(lambda i, t: r.Split("split", i, t, "all/1", "k"), terms),
    _build(lambda i, t: r.Merge("merge", i, t, "all/1/key:k"), terms),
    _build(lambda i, b: r.Publish("publish", i, b, small_set(), "", "op"), terms),
    _build(lambda i, t, p: r.Accept("accept", i, t, p), terms, terms),
    _build(lambda i, t, p: r.Reject("reject", i, t, p, ()), terms, terms),
)
writes = st.tuples(st.integers(0, 2), builders, st.booleans())


def history(steps):
    """Return the encoded records of *steps*; a retried step is appended twice."""
    sequences, data = [0, 0, 0], []
    for writer, build, is_retried in steps:
        sequences[writer] += 1
        encoded = r.encode(build(r.RecordId(f"w{writer}", sequences[writer])))
        data += [encoded] * (2 if is_retried else 1)
    return data


def replay(data, state=None, first=1):
    state = state or ShardState()
    for offset, item in enumerate(data, first):
        state.apply(offset, r.decode(item))
    return state


class TestReplayProperties:
    @given(st.lists(writes, max_size=40), st.integers(0, 40))
    @settings(max_examples=150, deadline=None)
    def test_snapshot_and_tail_equal_full_replay(self, steps, cut):
        data = history(steps)
        part, whole = replay(data[:cut]), replay(data)
        restored = ShardState()
        restored.load(part.dump(), len(data[:cut]))
        assert replay(data[cut:], restored, len(data[:cut]) + 1).dump() == whole.dump()

    @given(st.lists(writes, max_size=40))
    @settings(max_examples=150, deadline=None)
    def test_resent_records_change_nothing(self, steps):
        once = replay(history([(w, b, False) for w, b, _ in steps]))
        state, offsets = ShardState(), iter(range(1, 1_000))
        for item in history([(w, b, False) for w, b, _ in steps]):
            offset = next(offsets)
            state.apply(offset, r.decode(item))
            state.apply(offset, r.decode(item))
        assert state.dump() == once.dump()

    @given(st.lists(writes, max_size=40))
    @settings(max_examples=150, deadline=None)
    def test_terms_and_fences_only_grow(self, steps):
        state, highest = ShardState(), {}
        for offset, item in enumerate(history(steps), 1):
            term = state.term
            state.apply(offset, r.decode(item))
            assert state.term in (term, offset)
            for name, owner in state.ownership.items():
                assert owner.fence >= highest.get(name, 0)
                highest[name] = owner.fence


class TestRecords:
    def state(self):
        return replay(history([(0, self.claim(0), False), (0, self.assign(1, "s1"), False)]))

    def claim(self, supersedes, daemon=0, voters=DAEMONS):
        return lambda i: r.Claim("claim", i, supersedes, DAEMONS[daemon], voters, 1)

    def assign(self, term, server):
        return lambda i: r.Assign("assign", i, term, (r.PartitionAssignment("all/0", server),))

    def apply(self, state, build):
        offset = state.applied + 1
        return state.apply(offset, r.decode(r.encode(build(r.RecordId("w9", offset)))))

    def test_first_claim_after_a_term_wins(self):
        state = self.state()
        assert self.apply(state, self.claim(1, 1))
        assert not self.apply(state, self.claim(1, 2))
        assert state.leader == DAEMONS[1]

    def test_later_claim_keeps_the_voters(self):
        state = self.state()
        assert self.apply(state, self.claim(1, 1, DAEMONS[:1]))
        assert state.voters == DAEMONS

    def test_assign_requires_the_current_term(self):
        state = self.state()
        self.apply(state, self.claim(1, 1))
        assignments = (r.PartitionAssignment("all/1", "s2"),)
        assert not self.apply(state, lambda i: r.Assign("assign", i, 1, assignments))

    def test_assign_requires_an_announced_move(self):
        state = self.state()
        assert not self.apply(state, self.assign(1, "s2"))
        move = r.PartitionAssignment("all/0", "s2")
        assert self.apply(state, lambda i: r.Move("move", i, 1, (move,)))
        assert self.apply(state, self.assign(1, "s2"))
        assert state.ownership["all/0"].server == "s2"

    def test_split_raises_the_fence_of_the_slot(self):
        state = self.state()
        assert self.apply(state, lambda i: r.Split("split", i, 1, "all/0", "k"))
        hot, slot = state.ownership["all/0/key:k"], state.ownership["all/0"]
        assert hot.fence == slot.fence == state.applied
        assert state.partition_of("all/0", "k") == "all/0/key:k"

    def test_publish_is_accepted_only_on_its_base(self):
        state = self.state()
        for operator in ("one", "other"):
            self.apply(state, lambda i, o=operator: r.Publish("publish", i, 0, small_set(), "", o))
        first, second = sorted(state.pending)
        assert self.apply(state, lambda i: r.Accept("accept", i, 1, first))
        assert not self.apply(state, lambda i: r.Accept("accept", i, 1, second))
        assert state.revision == first


class TestVoter:
    def test_supports_no_lower_term(self):
        async def run():
            voter = Voter(NodeClock(), 900)
            assert voter.support("s", 5).granted
            assert not voter.support("s", 4).granted
            voter.observe_term("s", 9)
            assert not voter.support("s", 5).granted
            # Support of term 5 has not expired, so the leader of term 9 has to wait.
            assert voter.support("s", 9).earlier_support_remaining > 0

        run_virtual(run())


class TestClock:
    def test_bounds_cover_clock_drift(self):
        assert drift_upper_bound(10_000) >= 10_000 * (1 + CLOCK_DRIFT_PPM / 1e6)
        assert drift_lower_bound(10_000) <= 10_000 * (1 - CLOCK_DRIFT_PPM / 1e6)


class ReplayHarness:
    """A log with any number of replicas and writers, on virtual time."""

    def __init__(self, seed=0):
        self.network = Network(seed)
        self.log = MemoryLog(random.Random(seed))
        self.tasks = []

    def start_replica(self, name, create=ShardState):
        client = LogClient(self.log, self.network, name, RunState())
        replica = StateReplica(client, "stream", create, NodeClock(), 500)
        self.tasks.append(asyncio.create_task(replica.run()))
        return replica, StreamWriter(client, replica, name, NodeClock())

    def deduplicator(self, name):
        replica, writer = self.start_replica(name, OrdersState)
        deduplicator = OrderDeduplicator(replica, writer, NodeClock())
        self.tasks.append(asyncio.create_task(deduplicator.run()))
        return deduplicator

    def run(self, scenario):
        async def guarded():
            try:
                return await scenario()
            finally:
                for task in self.tasks:
                    task.cancel()

        return run_virtual(guarded())


def resign(record_id):
    return r.Resign("resign", record_id, 0)


class TestWriter:
    @pytest.mark.parametrize("seed", range(8))
    def test_lost_responses_and_late_appends_write_once(self, seed):
        harness = ReplayHarness(seed)

        async def scenario():
            replica, writer = harness.start_replica("one")
            other, _ = harness.start_replica("two")
            harness.log.response_loss_rate, harness.log.late_append_rate = 0.4, 0.3
            claims = []
            for term in range(10):

                def build(record_id, term=term):
                    return r.Claim("claim", record_id, claims[-1] if term else 0, DAEMONS[0], (), 1)

                applied = await writer.append(build, 60_000)
                assert applied.valid
                claims.append(applied.offset)
            await asyncio.sleep(10)
            assert replica.state.dump() == other.state.dump()
            assert replica.state.term == claims[-1]

        harness.run(scenario)

    def test_append_fails_in_an_outage_and_succeeds_afterwards(self):
        harness = ReplayHarness()

        async def scenario():
            _, writer = harness.start_replica("one")
            harness.log.down = True
            with pytest.raises(PlatformUnavailable):
                await writer.append(resign, 2_000)
            harness.log.down = False
            assert await writer.append(resign, 5_000)

        harness.run(scenario)


class TestExpiry:
    def test_new_replica_starts_from_a_snapshot(self):
        harness = ReplayHarness()

        async def scenario():
            replica, writer = harness.start_replica("one")
            snapshots = Snapshotter(replica, writer, lambda: True, NodeClock(), 10, 10**6)
            harness.tasks.append(asyncio.create_task(snapshots.run()))
            await writer.append(lambda i: r.Claim("claim", i, 0, DAEMONS[0], DAEMONS, 1), 5_000)
            for _ in range(30):
                await writer.append(resign, 5_000)
            await asyncio.sleep(2)
            harness.log.expire("stream", replica.snapshot_offset - 1)
            other, _ = harness.start_replica("two")
            await asyncio.wait_for(other.caught_up.wait(), 5)
            assert other.state.dump() == replica.state.dump()
            assert other.state.term == 1

        harness.run(scenario)

    def test_replica_without_snapshot_does_not_catch_up(self):
        harness = ReplayHarness()

        async def scenario():
            _, writer = harness.start_replica("one")
            for _ in range(5):
                await writer.append(resign, 5_000)
            harness.log.expire("stream", 3)
            other, _ = harness.start_replica("two")
            await asyncio.sleep(20)
            assert not other.caught_up.is_set()

        harness.run(scenario)


class TestOrderDeduplicator:
    def attempt(self, name):
        return r.Attempt("crew", "order-1", name)

    def test_one_order_id_begins_once_through_two_daemons(self):
        harness = ReplayHarness()

        async def scenario():
            one, two = harness.deduplicator("one"), harness.deduplicator("two")
            begun = await asyncio.gather(
                one.begin(self.attempt("a"), 5_000), two.begin(self.attempt("b"), 5_000)
            )
            assert sorted(b.value for b in begun) == ["first", "repeat"]

        harness.run(scenario)

    def test_released_attempt_lets_the_order_begin_again(self):
        harness = ReplayHarness()

        async def scenario():
            one, two = harness.deduplicator("one"), harness.deduplicator("two")
            assert await one.begin(self.attempt("a"), 5_000) is BeginResult.FIRST
            one.release(self.attempt("a"))
            await asyncio.sleep(1)
            assert await two.begin(self.attempt("b"), 5_000) is BeginResult.FIRST

        harness.run(scenario)

    def test_attempt_released_in_an_outage_is_removed(self):
        harness = ReplayHarness()

        async def scenario():
            one = harness.deduplicator("one")
            harness.log.down = True
            assert await one.begin(self.attempt("a"), 300) is BeginResult.UNSETTLED
            one.release(self.attempt("a"))
            harness.log.down = False
            await asyncio.sleep(15)
            assert await one.begin(self.attempt("b"), 5_000) is BeginResult.FIRST

        harness.run(scenario)

    def test_late_record_of_a_released_attempt_is_ignored(self):
        state = OrdersState()
        released = r.Orders("orders", r.RecordId("w", 2), (), (self.attempt("a"),))
        begun = r.Orders("orders", r.RecordId("v", 1), (self.attempt("a"),), ())
        state.apply(1, released)
        state.apply(2, begun)
        assert state.find("crew", "order-1") is None
