"""Key ranges under random faults: no key ever has valid grants at two servers."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from fuchsiatrack.control.compactedlog import ReadContext
from fuchsiatrack.directory.departurebudget import DepartureBudget
from fuchsiatrack.directory.servers import ServerDirectory, ServerIncarnation
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.limits.registry import LimitRegistry
from fuchsiatrack.ranges import controller as controller_module
from fuchsiatrack.ranges import grantrenewer
from fuchsiatrack.ranges.controller import RangeController
from fuchsiatrack.ranges.grantclient import GrantRefused, NotDelivered, OutcomeUnknown
from fuchsiatrack.ranges.inheritedgrants import InheritedGrants
from fuchsiatrack.ranges.ownership import LAST_KEY, OwnershipMap
from fuchsiatrack.ranges.planner import BalancedPlanner
from tests.test_ranges import INCARNATIONS, FakeLeadership, FakeRangeGrantClient, SavedMaps, _entry

# The keys that are checked; moves also split ranges between them.
SAMPLE_KEYS = tuple(range(0, LAST_KEY, 331))
RUN_S = 4.0
EXTENDED_GRANT_MS = 900
MAX_LATE_S = 0.3


class FaultyRangeGrantClient(FakeRangeGrantClient):
    """A grant client whose servers lose responses, apply grants late, and check fences by key.

    The duration of a grant counts from its arrival, even if it is applied late. A late grant is
    refused if the server has seen a greater fence in the meantime.
    """

    def __init__(self, clock, rng: random.Random) -> None:
        super().__init__(clock)
        self._rng = rng
        self.fences: dict[str, list[tuple[int, int, int]]] = {}
        self.loss_ratio = 0.0
        self.ended: set[str] = set()

    def end(self, address: str) -> None:
        """End the server at *address*; it ignores all later requests."""
        self.ended.add(address)
        self.active_grants.pop(address, None)

    async def grant(self, server, grant, timeout):
        address = server.address
        if address in self.unreachable | self.ended:
            raise NotDelivered(address)
        until = self._clock.now() + grant.duration
        if self._rng.random() < self.loss_ratio:
            delay = self._rng.uniform(0, MAX_LATE_S)
            asyncio.get_running_loop().call_later(delay, self._apply, address, grant, until)
            raise OutcomeUnknown(address)
        if not self._apply(address, grant, until):
            raise GrantRefused(address)

    async def release(self, server, first, last, fence, timeout):
        address = server.address
        if address in self.unreachable | self.ended:
            raise NotDelivered(address)
        self.fences.setdefault(address, []).append((first, last, fence))
        self.active_grants[address] = dict(self._without(address, first, last))
        if self._rng.random() < self.loss_ratio:
            raise OutcomeUnknown(address)
        return f"token-{fence}"

    def _apply(self, address, grant, until) -> bool:
        if address in self.ended:
            return False
        seen = self.fences.setdefault(address, [])
        if any(a <= grant.last and grant.first <= b and f > grant.fence for a, b, f in seen):
            return False
        seen.append((grant.first, grant.last, grant.fence))
        active_grants = dict(self._without(address, grant.first, grant.last))
        active_grants[grant.first, grant.last] = (until, grant.fence)
        self.active_grants[address] = active_grants
        return True

    def _without(self, address, first, last):
        """Yield the grants of the server without the keys from *first* to *last*."""
        for (start, end), value in self.active_grants.get(address, {}).items():
            if end < first or last < start:
                yield (start, end), value
                continue
            if start < first:
                yield (start, first - 1), value
            if last < end:
                yield (last + 1, end), value


class Trial:
    """Controllers of successive terms, servers with faults, and a check of all sample keys."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = SystemClock()
        self.directory = ServerDirectory(self.clock, DepartureBudget(2_000, 3_000))
        for incarnation in INCARNATIONS:
            self.directory.put(_entry(incarnation), ReadContext())
        self.grant_client = FaultyRangeGrantClient(self.clock, self.rng)
        self.saved = SavedMaps()
        self.violations: list[tuple[int, list[str]]] = []
        self.start_term()

    def start_term(self) -> None:
        """Start a term with the latest saved map."""
        self.leadership = FakeLeadership()
        self.controller = RangeController(
            "stock",
            self.leadership,
            self.directory,
            self.grant_client,
            BalancedPlanner(),
            self.clock,
            EXTENDED_GRANT_MS,
            self.saved[-1] if self.saved else OwnershipMap(),
            lambda item: self.clock.now(),
            self.saved.save,
            LimitRegistry(lambda server: True),
            InheritedGrants(self.clock, grantrenewer.grant_timings(EXTENDED_GRANT_MS)),
        )
        self.task = asyncio.create_task(self.controller.run())

    async def watch(self) -> None:
        """Record keys with valid grants at two servers, until cancelled."""
        while True:
            for key in SAMPLE_KEYS:
                holders = self.grant_client.holders(key)
                if len(holders) > 1:
                    self.violations.append((key, holders))
            await asyncio.sleep(0.005)

    def inject_fault(self) -> None:
        """Inject one random fault or change."""
        server = f"s{self.rng.randrange(len(INCARNATIONS))}"
        entry = self.directory.find(server)
        kind = self.rng.randrange(6)
        if kind == 0 and entry:
            self.grant_client.unreachable ^= {entry.address}
        elif kind == 1 and entry:
            self.directory.put(
                dataclasses.replace(entry, draining=not entry.draining), ReadContext()
            )
        elif kind == 2 and entry:
            # The server restarts; its new incarnation has no state.
            self.grant_client.end(entry.address)
            self.directory.put(
                _entry(ServerIncarnation(server, entry.incarnation.started_at + 1)), ReadContext()
            )
        elif kind == 3:
            self.grant_client.loss_ratio = self.rng.choice((0.0, 0.3))
        elif kind == 4:
            self.leadership.is_lease_at_risk = not self.leadership.is_lease_at_risk
        else:
            self.leadership.holds_term = False
            self.task.cancel()
            self.start_term()
        counts = {self.rng.randrange(LAST_KEY): 5 for _ in range(20)}
        self.controller.key_load.add(counts)


class TestRandomFaults:
    """At no time do two servers have valid grants for one key.

    A seed that ever fails is kept as a seed of this test.
    """

    @pytest.fixture(autouse=True)
    def short_durations(self, monkeypatch):
        for name, value in (
            ("GRANT_DURATION_MS", 400),
            ("EXTENDED_GRANT_DURATION_MS", EXTENDED_GRANT_MS),
            ("UNREACHABLE_AFTER_MS", 150),
            # Late grants are applied within this time.
            ("GRANT_TIMEOUT_MS", int(MAX_LATE_S * 1_000) + 50),
            ("LEASE_DURATION_MS", 50),
            ("PROBE_PERIOD_MS", 50),
            ("RETRY_DELAY_MS", 20),
        ):
            monkeypatch.setattr(grantrenewer, name, value)
        for name, value in (
            ("FIRST_ASSIGNMENT_DELAY_MS", 0),
            ("STEP_PERIOD_MS", 10),
            ("BALANCE_PERIOD_MS", 50),
            ("RETRY_DELAY_MS", 20),
        ):
            monkeypatch.setattr(controller_module, name, value)

    @pytest.mark.parametrize("seed", range(6))
    async def test_no_key_has_two_holders(self, seed: int):
        trial = Trial(seed)
        watcher = asyncio.create_task(trial.watch())
        end = asyncio.get_running_loop().time() + RUN_S
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(trial.rng.uniform(0.05, 0.25))
            trial.inject_fault()
        assert not watcher.done()
        watcher.cancel()
        trial.task.cancel()
        assert not trial.violations
        fences = [item.fence for item in trial.saved[-1].ranges]
        assert max(fences) > 1

    async def test_watch_sees_a_second_holder(self):
        """Guards against a check that never fails: two servers have a grant for all keys."""
        trial = Trial(0)
        trial.task.cancel()
        for incarnation in INCARNATIONS[:2]:
            trial.grant_client.active_grants[f"{incarnation.server}:1"] = {
                (0, LAST_KEY): (trial.clock.now() + 500, 1)
            }
        watcher = asyncio.create_task(trial.watch())
        await asyncio.sleep(0.05)
        watcher.cancel()
        assert trial.violations
