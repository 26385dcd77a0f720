"""A short soak of real processes, and the checks of its promises."""

from __future__ import annotations

import pathlib

import pytest

from fuchsiatrack_standins.fleet.instance import Grant, InstanceStandIn, Run
from fuchsiatrack_standins.fleet.store import StoreStandIn
from fuchsiatrack_standins.soak.callers import Call
from fuchsiatrack_standins.soak.daemons import State
from fuchsiatrack_standins.soak.promises import OwnerWatch, check_calls
from fuchsiatrack_standins.soak.run import run_seed


def _call(status: int, text: str = "s1 c1", took_ms: int = 20, state: State = State.WELL) -> Call:
    return Call("c1", "POST", "entry-1", status, text, took_ms, state)


def _server(name: str, *runs: str) -> InstanceStandIn:
    server = InstanceStandIn(StoreStandIn(), name, "stock", keyed=True)
    server.runs += [Run(item, 0, "/orders/", "POST", b"", 2_000, finished=True) for item in runs]
    return server


class TestPromises:
    """Each promise that is broken is seen."""

    @pytest.mark.parametrize(
        ("call", "servers", "word"),
        [
            (_call(200), [_server("s1", "c1"), _server("s2", "c1")], "2 times"),
            (_call(503), [_server("s1", "c1")], "answered 503"),
            (_call(200, "s1 c9"), [_server("s1", "c1")], "got the answer"),
            (_call(504, took_ms=2_600), [_server("s1", "c1")], "took 2600 ms"),
            (_call(0), [_server("s1")], "was cut"),
            (_call(0, state=State.STOPPING), [_server("s1", "c1")], "was cut"),
        ],
    )
    def test_broken_promise_is_named(self, call: Call, servers: list, word: str):
        [broken] = check_calls([call], servers)
        assert word in broken

    @pytest.mark.parametrize(
        ("call", "servers"),
        [
            (_call(200), [_server("s1", "c1")]),
            (_call(503), [_server("s1")]),
            (_call(504), [_server("s1", "c1")]),
            (_call(0, state=State.STOPPING), [_server("s1")]),
            (_call(0, state=State.FAULTY, took_ms=6_000), [_server("s1", "c1")]),
        ],
    )
    def test_kept_promise_is_not(self, call: Call, servers: list):
        assert check_calls([call], servers) == []

    def test_two_holders_of_a_key_are_named_after_half_a_second(self):
        servers = {name: _server(name) for name in ("s1", "s2")}
        for server in servers.values():
            server.grants.append(Grant(0, 10, 1, float("inf")))
        watch = OwnerWatch(servers)
        watch.look(0.0)
        watch.look(0.4)
        assert not watch.broken
        watch.look(0.6)
        assert watch.broken == ["key 0 held by s1, s2 for half a second"]


class TestSoak:
    """Real daemons under faults from outside."""

    async def test_short_soak_keeps_the_promises(self, tmp_path: pathlib.Path):
        # The verdict must not depend on how crowded the machine is; `make soak` checks times too.
        result = await run_seed(1, 4.0, 2, tmp_path, timed=False)
        assert result.broken == (), result.describe()
        assert result.statuses.get(200, 0) > 50
