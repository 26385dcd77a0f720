"""Whole requests through gateway daemons on the stand-ins of the users' platform."""

from __future__ import annotations

import asyncio
import secrets

import pytest

from fuchsiatrack_standins.fleet.store import Mode
from tests.fleet import HOST, Fleet, route, run_fleet

READS = route("reads", "/reads/", "safe", "catalogue")
ORDERS = route("orders", "/orders/", "unsafe", "booking")
KEYED = route("stock", "/stock/", "safe", "stock", Priority=2)


@pytest.fixture
async def fleet():
    """Return a fleet with one daemon, three services and their servers."""
    async with run_fleet() as running:
        running.publish(1, [READS, ORDERS, KEYED], sharded=("stock",))
        for index in range(2):
            await running.add_server(f"catalogue-{index}", "catalogue")
            await running.add_server(f"booking-{index}", "booking")
        for index in range(3):
            await running.add_server(f"stock-{index}", "stock", keyed=True)
        await running.add_daemon("entry-1")
        await running.wait_ready()
        yield running


class TestForwarding:
    """What reaches the servers, and what comes back."""

    async def test_request_and_answer_are_passed_on_unchanged(self, fleet: Fleet):
        raw = "/reads/a%2Fb/%7Ec?x=1&y=%20&&z"
        status, body, headers = await fleet.call(raw, request_id="id-1")
        assert status == 200
        ran = [run for server in fleet.servers.values() for run in server.runs]
        assert [run.request_id for run in ran] == ["id-1"]
        assert body.endswith(b" id-1")
        assert headers["X-Gateway-Stamp"].startswith("stamp.catalogue-")

    async def test_raw_target_is_kept(self, fleet: Fleet):
        reader, writer = await asyncio.open_connection(*_callers(fleet))
        target = "/reads/../a//%2e%2E/?q=%"
        head = f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\n\r\n"
        writer.write(head.encode())
        assert b" 200 " in await reader.readline()
        writer.close()
        assert [run.path for run in _runs(fleet, "catalogue")] == [target]

    @pytest.mark.parametrize("size", [0, 10, 60_000, 300_000])
    async def test_body_is_whole(self, fleet: Fleet, size: int):
        body = secrets.token_bytes(size)
        status, _, _ = await fleet.call("/orders/", method="POST", body=body)
        assert status == 200
        assert [run.body for run in _runs(fleet, "booking")] == [body]

    async def test_body_in_chunks_is_whole(self, fleet: Fleet):
        async def parts():
            for part in (b"a" * 70_000, b"b", b"c" * 10):
                yield part

        status, _, _ = await fleet.call("/orders/", method="POST", body=parts())
        assert status == 200
        assert [run.body for run in _runs(fleet, "booking")] == [b"a" * 70_000 + b"b" + b"c" * 10]

    async def test_caller_that_asks_first_is_told_to_go_on(self, fleet: Fleet):
        reader, writer = await asyncio.open_connection(*_callers(fleet))
        head = f"POST /orders/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\n"
        writer.write(f"{head}Content-Length: 2\r\nExpect: 100-continue\r\n\r\n".encode())
        async with asyncio.timeout(1):
            assert b" 100 " in await reader.readline()
            await reader.readline()
            writer.write(b"ok")
            assert b" 200 " in await reader.readline()
        writer.close()
        assert [run.body for run in _runs(fleet, "booking")] == [b"ok"]

    async def test_time_left_shrinks_on_the_way(self, fleet: Fleet):
        await fleet.call("/reads/", deadline=500)
        [run] = _runs(fleet, "catalogue")
        assert 0 < run.deadline_ms < 500

    async def test_unknown_path_is_not_found(self, fleet: Fleet):
        assert (await fleet.call("/nowhere/"))[0] == 404

    async def test_key_reaches_its_only_owner(self, fleet: Fleet):
        for key in (0, 1, 30_000, 65_535):
            assert (await fleet.call("/stock/", key=key))[0] == 200
            owners = [item for item in fleet.servers.values() if item.holds(key)]
            assert len(owners) == 1
            assert owners[0].runs[-1].key == key

    async def test_keyed_request_without_key_is_refused(self, fleet: Fleet):
        assert (await fleet.call("/stock/"))[0] == 400
        assert not _runs(fleet, "stock")


class TestVerdicts:
    """What a caller is told when no server answered well."""

    async def test_lost_answer_of_an_order_promises_nothing(self, fleet: Fleet):
        _answer_all(fleet, "booking", _abort)
        status, _, headers = await fleet.call("/orders/", method="POST", body=b"x")
        assert status == 502
        assert "Retry-After" not in headers
        assert len(_runs(fleet, "booking")) == 1

    async def test_lost_answer_of_a_read_is_sent_again(self, fleet: Fleet):
        fleet.servers["catalogue-0"].answer = _abort
        statuses = [(await fleet.call("/reads/"))[0] for _ in range(10)]
        assert statuses == [200] * 10

    async def test_refused_order_is_sent_to_another_server(self, fleet: Fleet):
        fleet.servers["booking-0"].shed_all = True
        statuses = [(await fleet.call("/orders/", method="POST"))[0] for _ in range(6)]
        assert statuses == [200] * 6
        assert len(_runs(fleet, "booking")) == 6

    async def test_order_that_no_server_takes_has_not_run(self, fleet: Fleet):
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].shed_all = True
        status, _, headers = await fleet.call("/orders/", method="POST")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not _runs(fleet, "booking")

    async def test_promise_of_a_server_that_ran_it_is_not_passed_on(self, fleet: Fleet):
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].status = 503
        status, _, headers = await fleet.call("/orders/", method="POST")
        assert status == 502
        assert "X-Gateway-Stamp" not in headers

    @pytest.mark.parametrize("status", [400, 404, 409, 500, 504])
    async def test_failure_of_a_server_is_passed_on(self, fleet: Fleet, status: int):
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].status = status
        got, _, headers = await fleet.call("/orders/", method="POST")
        assert got == status
        assert headers["X-Gateway-Stamp"].startswith("stamp.booking")

    @pytest.mark.parametrize("fault", ["crossed", "unsigned", "encoded", "short", "reset"])
    async def test_broken_answer_is_no_answer(self, fleet: Fleet, fault: str):
        _answer_all(fleet, "booking", _BROKEN[fault])
        status, _, headers = await fleet.call("/orders/", method="POST")
        assert status == 502
        assert "X-Gateway-Stamp" not in headers

    async def test_extra_answer_is_nobodys(self, fleet: Fleet):
        _answer_all(fleet, "catalogue", _twice)
        for index in range(8):
            status, body, _ = await fleet.call("/reads/", request_id=f"id-{index}")
            assert (status, body) == (200, f"id-{index}".encode())

    async def test_answer_that_ends_with_its_connection_is_whole(self, fleet: Fleet):
        _answer_all(fleet, "catalogue", _unframed)
        status, body, _ = await fleet.call("/reads/", request_id="u")
        assert (status, body) == (200, b"u" * 1_000)

    async def test_deadline_ends_a_sent_order_without_a_promise(self, fleet: Fleet):
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].work_ms = 3_000
        status, _, _ = await fleet.call("/orders/", method="POST", deadline=200)
        assert status == 504


class TestCallersThatLeave:
    """A request whose caller has gone is ended at its server."""

    async def test_work_ends_with_the_callers_connection(self, fleet: Fleet):
        for name in ("catalogue-0", "catalogue-1"):
            fleet.servers[name].work_ms = 5_000
        call = asyncio.create_task(fleet.call("/reads/"))
        while not _runs(fleet, "catalogue"):
            await asyncio.sleep(0.01)
        call.cancel()
        [run] = _runs(fleet, "catalogue")
        async with asyncio.timeout(2):
            while not run.finished:
                await asyncio.sleep(0.01)


class TestConfiguration:
    """Versions come into force and never go back."""

    async def test_new_version_is_in_force(self, fleet: Fleet):
        fleet.publish(2, [ORDERS, KEYED], sharded=("stock",))
        await _wait_for(lambda: fleet.daemons["entry-1"]._configuration.table.version == 2)
        assert (await fleet.call("/reads/"))[0] == 404

    async def test_older_and_broken_versions_are_passed_over(self, fleet: Fleet):
        fleet.publish(5, [READS, ORDERS, KEYED], sharded=("stock",))
        fleet.publish(4, [READS], sharded=("stock",))
        fleet.log_service.put("keyed.op", "config", {"Version": "00000009"})
        fleet.log_service.put("keyed.op", "other", {"Version": "0000000a"})
        await asyncio.sleep(0.3)
        assert fleet.daemons["entry-1"]._configuration.table.version == 5

    async def test_version_is_seen_when_the_history_is_gone(self, fleet: Fleet):
        fleet.log_service.partition("keyed.op").expire()
        fleet.publish(3, [READS], sharded=("stock",))
        fleet.log_service.partition("keyed.op").expire()
        await _wait_for(lambda: fleet.daemons["entry-1"]._configuration.table.version == 3)

    async def test_poll_that_hears_nothing_is_found_out_by_a_peer(self, fleet: Fleet):
        await fleet.add_daemon("entry-2")
        await fleet.wait_ready()
        fleet.log_service.deaf_reads = True
        await asyncio.sleep(0.7)
        fleet.publish(7, [READS], sharded=("stock",))
        fleet.log_service.deaf_reads = False
        first, second = fleet.daemons["entry-1"], fleet.daemons["entry-2"]
        second._consumers["configuration"].poll_now()
        await _wait_for(lambda: first._configuration.table.version == 7, 2.0)

    async def test_slow_store_delays_a_version_by_little_more_than_its_answers(self, fleet: Fleet):
        """Peers that say that a record is missed must not break off the read that fetches it."""
        fleet.log_service.delay_ms = 450
        fleet.publish(2, [ORDERS, KEYED], sharded=("stock",))
        consumer = fleet.daemons["entry-1"]._consumers["configuration"]

        async def remind():
            while True:
                consumer.observe_peer_offset(consumer.next + 1)
                await asyncio.sleep(0.1)

        reminder = asyncio.create_task(remind())
        await _wait_for(lambda: fleet.daemons["entry-1"]._configuration.table.version == 2, 2.0)
        reminder.cancel()

    async def test_request_outlives_its_service(self, fleet: Fleet):
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].work_ms = 400
            fleet.servers[name].slots = 1
        calls = [asyncio.create_task(fleet.call("/orders/", method="POST")) for _ in range(3)]
        await asyncio.sleep(0.1)
        fleet.publish(2, [READS, KEYED], sharded=("stock",))
        assert {(await call)[0] for call in calls} <= {200, 503}
        assert (await calls[0])[0] == 200

    async def test_without_a_configuration_requests_are_not_run(self):
        async with run_fleet() as empty:
            await empty.add_daemon("entry-1")
            await asyncio.sleep(0.2)
            assert (await empty.call("/reads/"))[0] == 503

    async def test_split_follows_its_weights(self, fleet: Fleet):
        parts = [{"Service": "catalogue", "Weight": 90}, {"Service": "booking", "Weight": 10}]
        split = {key: value for key, value in READS.items() if key != "Service"}
        fleet.publish(2, [{**split, "TrafficSplit": parts}, ORDERS, KEYED], sharded=("stock",))
        await _wait_for(lambda: fleet.daemons["entry-1"]._configuration.table.version == 2)
        for _ in range(200):
            await fleet.call("/reads/")
        assert 5 <= len(_runs(fleet, "booking")) <= 45


class TestServers:
    """Which servers get requests."""

    async def test_leaving_server_gets_nothing_and_its_keys_move(self, fleet: Fleet):
        leaving = fleet.servers["stock-0"]
        # Ready says that owners are known; their first grants follow.
        await _wait_for(lambda: leaving.grants)
        leaving.announce("draining")
        await _wait_for(lambda: not any(leaving.holds(key) for key in range(0, 65_536, 512)))
        assert leaving.released
        before = len(leaving.runs)
        statuses = [(await fleet.call("/stock/", key=key))[0] for key in range(0, 65_536, 4_096)]
        assert statuses == [200] * 16
        assert len(leaving.runs) == before

    async def test_next_owner_gets_the_handover(self, fleet: Fleet):
        await _wait_for(lambda: fleet.servers["stock-1"].grants)
        fleet.servers["stock-1"].announce("draining")
        await _wait_for(lambda: not any(fleet.servers["stock-1"].holds(k) for k in (0, 30_000)))
        await asyncio.sleep(0.3)
        handed = [
            body["Handover"]
            for server in fleet.servers.values()
            for _, body in server.granted
            if "Handover" in body
        ]
        assert handed and all(token.startswith("stock-1-") for token in handed)

    async def test_joining_server_gets_keys(self, fleet: Fleet):
        for key in range(0, 65_536, 1_024):
            await fleet.call("/stock/", key=key)
        joined = await fleet.add_server("stock-9", "stock", keyed=True)
        await _wait_for(lambda: any(joined.holds(key) for key in range(0, 65_536, 64)), 6.0)

    async def test_server_that_took_an_address_gets_no_grants_of_the_former(self, fleet: Fleet):
        """A grant there would give it keys under a fence that the former server had."""
        taken = fleet.servers["stock-0"]
        taken.id, taken.grants, taken.granted = "stock-7", [], []
        await asyncio.sleep(2.0)
        assert not taken.granted

    async def test_forged_entries_name_no_server(self, fleet: Fleet):
        entry = {"Address": "127.0.0.1:9", "born": 1, "Info": {"Service": "catalogue"}}
        fleet.log_service.put("keyed.servers", "forged-1", entry)
        fleet.log_service.put("keyed.servers", "forged-2", ["nonsense"])
        fleet.log_service.put("keyed.servers", "forged-3", {**entry, "Status": {"State": "asleep"}})
        await asyncio.sleep(0.5)
        assert not any(name.startswith("forged") for name in _listed(fleet))

    async def test_address_of_another_server_runs_nothing(self, fleet: Fleet):
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].id = "someone-else"
        status, _, _ = await fleet.call("/orders/", method="POST")
        assert status == 503
        assert not _runs(fleet, "booking")

    async def test_address_of_another_server_is_tried_once(self, fleet: Fleet):
        """Arrivals there count against the other service's budget of further sends."""
        taken = fleet.servers["booking-0"]
        taken.id = "someone-else"
        for _ in range(30):
            assert (await fleet.call("/orders/", method="POST"))[0] == 200
        assert taken.misrouted <= 1

    async def test_entries_that_lapse_in_an_outage_are_kept_for_a_while(self, fleet: Fleet):
        fleet.log_service.mode = Mode.BUSY
        for consumer in fleet.daemons["entry-1"]._consumers.values():
            consumer.poll_now()
        await asyncio.sleep(0.6)
        fleet.servers["booking-0"].withdraw()
        fleet.log_service.mode = Mode.SERVING
        await asyncio.sleep(0.7)
        assert "booking-0" in _listed(fleet)
        await _wait_for(lambda: "booking-0" not in _listed(fleet), 5.0)


class TestStop:
    """A graceful stop loses nothing."""

    async def test_running_request_is_finished(self, fleet: Fleet):
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].work_ms = 600
        call = asyncio.create_task(fleet.call("/orders/", method="POST"))
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(fleet.stop_daemon("entry-1"))
        status, _, headers = await call
        assert status == 200
        assert headers["Connection"] == "close"
        await stop

    async def test_kept_connection_brings_no_request_at_the_end_of_a_stop(self, fleet: Fleet):
        """A request that is taken shortly before the end of the grace could not be finished."""
        reader, writer = await asyncio.open_connection(*_callers(fleet))
        head = f"GET /reads/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\n\r\n"
        writer.write(head.encode())
        assert b" 200 " in await reader.readline()
        stop = asyncio.create_task(fleet.stop_daemon("entry-1"))
        await asyncio.sleep(2.3)
        for name in ("booking-0", "booking-1"):
            fleet.servers[name].work_ms = 1_900
        call = asyncio.create_task(fleet.call("/orders/", method="POST", deadline=2_500))
        async with asyncio.timeout(1.5):
            await reader.read()
        assert not call.done()
        assert (await call)[0] == 200
        await stop

    async def test_leader_stops_in_time_while_the_store_is_silent(self, fleet: Fleet):
        """Its resignation can't be written, and must not keep it from ending."""
        daemon = fleet.daemons["entry-1"]
        await _wait_for(daemon._range_service.leadership.has_valid_lease, 3.0)
        fleet.log_service.mode = Mode.SILENT
        started = asyncio.get_running_loop().time()
        stop = asyncio.create_task(fleet.stop_daemon("entry-1"))
        await asyncio.sleep(0.3)
        # What it says of its grants must stay true until the record is written.
        assert not daemon._range_service._controllers
        await stop
        assert asyncio.get_running_loop().time() - started < 4.0

    async def test_control_that_failed_is_not_started_again(self, fleet: Fleet, monkeypatch):
        """The term is given up, and what its last word says of its grants must stay true."""
        range_service = fleet.daemons["entry-1"]._range_service
        await _wait_for(lambda: range_service._controllers, 3.0)
        fleet.log_service.mode = Mode.SILENT
        [controller] = range_service._controllers.values()

        def fail() -> None:
            raise RuntimeError("control failed")

        monkeypatch.setattr(controller, "_is_due_to_plan", fail)
        await asyncio.sleep(0.5)
        started_again = bool(range_service._controllers)
        fleet.log_service.mode = Mode.SERVING
        assert not started_again

    async def test_leader_without_a_store_grants_for_long_before_it_ends(self, fleet: Fleet):
        """Nobody can take over, so the servers have to last until the store is back."""
        await _wait_for(fleet.daemons["entry-1"]._range_service.leadership.has_valid_lease, 3.0)
        fleet.log_service.mode = Mode.SILENT
        await asyncio.sleep(1.4)
        await fleet.stop_daemon("entry-1")
        await asyncio.sleep(2.5)
        keys = range(0, 65_536, 4_096)
        assert all(any(item.holds(key) for item in fleet.servers.values()) for key in keys)

    async def test_leader_that_resigns_leaves_no_long_wait(self, fleet: Fleet):
        await fleet.add_daemon("entry-2")
        await fleet.wait_ready()
        lost = fleet.servers["stock-0"]
        await fleet.stop_daemon("entry-1")
        fleet.settings.pop("entry-1")
        second = fleet.daemons["entry-2"]
        await _wait_for(lambda: second._range_service.leadership.has_valid_lease(), 3.0)
        [controller] = second._range_service._controllers.values()
        assert controller.extended_grants_remaining < 5_000
        await lost.stop()
        lost.grants.clear()
        keys = range(0, 65_536, 4_096)
        await _wait_for(
            lambda: all(any(item.holds(k) for item in fleet.servers.values()) for k in keys), 7.5
        )

    async def test_other_daemon_takes_over_with_the_same_grants(self, fleet: Fleet):
        await fleet.add_daemon("entry-2")
        await fleet.wait_ready()
        before = _owners(fleet)
        await fleet.kill_daemon("entry-1")
        fleet.settings.pop("entry-1")
        second = fleet.daemons["entry-2"]
        await _wait_for(lambda: second._range_service.leadership.has_valid_lease(), 6.0)
        await asyncio.sleep(0.5)
        assert _owners(fleet) == before
        assert not any(server.released for server in fleet.servers.values())


def _callers(fleet: Fleet) -> tuple[str, int]:
    endpoint = next(iter(fleet.settings.values())).callers
    return endpoint.host, endpoint.port


def _runs(fleet: Fleet, service: str) -> list:
    servers = (server for server in fleet.servers.values() if server.service == service)
    return [run for server in servers for run in server.runs]


def _listed(fleet: Fleet) -> set[str]:
    return set(fleet.daemons["entry-1"]._directory.entries)


def _owners(fleet: Fleet) -> dict[int, list[str]]:
    keys = range(0, 65_536, 256)
    return {
        key: [name for name, server in fleet.servers.items() if server.holds(key)] for key in keys
    }


def _answer_all(fleet: Fleet, service: str, answer) -> None:
    for server in fleet.servers.values():
        if server.service == service:
            server.answer = answer


async def _wait_for(condition, timeout: float = 4.0) -> None:
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.02)


async def _abort(request, headers):
    request.transport.abort()
    await asyncio.sleep(0)


def _raw(head: str, body: bytes = b""):
    async def answer(request, headers):
        lines = [head, *(f"{name}: {value}" for name, value in headers.items())]
        request.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        request.transport.close()
        await asyncio.sleep(0)

    return answer


async def _twice(request, headers):
    body = headers["X-Request-Id"].encode()
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    whole = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    request.transport.write(whole + whole)
    await asyncio.sleep(0.2)
    request.transport.close()


async def _unframed(request, headers):
    await _raw("HTTP/1.1 200 OK", headers["X-Request-Id"].encode() * 1_000)(request, headers)


async def _crossed(request, headers):
    headers = {**headers, "X-Request-Id": "another"}
    await _raw("HTTP/1.1 200 OK\r\nContent-Length: 2", b"ok")(request, headers)


async def _unsigned(request, headers):
    headers = {name: value for name, value in headers.items() if name != "X-Gateway-Stamp"}
    await _raw("HTTP/1.1 200 OK\r\nContent-Length: 2", b"ok")(request, headers)


async def _reset_unframed(request, headers):
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
    request.transport.write("\r\n".join(lines).encode() + b"\r\n\r\npart")
    await asyncio.sleep(0.05)
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    request.transport.abort()


_BROKEN = {
    "crossed": _crossed,
    "unsigned": _unsigned,
    "encoded": _raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Encoding: gzip", b"ok"),
    "short": _raw("HTTP/1.1 200 OK\r\nContent-Length: 20", b"ok"),
    "reset": _reset_unframed,
}
