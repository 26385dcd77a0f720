"""Measures how costs grow: each at two or more sizes, for docs/CAPACITY.md.

State costs are measured on the real state classes; running costs on deployments without load,
from the daemons' own processor time and the loopback interface's byte counter.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import json
import pathlib
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import grpclib.server
from absl import app, flags
from grpclib.client import Channel
from tabulate import tabulate

from fuchsiatrack.control import records as r
from fuchsiatrack.control.orders import OrdersState
from fuchsiatrack.control.state import ReplicatedState, ShardState
from fuchsiatrack.control.voter import Voter
from fuchsiatrack.daemon.peerservice import PeerService
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.model.check import check_documents, check_paths
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.peers.peers_grpc import PeersStub
from fuchsiatrack.peers.peers_pb2 import SupportRequest
from fuchsiatrack_standins.deployment import Deployment, Network

_OUT = flags.DEFINE_string("out", "slopes.json", "File for the results.")
_IDLE_S = flags.DEFINE_float("idle_seconds", 8.0, "How long each idle deployment is watched.")

LOOPBACK_BYTES = pathlib.Path("/sys/class/net/lo/statistics/rx_bytes")
DAEMON = r.Daemon("entry-1", "entry-1.0.abcdef", "cork", "127.0.1.1", 8082)
CALL_ADDRESS = ("127.0.3.2", 8082)
ASSIGN_BATCH = 500


@dataclasses.dataclass(frozen=True)
class Point:
    """One measured value at one size."""

    measure: str
    size_of: str
    size: int
    value: float
    unit: str


def documents(servers: int, slots: int, callers: int = 1) -> list[dict[str, Any]]:
    """Return a set with one keyed service."""
    token = hashlib.sha256
    return [
        {"kind": "FailureDomain", "name": "a"},
        {"kind": "Service", "name": "poles", "keyed": True},
        {"kind": "Placement", "name": "spread", "service": "poles"},
        {
            "kind": "KeyRange",
            "name": "all",
            "service": "poles",
            "placement": "spread",
            "slots": slots,
        },
        *(
            {
                "kind": "Caller",
                "name": f"caller-{number}",
                "token_sha256": token(f"token-of-caller-{number}".encode()).hexdigest(),
                "services": ["poles"],
            }
            for number in range(callers)
        ),
        *(
            {
                "kind": "BackendServer",
                "name": f"poles-{number}",
                "service": "poles",
                "failure_domain": "a",
                "address": f"127.{40 + number // 250}.2.{number % 250 + 1}:7100",
            }
            for number in range(servers)
        ),
    ]


def _timed(job: Callable[[], Any]) -> tuple[Any, float]:
    started = time.perf_counter()
    result = job()
    return result, (time.perf_counter() - started) * 1_000


def _state_points(size: int) -> list[Point]:
    names = [f"all/{number}" for number in range(size)]
    records = [r.encode(r.Claim("claim", r.RecordId("w", 1), 0, DAEMON, (DAEMON,), 1))]
    records += [
        r.encode(
            r.Assign(
                "assign",
                r.RecordId("w", 2 + start),
                1,
                tuple(
                    r.PartitionAssignment(name, f"poles-{start % 15}")
                    for name in names[start : start + ASSIGN_BATCH]
                ),
            )
        )
        for start in range(0, size, ASSIGN_BATCH)
    ]
    tracemalloc.start()
    state, replay_ms = _timed(lambda: _replay(ShardState(), records))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    dump, dump_ms = _timed(state.dump)
    data = r.encode(r.Snapshot("snapshot", r.RecordId("w", 10**6), state.applied, dump))
    snapshot, decode_ms = _timed(lambda: r.decode(data))
    _, load_ms = _timed(lambda: ShardState().load(snapshot.state, snapshot.as_of))
    return [
        Point("shard state memory", "partitions", size, memory / 1_024, "KiB"),
        Point("replay", "partitions", size, replay_ms, "ms"),
        Point("snapshot dump", "partitions", size, dump_ms, "ms"),
        Point("snapshot record", "partitions", size, len(data) / 1_024, "KiB"),
        Point("snapshot decode and load", "partitions", size, decode_ms + load_ms, "ms"),
    ]


def _replay(state: ReplicatedState, records: list[bytes]) -> ReplicatedState:
    for offset, data in enumerate(records, 1):
        state.apply(offset, r.decode(data))
    return state


def _order_points(size: int) -> list[Point]:
    attempts = [r.Attempt("fogline", f"order-{number}", f"{number:016x}") for number in range(size)]
    records = [
        r.encode(r.Orders("orders", r.RecordId("w", 1 + n), tuple(attempts[n : n + 20]), ()))
        for n in range(0, size, 20)
    ]
    tracemalloc.start()
    state, replay_ms = _timed(lambda: _replay(OrdersState(), records))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    size_of_record = sum(len(record) for record in records) / size
    assert isinstance(state, OrdersState)
    return [
        Point("order memory", "order ids", size, memory / 1_024, "KiB"),
        Point("order replay", "order ids", size, replay_ms, "ms"),
        Point("order on the log", "order ids", size, size_of_record, "bytes each"),
    ]


def _set_points(size: int) -> list[Point]:
    given = documents(servers=size // 2, slots=64, callers=size // 2)
    checked, check_ms = _timed(lambda: check_documents(given))
    assert not checked.findings
    publish = r.Publish("publish", r.RecordId("w", 1), 0, given, checked.objects.digest, "op")
    data = r.encode(publish)
    _, load_ms = _timed(lambda: ObjectSet.from_documents(r.decode(data).documents))
    return [
        Point("check of a set", "objects", size, check_ms, "ms"),
        Point("publish record", "objects", size, len(data) / 1_024, "KiB"),
        Point("adopting a revision", "objects", size, load_ms, "ms"),
    ]


async def _idle_points(daemons: int, servers: int, slots: int, size_of: str) -> list[Point]:
    size = {"daemons": daemons, "servers": servers, "slots": slots}[size_of]
    objects = check_documents(documents(servers, slots)).objects
    async with Deployment(objects, daemons, Network(40)) as deployment:
        await deployment.publish()
        await asyncio.sleep(5)
        before = [await deployment.status(number) for number in range(1, daemons + 1)]
        stats, bytes_before = await deployment.platform_stats(), _loopback_bytes()
        await asyncio.sleep(_IDLE_S.value)
        received = _loopback_bytes() - bytes_before
        appends = (await deployment.platform_stats())["appends"] - stats["appends"]
        after = [await deployment.status(number) for number in range(1, daemons + 1)]
    shares = {
        new["vm"]: (new["cpu_s"] - old["cpu_s"]) / _IDLE_S.value * 100
        for old, new in zip(before, after, strict=True)
    }
    leaders = {
        item["vm"]
        for item in after
        for shard in item["shards"]
        if shard["shard"] == "poles" and shard["acting"]
    }
    leader = max((shares[name] for name in leaders), default=0.0)
    others = [share for name, share in shares.items() if name not in leaders]
    return [
        Point("idle leader, processor", size_of, size, leader, "% of a core"),
        Point("idle daemon, processor", size_of, size, sum(others) / len(others), "% of a core"),
        Point("all control traffic", size_of, size, received / _IDLE_S.value / 1_024, "KiB/s"),
        Point("appends", size_of, size, appends / _IDLE_S.value, "/s"),
        Point("memory", size_of, size, max(i["memory_kb"] for i in after) / 1_024, "MiB"),
    ]


def _loopback_bytes() -> int:
    return int(LOOPBACK_BYTES.read_text())


async def _call_points(calls: int) -> list[Point]:
    """Measure support calls between two ends in one process: both ends' processor time."""
    clock = SystemClock()
    service = PeerService(DAEMON, Voter(clock, 900), lambda name: None, lambda: True)
    server = grpclib.server.Server([service])
    await server.start(*CALL_ADDRESS)
    channel = Channel(*CALL_ADDRESS)
    stub = PeersStub(channel)
    request = SupportRequest(shard="poles", term=5, voter=DAEMON.incarnation)
    for _ in range(50):
        await stub.Support(request)
    bytes_before, started = _loopback_bytes(), time.process_time()
    for _ in range(calls):
        await stub.Support(request)
    spent = (time.process_time() - started) / calls * 1_000
    received = (_loopback_bytes() - bytes_before) / calls
    channel.close()
    server.close()
    return [
        Point("peer call, both ends", "calls", calls, spent, "ms each"),
        Point("peer call, both ways", "calls", calls, received, "bytes each"),
    ]


async def _request_points(rate: int) -> list[Point]:
    """Measure a daemon's processor time for each read that it routes."""
    objects = check_paths([pathlib.Path("examples/mist-poles")]).objects
    async with Deployment(objects, 1, Network()) as deployment:
        await deployment.publish()
        await asyncio.sleep(4)
        before = await deployment.status(1)
        command = ["-m", "fuchsiatrack_standins.load", f"--urls={deployment.caller_url(1)}"]
        command += [f"--rate={rate}", f"--seconds={_IDLE_S.value}", "--warm_seconds=0"]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        after = await deployment.status(1)
    answered = json.loads(output)["answered"]
    spent = (after["cpu_s"] - before["cpu_s"]) / answered * 1_000
    return [Point("routed read", "requests/s", rate, spent, "ms of processor each")]


async def _run_idle() -> list[Point]:
    points = [point for calls in (500, 2_000) for point in await _call_points(calls)]
    points += [point for rate in (200, 800) for point in await _request_points(rate)]
    for daemons, servers, slots, size_of in (
        (3, 4, 64, "daemons"),
        (6, 4, 64, "daemons"),
        (9, 4, 64, "daemons"),
        (3, 8, 64, "servers"),
        (3, 24, 64, "servers"),
        (3, 4, 512, "slots"),
        (3, 4, 4_096, "slots"),
    ):
        points += await _idle_points(daemons, servers, slots, size_of)
    return points


def _main(argv: list[str]) -> int:
    points = asyncio.run(_run_idle())
    points += [point for size in (1_000, 10_000, 50_000) for point in _state_points(size)]
    points += [point for size in (10_000, 100_000) for point in _order_points(size)]
    points += [point for size in (100, 1_000, 4_000) for point in _set_points(size)]
    rows = [dataclasses.astuple(point) for point in points]
    print(tabulate(rows, headers=("measure", "size of", "size", "value", "unit"), floatfmt=".3f"))
    pathlib.Path(_OUT.value).write_text(json.dumps([dataclasses.asdict(p) for p in points]))
    return 0


if __name__ == "__main__":
    app.run(_main)
