"""The request path, through real daemons to stand-in servers on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import json

import aiohttp
import pytest
import pytest_asyncio

from fuchsiatrack.model.objects import Caller, Limit, Service
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack_standins import journal
from fuchsiatrack_standins.deployment import Deployment, Network
from fuchsiatrack_standins.scenarios import sets

pytestmark = pytest.mark.asyncio(loop_scope="module")
OCTET = 15
IDLE_TIMEOUT = 700


def _objects() -> ObjectSet:
    objects = sets.load("small", Network(OCTET))
    digest = "0" * 63
    few = Caller("Caller", "few", digest + "1", ("poles",))
    limited = Caller("Caller", "limited", _digest("limited"), ("poles",))
    limit = Limit("Limit", "limited-poles", "limited", "poles", 0.1, burst=2)
    return ObjectSet((*objects.objects, few, limited, limit))


def _digest(caller: str) -> str:
    import hashlib

    return hashlib.sha256(f"token-of-{caller}".encode()).hexdigest()


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def running():
    settings = {
        "requests": {"body_idle_timeout": IDLE_TIMEOUT},
        "timings": {"leave_notice": 300},
    }
    async with Deployment(_objects(), 2, Network(OCTET), settings=settings) as deployment:
        await deployment.publish()
        for number in (1, 2):
            while not _is_served(await deployment.status(number)):
                await asyncio.sleep(0.05)
        yield deployment


def _is_served(status) -> bool:
    return any(item["keyed"] and not item["unavailable"] for item in status["services"])


@dataclasses.dataclass(frozen=True)
class Got:
    status: int
    headers: dict
    body: bytes

    @property
    def verdict(self) -> str:
        return self.headers.get("Fuchsiatrack-Verdict", "")

    @property
    def reason(self) -> str:
        return self.headers.get("Fuchsiatrack-Reason", "")


async def send(deployment, method="GET", path="/poles/x", daemon=1, token="crew", **more):
    headers = {"Authorization": f"Bearer token-of-{token}", "Fuchsiatrack-Key": "pole-1"}
    headers |= more.pop("headers", {})
    url = deployment.caller_url(daemon) + path
    async with aiohttp.ClientSession() as session:
        async with session.request(method, url, headers=headers, **more) as got:
            return Got(got.status, dict(got.headers), await got.read())


def order(name, **more):
    return {"method": "POST", "headers": {"Idempotency-Key": name, **more}}


def begun(deployment, name):
    events = (event for path in deployment.journals() for event in journal.read(path))
    return sum(1 for e in events if e["event"] == "begin" and e["order"] == name)


async def all_servers(deployment, **faults):
    for server in deployment.objects.servers("poles"):
        await deployment.set_server_faults(server.name, **faults)


class TestAdmission:
    async def test_answer_carries_its_verdict(self, running):
        got = await send(running)
        assert (got.status, got.verdict) == (200, "ran")
        assert b"pole-1" in got.body

    @pytest.mark.parametrize(
        ("change", "status", "reason"),
        [
            ({"headers": {"Authorization": ""}}, 401, "no-token"),
            ({"token": "stranger"}, 401, "unknown-caller"),
            ({"path": "/billing/x"}, 403, "forbidden"),
            ({"headers": {"Fuchsiatrack-Key": ""}}, 400, "no-key"),
            ({"headers": {"Fuchsiatrack-Deadline-Ms": "soon"}}, 400, "bad-header"),
            ({"method": "PUT", "data": b"x" * ((1 << 26) + 1)}, 413, "too-large"),
        ],
    )
    async def test_refusals_are_not_run(self, running, change, status, reason):
        got = await send(running, **change)
        assert (got.status, got.reason, got.verdict) == (status, reason, "not-run")
        assert json.loads(got.body)["reason"] == reason

    async def test_limit_of_a_caller(self, running):
        answers = [await send(running, token="limited") for _ in range(3)]
        assert answers[-1].reason == "rate-limit" and int(answers[-1].headers["Retry-After"]) > 0

    async def test_slow_sending_caller_is_cut(self, running):
        async def body():
            yield b"x" * 100_000
            await asyncio.sleep(IDLE_TIMEOUT / 1000 * 4)
            yield b"y"

        got = await send(running, "PUT", "/footage/x", data=body())
        assert (got.status, got.reason, got.verdict) == (408, "slow-caller", "may-have-run")


class TestLevels:
    async def test_first_assignment_is_no_unavailable_time(self, running):
        window = (await running.read(1, "/levels"))["windows"]["6h"]
        (keys,) = window["keys"]
        assert keys["watched"] > 0 and keys["unavailable"] == 0


class TestOrders:
    async def test_same_id_through_another_daemon_runs_once(self, running):
        first = await send(running, **order("o-1"), daemon=1)
        second = await send(running, **order("o-1"), daemon=2)
        assert first.verdict == "ran"
        assert (second.status, second.reason, second.verdict) == (
            409, "repeated-order", "may-have-run",
        )  # fmt: skip
        assert begun(running, "o-1") == 1

    async def test_refused_order_may_come_again(self, running):
        await all_servers(running, refuse=True)
        first = await send(running, **order("o-2", **{"Fuchsiatrack-Deadline-Ms": "400"}))
        await all_servers(running, refuse=False)
        assert first.verdict == "not-run" and begun(running, "o-2") == 0
        while (second := await send(running, **order("o-2"), daemon=2)).verdict != "ran":
            assert second.reason == "repeated-order"
            await asyncio.sleep(0.1)
        assert begun(running, "o-2") == 1

    async def test_silent_server_leaves_it_open_and_the_order_runs_once(self, running):
        await all_servers(running, silent=True)
        first = await send(running, **order("o-3", **{"Fuchsiatrack-Deadline-Ms": "400"}))
        await all_servers(running, silent=False)
        second = await send(running, **order("o-3"), daemon=2)
        assert (first.verdict, second.verdict) == ("may-have-run", "may-have-run")
        assert begun(running, "o-3") == 1

    async def test_without_the_log_orders_are_refused_and_reads_go_on(self, running):
        await running.set_log_faults(log_down=True)
        refused = await send(running, **order("o-4", **{"Fuchsiatrack-Deadline-Ms": "600"}))
        read = await send(running)
        await running.set_log_faults(log_down=False)
        assert (refused.reason, refused.verdict) == ("order-log-unavailable", "not-run")
        assert read.verdict == "ran"
        while (again := await send(running, **order("o-4"))).verdict != "ran":
            assert again.reason == "repeated-order"
            await asyncio.sleep(0.2)
        assert begun(running, "o-4") == 1


class TestAnswers:
    async def test_large_answer_is_whole(self, running):
        got = await send(running, path="/poles/x?answer_bytes=3000000")
        assert len(got.body) == 3_000_000

    async def test_truncated_large_answer_breaks_the_callers_connection(self, running):
        await all_servers(running, truncate=True)
        try:
            with pytest.raises(aiohttp.ClientError):
                await send(running, path="/poles/x?answer_bytes=3000000")
        finally:
            await all_servers(running, truncate=False)

    @pytest.mark.parametrize(
        ("fault", "reason"), [("truncate", "truncated-answer"), ("crossed", "crossed-answer")]
    )
    async def test_broken_small_answer_is_not_passed_on(self, running, fault, reason):
        await all_servers(running, **{fault: True})
        try:
            got = await send(running, **order(f"o-{fault}"))
        finally:
            await all_servers(running, **{fault: False})
        assert (got.status, got.reason, got.verdict) == (502, reason, "may-have-run")

    async def test_upload_is_whole(self, running):
        got = await send(running, "PUT", "/footage/x", data=b"z" * 5_000_000)
        import hashlib

        digest = hashlib.sha256(b"z" * 5_000_000).hexdigest()[:16]
        assert digest.encode() in got.body


class TestPublishing:
    async def test_new_service_takes_nothing_from_the_others(self, running):
        found = running.objects.servers("footage")[0]
        service = Service("Service", "records")
        address = found.address.replace(".2.", ".3.")
        server = dataclasses.replace(
            found, name="records-1", service="records", address=address, vm=""
        )
        reading = asyncio.create_task(self.read_for(running, 2.0))
        await running.publish(ObjectSet((*running.objects.objects, service, server)))
        assert set(await reading) == {"ran"}

    async def read_for(self, running, seconds):
        loop = asyncio.get_running_loop()
        end, verdicts = loop.time() + seconds, []
        while loop.time() < end:
            verdicts.append((await send(running)).verdict)
        return verdicts


class TestGracefulStop:
    async def test_upload_in_flight_is_finished(self, running):
        async def body():
            for _ in range(30):
                yield b"x" * 20_000
                await asyncio.sleep(0.1)

        await running.add_daemon(3)
        await running.wait_ready(3)
        upload = asyncio.create_task(send(running, "PUT", "/footage/x", 3, data=body()))
        await asyncio.sleep(0.5)
        stop = asyncio.create_task(running.stop(running.daemon_name(3)))
        await asyncio.sleep(0.1)
        ready = await send(running, path="/-/ready", daemon=3)
        got = await upload
        assert ready.status == 503
        assert got.verdict == "ran"
        assert await stop == 0
