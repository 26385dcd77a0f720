"""Unit tests of the request path: limits, connections, retries, load balancing, placement."""

from __future__ import annotations

import random

import pytest
from test_model import small_set

from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.check import check_documents
from fuchsiatrack.model.objects import Limit
from fuchsiatrack.plugins.placement import PlacementInput
from fuchsiatrack.routing.connectionpool import RESERVED_CONNECTIONS, BackendConnectionPool
from fuchsiatrack.routing.errors import RequestError
from fuchsiatrack.routing.limits import RequestLimiter
from fuchsiatrack.routing.loadbalancer import LoadBalancer
from fuchsiatrack.routing.retries import BUDGET_MAX_SENDS, RetryBudget

AMPLIFICATION_MAX_RATIO = 1.2


class ManualClock(Clock):
    """A clock that the test advances by hand."""

    def __init__(self):
        self.now_ms = 10_000

    def now(self):
        return self.now_ms


class TestLimits:
    def limit(self, **more):
        return Limit("Limit", "l", "crew", "poles", 10.0, **more)

    def test_rate_is_shared_between_daemons(self):
        clock = ManualClock()
        limiter = RequestLimiter(clock, lambda: 2)
        limit = self.limit(burst=2)
        limiter.acquire([limit])
        with pytest.raises(RequestError):
            limiter.acquire([limit])
        clock.now_ms += 200
        assert limiter.acquire([limit])

    def test_requests_in_flight(self):
        limiter = RequestLimiter(ManualClock(), lambda: 1)
        limit = self.limit(in_flight=1)
        acquired = limiter.acquire([limit])
        with pytest.raises(RequestError):
            limiter.acquire([limit])
        limiter.release(acquired)
        assert limiter.acquire([limit])

    def test_rejected_request_counts_against_no_limit(self):
        limiter = RequestLimiter(ManualClock(), lambda: 1)
        full, free = self.limit(in_flight=1), Limit("Limit", "m", "crew", "poles", 10.0, burst=2)
        limiter.acquire([full])
        with pytest.raises(RequestError):
            limiter.acquire([free, full])
        assert limiter.acquire([free]) and limiter.acquire([free])


class TestBackendConnectionPool:
    @pytest.mark.parametrize("limit", [50, 110, 1_000])
    def test_connections_of_all_daemons_and_grants_stay_within_the_limit(self, limit):
        daemons = 10
        shares = BackendConnectionPool(daemons).connection_limits(limit)
        assert min(shares) >= 1
        assert daemons * sum(shares) + RESERVED_CONNECTIONS <= limit


class TestRetryBudget:
    def test_many_failures_are_not_amplified(self):
        budget, sends = RetryBudget(), 0
        for _ in range(1_000):
            budget.deposit()
            sends += 1
            while budget.try_acquire():
                sends += 1
        assert sends <= 1_000 * AMPLIFICATION_MAX_RATIO

    def test_saved_budget_is_bounded(self):
        budget = RetryBudget()
        for _ in range(100_000):
            budget.deposit()
        acquired = 0
        while budget.try_acquire():
            acquired += 1
        assert acquired <= BUDGET_MAX_SENDS


class TestLoadBalancer:
    def load_balancer(self, servers=4):
        documents = [
            {"kind": "FailureDomain", "name": "a"},
            {"kind": "Service", "name": "records"},
        ]
        documents += [
            {
                "kind": "BackendServer",
                "name": f"records-{n}",
                "service": "records",
                "failure_domain": "a",
                "address": f"127.0.2.{n}:7100",
            }
            for n in range(1, servers + 1)
        ]
        objects = check_documents(documents).objects
        clock = ManualClock()
        self.draining = set()
        is_draining = self.draining.__contains__
        load_balancer = LoadBalancer(
            "records", lambda: objects, is_draining, clock, random.Random(1)
        )
        return load_balancer, clock

    def fail_server(self, load_balancer, name):
        for _ in range(100):
            target = load_balancer.select()
            load_balancer.request_started(target)
            load_balancer.request_finished(target, 10, target.server == name)

    def test_failing_server_is_ejected(self):
        load_balancer, _ = self.load_balancer()
        self.fail_server(load_balancer, "records-1")
        assert "records-1" not in {load_balancer.select().server for _ in range(50)}

    def test_some_servers_stay_in_use_when_all_fail(self):
        load_balancer, _ = self.load_balancer()
        for _ in range(200):
            target = load_balancer.select()
            load_balancer.request_started(target)
            load_balancer.request_finished(target, 10, True)
        assert len({load_balancer.select().server for _ in range(50)}) >= 2

    def test_draining_server_gets_no_requests(self):
        load_balancer, _ = self.load_balancer()
        self.draining.add("records-2")
        assert "records-2" not in {load_balancer.select().server for _ in range(50)}


class TestPlacementPolicies:
    PARTITIONS = [f"all/{n}" for n in range(40)]
    CAPACITY = {f"poles-{n}": 4 for n in range(5)}

    def place(self, policy, owners=None, load=None, capacity=None, pinned=None):
        registry.load_plugins()
        inputs = PlacementInput(
            self.PARTITIONS, owners or {}, load or {}, capacity or self.CAPACITY, pinned or {}
        )
        return registry.find("placement", policy)().place(inputs)

    @pytest.mark.parametrize("policy", ["rendezvous", "bounded-load", "load-aware"])
    def test_places_every_partition_and_keeps_pins(self, policy):
        wanted = self.place(policy, pinned={"all/7": "poles-3"})
        assert set(wanted) == set(self.PARTITIONS) and wanted["all/7"] == "poles-3"
        assert set(wanted.values()) <= set(self.CAPACITY)

    @pytest.mark.parametrize("policy", ["rendezvous", "bounded-load", "load-aware"])
    def test_lost_server_moves_only_its_own_partitions(self, policy):
        owners = self.place(policy)
        remaining = {name: slots for name, slots in self.CAPACITY.items() if name != "poles-0"}
        wanted = self.place(policy, owners, capacity=remaining)
        moved = {name for name in owners if owners[name] != wanted[name]}
        assert moved == {name for name in owners if owners[name] == "poles-0"}

    def test_pinning_a_partition_moves_no_other(self):
        owners = self.place("bounded-load")
        target = next(name for name in self.CAPACITY if name != owners["all/1"])
        wanted = self.place("bounded-load", owners, pinned={"all/1": target})
        moved = {name for name in owners if owners[name] != wanted[name]}
        assert moved == {"all/1"}

    def test_small_set_has_no_findings(self):
        assert check_documents(small_set()).findings == ()
