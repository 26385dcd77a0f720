"""Bodies that give way to others when memory is short."""

from __future__ import annotations

from fuchsiatrack.callers.requestmemory import Arrival, BodySource, RequestMemory

LIMIT_BYTES = 100
MAX_BODY_BYTES = 50


class FakeSource(BodySource):
    """A body whose arrival is *arrival*; records why it gave way."""

    def __init__(self, arrival: Arrival | None = None) -> None:
        self._arrival = arrival
        self.closed_for = ""

    @property
    def arrival(self) -> Arrival | None:
        return self._arrival

    def give_way(self, reason: str) -> None:
        self.closed_for = reason


def _memory(*sources: FakeSource) -> RequestMemory:
    """Return a memory that is full with bodies of unknown length on *sources*."""
    memory = RequestMemory(LIMIT_BYTES, MAX_BODY_BYTES)
    assert [memory.reserve(source, None) for source in sources] == [MAX_BODY_BYTES] * len(sources)
    return memory


class TestRequestMemory:
    """Two bodies take all of it."""

    def test_slowest_gives_way(self):
        slow, fast, new = FakeSource(Arrival(5.0, 10)), FakeSource(Arrival(2.0, 10)), FakeSource()
        memory = _memory(slow, fast)
        assert memory.reserve(new, None) == MAX_BODY_BYTES
        assert slow.closed_for and not fast.closed_for
        assert memory.total == LIMIT_BYTES

    def test_body_that_has_arrived_stays(self):
        arrived = [FakeSource(), FakeSource()]
        assert _memory(*arrived).reserve(FakeSource(), 1) is None
        assert not any(source.closed_for for source in arrived)

    def test_young_body_gives_way_only_to_a_smaller_one(self):
        young, other = FakeSource(Arrival(0.1, 10)), FakeSource()
        memory = _memory(young, other)
        assert memory.reserve(FakeSource(), None) is None
        assert not young.closed_for
        assert memory.reserve(FakeSource(), MAX_BODY_BYTES - 1) == MAX_BODY_BYTES - 1
        assert young.closed_for and not other.closed_for

    def test_nobody_gives_way_for_too_little(self):
        small, large, other = FakeSource(Arrival(5.0, 1)), FakeSource(), FakeSource()
        memory = RequestMemory(LIMIT_BYTES, MAX_BODY_BYTES)
        for source, length in ((small, 1), (large, 50), (other, 49)):
            memory.reserve(source, length)
        assert memory.reserve(FakeSource(), 2) is None
        assert not small.closed_for

    def test_release_after_giving_way_changes_nothing(self):
        slow = FakeSource(Arrival(5.0, 1))
        memory = _memory(slow, FakeSource())
        memory.reserve(FakeSource(), None)
        memory.release(slow)
        assert memory.total == LIMIT_BYTES

    def test_request_without_a_body_needs_no_room(self):
        assert _memory(FakeSource(), FakeSource()).reserve(FakeSource(), 0) == 0
