"""Short soak test of real daemon processes, and tests of its guarantee checks."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib

import pytest

from fuchsiatrack.limits.retryratio import RetryBudgetSettings
from fuchsiatrack_standins.fleet.logservice import LogServiceStandIn
from fuchsiatrack_standins.fleet.server import (
    Arrival,
    Grant,
    NamedLimit,
    Run,
    ServerStandIn,
    TurnedAway,
)
from fuchsiatrack_standins.soak.callers import CompletedCall
from fuchsiatrack_standins.soak.connectingcaller import CONNECTIONS_AT_ONCE, ConnectingCaller
from fuchsiatrack_standins.soak.daemons import DaemonState
from fuchsiatrack_standins.soak.guarantees import (
    Disturbance,
    OwnershipMonitor,
    check_calls,
    check_departures,
    check_limits,
)
from fuchsiatrack_standins.soak.persistentcaller import PersistentCaller
from fuchsiatrack_standins.soak.pipeliningcaller import PipeliningCaller
from fuchsiatrack_standins.soak.rawcaller import RawCaller
from fuchsiatrack_standins.soak.rawconnection import RawConnection
from fuchsiatrack_standins.soak.run import run_seed
from fuchsiatrack_standins.soak.serverwishes import check_leaving, check_pauses, check_repeats
from fuchsiatrack_standins.soak.slowcaller import SlowCaller
from fuchsiatrack_standins.soak.uploadcaller import UploadCaller


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

    @pytest.mark.parametrize(
        ("state", "whole_sent_at_s", "on_own_connection", "is_reported"),
        [
            (DaemonState.STOPPING, 100.1, False, True),
            (DaemonState.STOPPING, 100.2, False, False),
            (DaemonState.STOPPING, 100.3, True, True),
            (DaemonState.STOPPING, None, False, False),
            (DaemonState.STOPPING, None, True, False),
            (DaemonState.HEALTHY, None, True, True),
            (DaemonState.FAULTY, 100.1, True, False),
        ],
    )
    def test_request_that_is_lost_before_a_server_has_it_is_reported(
        self,
        state: DaemonState,
        whole_sent_at_s: float | None,
        on_own_connection: bool,
        is_reported: bool,
    ):
        """Guards against a stop that ends connections whose request was complete."""
        call = dataclasses.replace(
            _call(0, took_ms=350, state=state),
            sent_at_s=100.0,
            whole_sent_at_s=whole_sent_at_s,
            on_own_connection=on_own_connection,
        )
        assert bool(check_calls([call], [_server("s1")])) is is_reported

    @pytest.mark.parametrize(("took_ms", "is_reported"), [(3_500, False), (3_501, True)])
    def test_pauses_of_the_caller_make_no_response_late(self, took_ms: int, is_reported: bool):
        """Guards against late responses that are put down to the caller, and the reverse."""
        call = dataclasses.replace(_call(200, took_ms=took_ms), paused_ms=1_000)
        assert bool(check_calls([call], [_server("s1", "c1")])) is is_reported

    @pytest.mark.parametrize(("count", "is_reported"), [(11, False), (12, True)])
    def test_more_requests_than_a_named_limit_allows_are_reported(self, count, is_reported):
        server = _server("s1")
        server.limits += [NamedLimit("1.0", 100.0)]
        server.arrivals += [Arrival("c1", 103.5 + 0.1 * index) for index in range(count)]
        assert bool(check_limits([_call(200)], [server])) == is_reported

    @pytest.mark.parametrize("value", [None, "", "nan"])
    def test_requests_while_no_limit_is_named_are_not_reported(self, value):
        server = _server("s1")
        server.limits += [NamedLimit("1.0", 100.0), NamedLimit(value, 103.6)]
        server.arrivals += [Arrival("c1", 103.5 + 0.1 * index) for index in range(40)]
        assert check_limits([_call(200)], [server]) == []

    def test_request_that_reaches_a_server_long_after_it_left_is_reported(self):
        server = _server("s1", "in-time", "late")
        server.left_at_s = 100.0
        in_time, late = server.runs
        in_time.arrived_at_s, late.arrived_at_s = 101.9, 102.1
        [violation] = check_departures([server], [])
        assert violation == "late reached s1 100 ms too late"

    @pytest.mark.parametrize(("ended_at_s", "is_excused"), [(99.2, True), (99.0, False)])
    def test_disturbance_excuses_a_late_request_until_its_daemon_is_bound_again(
        self, ended_at_s: float, is_excused: bool
    ):
        server = _server("s1", "late")
        server.left_at_s = 90.0
        server.runs[0].arrived_at_s = 102.1
        disturbances = [Disturbance(95.0, ended_at_s)]
        assert (check_departures([server], disturbances) == []) is is_excused

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


def _sent(request_id: str, sent_at_s: float, leaving: bool = False) -> CompletedCall:
    """Return a call through entry-1 that got a response of s1 after 20 ms."""
    state = DaemonState.HEALTHY
    return CompletedCall(
        request_id, "GET", "entry-1", 200, "s1 c1", 20, state, "/keyed/", sent_at_s, leaving
    )


class TestServerWishes:
    """Violations of what servers ask for are reported, and nothing else."""

    @pytest.mark.parametrize(
        ("sent_at_s", "disturbed_at_s", "is_reported"),
        [(101.9, [], False), (102.1, [], True), (102.1, [101.0], False), (102.1, [99.0], True)],
    )
    def test_request_sent_long_after_its_daemon_passed_the_notice_on_is_reported(
        self, sent_at_s: float, disturbed_at_s: list[float], is_reported: bool
    ):
        server = _server("s1")
        server.arrivals += [Arrival("c1", 100.0), Arrival("c2", sent_at_s + 0.1)]
        calls = [_sent("c1", 100.0, leaving=True), _sent("c2", sent_at_s)]
        violations = check_leaving(calls, [server], {"entry-1": disturbed_at_s})
        assert bool(violations) is is_reported

    @pytest.mark.parametrize(
        ("first_at_s", "count", "disturbed_at_s", "is_reported"),
        [
            (100.6, 2, [], False),
            (100.6, 3, [], True),
            (100.4, 3, [], False),
            (103.1, 9, [], False),
            (100.6, 3, [100.5], False),
        ],
    )
    def test_requests_in_a_pause_that_the_server_asked_for_are_reported(
        self, first_at_s: float, count: int, disturbed_at_s: list[float], is_reported: bool
    ):
        server = _server("s1")
        server.turned_away.append(TurnedAway("c1", 100.0, "3"))
        server.arrivals += [Arrival("c1", first_at_s + 0.01 * index) for index in range(count)]
        disturbances = {"entry-1": disturbed_at_s}
        violations = check_pauses([_sent("c1", 100.0)], [server], disturbances, {})
        assert bool(violations) is is_reported

    def test_cut_connections_and_malformed_values_excuse_requests_in_a_pause(self):
        server, calls = _server("s1"), [_sent("c1", 100.0)]
        server.turned_away += [TurnedAway("c1", 100.0, "3"), TurnedAway("c1", 100.0, "soon")]
        server.arrivals += [Arrival("c1", 101.0 + 0.01 * index) for index in range(9)]
        cut = {"s1": [Disturbance(99.0, 100.1)]}
        assert check_pauses(calls, [server], {"entry-1": []}, cut) == []

    @pytest.mark.parametrize(("retries", "is_reported"), [(7, False), (8, True)])
    def test_more_retries_than_the_budget_allows_are_reported(
        self, retries: int, is_reported: bool
    ):
        """Ten requests allow two of them, the fixed part five."""
        server = _server("s1")
        calls = [_sent(f"c{index}", 100.0 + index / 10) for index in range(10)]
        server.arrivals += [Arrival(call.request_id, call.sent_at_s) for call in calls]
        server.arrivals += [Arrival("c0", 102.0 + index / 10) for index in range(retries)]
        budget = RetryBudgetSettings(0.2, 5.0, 10_000)
        assert bool(check_repeats(calls, [server], {"/keyed/": "stock"}, budget)) is is_reported


class TestSoak:
    """Real daemon processes under injected faults."""

    async def test_short_soak_keeps_the_guarantees(self, tmp_path: pathlib.Path):
        # Timing is not checked, so that a busy machine cannot fail the test; `make soak` checks it.
        result = await run_seed(1, 4.0, 2, tmp_path, check_timing=False)
        assert result.violations == (), result.describe()
        assert result.statuses.get(200, 0) > 50

    async def test_servers_leave_in_series_while_settings_and_configurations_change(
        self, tmp_path: pathlib.Path
    ):
        result = await run_seed(3, 6.0, 4, tmp_path, check_timing=False)
        assert result.violations == (), result.describe()
        assert result.statuses.get(200, 0) > 50


class FakeDaemon:
    """A daemon that answers *responses* requests on each connection and then closes it."""

    vm = "entry-1"
    state = DaemonState.STOPPING
    start_count = 1

    def __init__(self, responses: int) -> None:
        self._responses = responses
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.callers_address = ("", 0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.callers_address = self._server.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        for _ in range(self._responses):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    def close(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


class TestPersistentCaller:
    """A caller that uses its connection for as long as the daemon lets it."""

    async def test_connection_is_used_until_the_daemon_closes_it(self):
        daemon, calls = FakeDaemon(responses=2), []
        await daemon.start()
        caller = asyncio.create_task(PersistentCaller("p1", daemon, 1, calls.append).run())
        async with asyncio.timeout(30):
            while len(calls) < 6:
                await asyncio.sleep(0.01)
        caller.cancel()
        daemon.close()
        assert [call.status for call in calls[:6]] == [200, 200, 0, 200, 200, 0]
        assert {call.state for call in calls} == {DaemonState.STOPPING}


async def _record_calls(kind: type[RawCaller], responses: int, count: int) -> list[CompletedCall]:
    """Return the first *count* calls at a daemon that answers so many requests a connection."""
    daemon, calls = FakeDaemon(responses), []
    await daemon.start()
    caller = asyncio.create_task(kind("r1", [daemon], 1, calls.append).run())
    async with asyncio.timeout(30):
        while len(calls) < count:
            await asyncio.sleep(0.01)
    caller.cancel()
    await asyncio.gather(caller, return_exceptions=True)
    daemon.close()
    return calls[:count]


class TestRawCallers:
    """Callers that notice how a daemon ends their connections."""

    @pytest.mark.parametrize("kind", [ConnectingCaller, SlowCaller])
    async def test_each_request_has_a_connection_of_its_own(self, kind: type[RawCaller]):
        """Guards against requests on connections that the daemon has announced to close."""
        calls = await _record_calls(kind, 1, 4)
        assert {call.status for call in calls} == {200}
        assert all(call.on_own_connection and call.whole_sent_at_s for call in calls)

    async def test_requests_of_closed_connections_are_reported(self):
        """Guards against lost requests that their caller doesn't record as complete."""
        calls = await _record_calls(ConnectingCaller, 0, CONNECTIONS_AT_ONCE)
        assert len(check_calls(calls, [])) == CONNECTIONS_AT_ONCE

    async def test_request_whose_connection_ends_before_its_body_is_not_complete(self):
        """Guards against violations where the daemon can't have read the request."""
        calls = await _record_calls(SlowCaller, 0, 6)
        assert {call.status for call in calls} == {0}
        complete = [call for call in calls if call.whole_sent_at_s]
        assert 0 < len(complete) < len(calls)
        assert len(check_calls(calls, [])) == len(complete)

    async def test_nothing_is_sent_on_a_connection_that_has_ended(self):
        """Guards against a request that counts as complete though its last part came too late."""
        daemon = FakeDaemon(0)
        await daemon.start()
        connection = await RawConnection.open(daemon.callers_address)
        await connection.send(b"POST / HTTP/1.1\r\n\r\n")
        with pytest.raises(EOFError):
            await connection.read_response()
        with pytest.raises(ConnectionAbortedError):
            await connection.send(b"body")
        connection.close()
        daemon.close()

    async def test_slow_caller_records_its_pauses(self):
        """Guards against responses that count as late because their caller was."""
        calls = await _record_calls(SlowCaller, 1, 3)
        assert any(call.paused_ms for call in calls)
        assert all(call.took_ms >= call.paused_ms for call in calls)

    async def test_each_pipelined_request_is_recorded(self):
        """Guards against losses behind the first response of a connection."""
        calls = await _record_calls(PipeliningCaller, 1, 6)
        assert [call.status for call in calls].count(200) in (2, 3)
        assert 0 in {call.status for call in calls}
        assert len({call.request_id for call in calls}) == 6
        assert not any(call.on_own_connection for call in calls)

    async def test_upload_whose_response_is_dropped_is_recorded(self):
        """Guards against a reset during a body that no check sees."""
        [call] = await _record_calls(UploadCaller, 0, 1)
        assert (call.status, call.on_own_connection) == (0, True)
        assert check_calls([dataclasses.replace(call, state=DaemonState.HEALTHY)], [])
