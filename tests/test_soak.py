"""Short soak test of real daemon processes, and tests of its guarantee checks."""

from __future__ import annotations

import pathlib

import pytest

from fuchsiatrack_standins.fleet.logservice import LogServiceStandIn
from fuchsiatrack_standins.fleet.server import Grant, Run, ServerStandIn
from fuchsiatrack_standins.soak.callers import CompletedCall
from fuchsiatrack_standins.soak.daemons import DaemonState
from fuchsiatrack_standins.soak.guarantees import OwnershipMonitor, check_calls
from fuchsiatrack_standins.soak.run import run_seed


def _call(
    status: int,
    text: str = "s1 c1",
    took_ms: int = 20,
    state: DaemonState = DaemonState.HEALTHY,
) -> CompletedCall:
    return CompletedCall("c1", "POST", "entry-1", status, text, took_ms, state)


def _server(name: str, *request_ids: str) -> ServerStandIn:
    server = ServerStandIn(LogServiceStandIn(), name, "stock", keyed=True)
    server.runs += [
        Run(request_id, 0, "/orders/", "POST", b"", 2_000, finished=True)
        for request_id in request_ids
    ]
    return server


class TestGuarantees:
    """Violations of each guarantee are reported, and nothing else."""

    @pytest.mark.parametrize(
        ("call", "servers", "word"),
        [
            (_call(200), [_server("s1", "c1"), _server("s2", "c1")], "2 times"),
            (_call(503), [_server("s1", "c1")], "rejected with 503"),
            (_call(200, "s1 c9"), [_server("s1", "c1")], "received response"),
            (_call(504, took_ms=2_600), [_server("s1", "c1")], "took 2600 ms"),
            (_call(0), [_server("s1")], "received no response"),
            (_call(0, state=DaemonState.STOPPING), [_server("s1", "c1")], "received no response"),
        ],
    )
    def test_violation_is_reported(self, call: CompletedCall, servers: list, word: str):
        [violation] = check_calls([call], servers)
        assert word in violation

    @pytest.mark.parametrize(
        ("call", "servers"),
        [
            (_call(200), [_server("s1", "c1")]),
            (_call(503), [_server("s1")]),
            (_call(504), [_server("s1", "c1")]),
            (_call(0, state=DaemonState.STOPPING), [_server("s1")]),
            (_call(0, state=DaemonState.FAULTY, took_ms=6_000), [_server("s1", "c1")]),
        ],
    )
    def test_kept_guarantee_is_not_reported(self, call: CompletedCall, servers: list):
        assert check_calls([call], servers) == []

    def test_two_owners_of_a_key_are_reported_after_half_a_second(self):
        servers = {name: _server(name) for name in ("s1", "s2")}
        for server in servers.values():
            server.grants.append(Grant(0, 10, 1, float("inf")))
        monitor = OwnershipMonitor(servers)
        monitor.sample(0.0)
        monitor.sample(0.4)
        assert not monitor.violations
        monitor.sample(0.6)
        assert monitor.violations == ["key 0 held by s1, s2 for half a second"]


class TestSoak:
    """Real daemon processes under injected faults."""

    async def test_short_soak_keeps_the_guarantees(self, tmp_path: pathlib.Path):
        # Timing is not checked, so that a busy machine cannot fail the test; `make soak` checks it.
        result = await run_seed(1, 4.0, 2, tmp_path, check_timing=False)
        assert result.violations == (), result.describe()
        assert result.statuses.get(200, 0) > 50
