"""Measurement of how costs grow with size, for docs/CAPACITY.md.

Each cost is measured at two or more sizes.  Costs of state come from the daemon's state classes;
idle costs from deployments without load, by the daemons' processor time and the byte counter of the
loopback interface.
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

_OUT = flags.DEFINE_string("out", "slopes.json", "File to which the results are written.")
_IDLE_S = flags.DEFINE_float(
    "idle_seconds", 8.0, "Duration of the measurement of each idle deployment."
)

LOOPBACK_COUNTER_PATH = pathlib.Path("/sys/class/net/lo/statistics/rx_bytes")
DAEMON = r.Daemon("entry-1", "entry-1.0.abcdef", "cork", "127.0.1.1", 8082)
PEER_ADDRESS = ("127.0.3.2", 8082)
ASSIGNMENTS_PER_RECORD = 500


@dataclasses.dataclass(frozen=True)
class Point:
    """Value of a measure at one size."""

    measure: str
    size_of: str
    size: int
    value: float
    unit: str


def documents(servers: int, slots: int, callers: int = 1) -> list[dict[str, Any]]:
    """Return the documents of a set with one keyed service."""
    hash_token = hashlib.sha256
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
                "token_sha256": hash_token(f"token-of-caller-{number}".encode()).hexdigest(),
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


def _run_timed(job: Callable[[], Any]) -> tuple[Any, float]:
    started_s = time.perf_counter()
    result = job()
    return result, (time.perf_counter() - started_s) * 1_000


def _measure_state(size: int) -> list[Point]:
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
                    for name in names[start : start + ASSIGNMENTS_PER_RECORD]
                ),
            )
        )
        for start in range(0, size, ASSIGNMENTS_PER_RECORD)
    ]
    tracemalloc.start()
    state, replay_ms = _run_timed(lambda: _replay(ShardState(), records))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    dump, dump_ms = _run_timed(state.dump)
    data = r.encode(r.Snapshot("snapshot", r.RecordId("w", 10**6), state.applied, dump))
    snapshot, decode_ms = _run_timed(lambda: r.decode(data))
    _, load_ms = _run_timed(lambda: ShardState().load(snapshot.state, snapshot.as_of))
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


def _measure_orders(size: int) -> list[Point]:
    attempts = [r.Attempt("fogline", f"order-{number}", f"{number:016x}") for number in range(size)]
    records = [
        r.encode(r.Orders("orders", r.RecordId("w", 1 + n), tuple(attempts[n : n + 20]), ()))
        for n in range(0, size, 20)
    ]
    tracemalloc.start()
    state, replay_ms = _run_timed(lambda: _replay(OrdersState(), records))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    bytes_per_order = sum(len(record) for record in records) / size
    assert isinstance(state, OrdersState)
    return [
        Point("order memory", "order ids", size, memory / 1_024, "KiB"),
        Point("order replay", "order ids", size, replay_ms, "ms"),
        Point("order on the log", "order ids", size, bytes_per_order, "bytes each"),
    ]


def _measure_set(size: int) -> list[Point]:
    set_documents = documents(servers=size // 2, slots=64, callers=size // 2)
    checked, check_ms = _run_timed(lambda: check_documents(set_documents))
    assert not checked.findings
    publish = r.Publish(
        "publish", r.RecordId("w", 1), 0, set_documents, checked.objects.digest, "op"
    )
    data = r.encode(publish)
    _, load_ms = _run_timed(lambda: ObjectSet.from_documents(r.decode(data).documents))
    return [
        Point("check of a set", "objects", size, check_ms, "ms"),
        Point("publish record", "objects", size, len(data) / 1_024, "KiB"),
        Point("adopting a revision", "objects", size, load_ms, "ms"),
    ]


async def _measure_idle(daemons: int, servers: int, slots: int, size_of: str) -> list[Point]:
    size = {"daemons": daemons, "servers": servers, "slots": slots}[size_of]
    objects = check_documents(documents(servers, slots)).objects
    async with Deployment(objects, daemons, Network(40)) as deployment:
        await deployment.publish()
        await asyncio.sleep(5)
        before = [await deployment.status(number) for number in range(1, daemons + 1)]
        stats, bytes_before = await deployment.platform_stats(), _loopback_bytes()
        await asyncio.sleep(_IDLE_S.value)
        received_bytes = _loopback_bytes() - bytes_before
        appends = (await deployment.platform_stats())["appends"] - stats["appends"]
        after = [await deployment.status(number) for number in range(1, daemons + 1)]
    cpu_percents = {
        new["vm"]: (new["cpu_s"] - old["cpu_s"]) / _IDLE_S.value * 100
        for old, new in zip(before, after, strict=True)
    }
    leaders = {
        item["vm"]
        for item in after
        for shard in item["shards"]
        if shard["shard"] == "poles" and shard["acting"]
    }
    leader_percent = max((cpu_percents[vm] for vm in leaders), default=0.0)
    other_percents = [cpu_percent for vm, cpu_percent in cpu_percents.items() if vm not in leaders]
    return [
        Point("idle leader, processor", size_of, size, leader_percent, "% of a core"),
        Point(
            "idle daemon, processor",
            size_of,
            size,
            sum(other_percents) / len(other_percents),
            "% of a core",
        ),
        Point(
            "all control traffic", size_of, size, received_bytes / _IDLE_S.value / 1_024, "KiB/s"
        ),
        Point("appends", size_of, size, appends / _IDLE_S.value, "/s"),
        Point("memory", size_of, size, max(i["memory_kb"] for i in after) / 1_024, "MiB"),
    ]


def _loopback_bytes() -> int:
    return int(LOOPBACK_COUNTER_PATH.read_text())


async def _measure_peer_calls(calls: int) -> list[Point]:
    """Measure support calls with client and server in this process: processor time of both."""
    clock = SystemClock()
    # 900 ms is the default support lease.
    service = PeerService(DAEMON, Voter(clock, 900), lambda name: None, lambda: True)
    server = grpclib.server.Server([service])
    await server.start(*PEER_ADDRESS)
    channel = Channel(*PEER_ADDRESS)
    stub = PeersStub(channel)
    request = SupportRequest(shard="poles", term=5, voter=DAEMON.incarnation)
    for _ in range(50):
        await stub.Support(request)
    bytes_before, cpu_start_s = _loopback_bytes(), time.process_time()
    for _ in range(calls):
        await stub.Support(request)
    cpu_ms = (time.process_time() - cpu_start_s) / calls * 1_000
    received_bytes = (_loopback_bytes() - bytes_before) / calls
    channel.close()
    server.close()
    return [
        Point("peer call, both ends", "calls", calls, cpu_ms, "ms each"),
        Point("peer call, both ways", "calls", calls, received_bytes, "bytes each"),
    ]


async def _measure_routed_reads(rate: int) -> list[Point]:
    """Measure the processor time of a daemon for each read that it routes."""
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
    cpu_ms = (after["cpu_s"] - before["cpu_s"]) / answered * 1_000
    return [Point("routed read", "requests/s", rate, cpu_ms, "ms of processor each")]


async def _measure_deployments() -> list[Point]:
    points = [point for calls in (500, 2_000) for point in await _measure_peer_calls(calls)]
    points += [point for rate in (200, 800) for point in await _measure_routed_reads(rate)]
    for daemons, servers, slots, size_of in (
        (3, 4, 64, "daemons"),
        (6, 4, 64, "daemons"),
        (9, 4, 64, "daemons"),
        (3, 8, 64, "servers"),
        (3, 24, 64, "servers"),
        (3, 4, 512, "slots"),
        (3, 4, 4_096, "slots"),
    ):
        points += await _measure_idle(daemons, servers, slots, size_of)
    return points


def _main(argv: list[str]) -> int:
    points = asyncio.run(_measure_deployments())
    points += [point for size in (1_000, 10_000, 50_000) for point in _measure_state(size)]
    points += [point for size in (10_000, 100_000) for point in _measure_orders(size)]
    points += [point for size in (100, 1_000, 4_000) for point in _measure_set(size)]
    rows = [dataclasses.astuple(point) for point in points]
    print(tabulate(rows, headers=("measure", "size of", "size", "value", "unit"), floatfmt=".3f"))
    pathlib.Path(_OUT.value).write_text(json.dumps([dataclasses.asdict(point) for point in points]))
    return 0


if __name__ == "__main__":
    app.run(_main)
