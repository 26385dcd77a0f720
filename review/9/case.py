"""Callers send several requests ahead, and the later ones get no answer in their time."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import pathlib
import random
import sys
import time

from aiohttp import web
from cluster import (
    CALLER_HOST,
    Daemon,
    Record,
    configuration,
    loopback_host,
    run_case,
    wait_ready,
)
from fuchsiatrack_standins.fleet.logservice import LogServiceStandIn
from fuchsiatrack_standins.fleet.server import ServerStandIn

# Of the class `balance-check` in demands/pmd-gateway-grown.toml: habit `pipeline`, kind `safe`.
WORK_MEAN_MS, WORK_SPREAD, WORK_TAIL, WORK_TAIL_X, WORK_MAX_MS = 820.0, 0.8, 0.03, 7.0, 8_600.0
TIMEOUT_MS, DEADLINE_MS = 3_000, 4_000
# RULES.md: an answer 0.5 s after the route's timeout; eight or more, and over a quarter.
LATE_S, LATE_MIN, LATE_SHARE = 0.5, 8, 0.25
SERVERS, SLOTS, CALLERS, PLAYED_S, CONTACT_S = 6, 6, 8, 24.0, 3.0
# Requests that a caller sends before the first one is answered.
AHEAD = 6
ROUTE_SERVICE = "route-ledger"


@dataclasses.dataclass
class Call:
    """One request of a caller; times are of the monotonic clock, 0.0 for never."""

    id: str
    sent_at_s: float
    answered_at_s: float = 0.0
    status: int = 0


@dataclasses.dataclass
class Arrival:
    """The arrival of a request at a server, and the time that it was given."""

    server: str
    at_s: float
    deadline_ms: int


async def call_for_ever(number: int, daemon: Daemon, ahead: int, calls: list[Call]) -> None:
    """Send *ahead* requests at a time, and wait for their answers until their deadline."""
    round_number = 0
    while True:
        round_number += 1
        batch = [Call(f"c{number:02d}r{round_number:03d}n{n}", 0.0) for n in range(ahead)]
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000):
                await call_together(daemon, batch, calls)
        except (TimeoutError, OSError, EOFError):
            # The deadline is reached, and the caller gives up.
            pass
        await asyncio.sleep(random.uniform(0.2, 1.0))


async def call_together(daemon: Daemon, batch: list[Call], calls: list[Call]) -> None:
    reader, writer = await asyncio.open_connection(daemon.host, daemon.front)
    try:
        for call in batch:
            call.sent_at_s = time.monotonic()
            calls.append(call)
            writer.write(
                f"GET /balance/1 HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Request-Id: {call.id}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
            )
        for call in batch:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {}
            for line in head[1:]:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            await reader.readexactly(int(fields.get("content-length", "0")))
            call.answered_at_s, call.status = time.monotonic(), int(head[0].split(" ")[1])
    finally:
        writer.close()


async def play(record: Record, directory: pathlib.Path, trouble: bool) -> int:
    store = LogServiceStandIn()
    store.era, store.delay_ms = 1, 4
    await store.start()
    document = configuration(7, sharded=False)
    document["Services"][0]["Name"] = ROUTE_SERVICE
    document["VirtualHosts"][0]["Paths"][0] |= {
        "PathPrefix": "/balance/",
        "Service": ROUTE_SERVICE,
        "Timeout": f"{TIMEOUT_MS}ms",
        "TargetLatency": "1500ms",
    }
    store.put("keyed.op", "config", document)
    servers, arrivals, calls = [], {}, []
    for number in range(SERVERS):
        server = ServerStandIn(store, f"i-{number}", ROUTE_SERVICE, slots=SLOTS)
        server.work_ms = 0
        server.response_handler = handler(server, arrivals)
        await server.start()
        servers.append(server)
    daemon = Daemon("front-1", loopback_host(1), store.address, directory)
    tasks = []
    try:
        await daemon.start()
        await wait_ready([daemon], 20)
        await asyncio.sleep(CONTACT_S)
        ahead, callers = (AHEAD, CALLERS) if trouble else (1, AHEAD * CALLERS // 2)
        tasks = [
            asyncio.create_task(call_for_ever(number, daemon, ahead, calls))
            for number in range(callers)
        ]
        await asyncio.sleep(PLAYED_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        ended_at = time.monotonic()
        await daemon.kill()
        for server in servers:
            await server.stop()
        await store.stop()
    return judge(record, calls, arrivals, ended_at)


def handler(server: ServerStandIn, arrivals: dict):
    async def work(request: web.BaseRequest, headers: dict):
        arrivals[headers["X-Request-Id"]] = Arrival(
            server.id, time.monotonic(), int(request.headers["X-Deadline-Ms"])
        )
        median = WORK_MEAN_MS / math.exp(WORK_SPREAD**2 / 2)
        needs = median * math.exp(random.gauss(0.0, WORK_SPREAD))
        needs = min(WORK_MAX_MS, needs * (WORK_TAIL_X if random.random() < WORK_TAIL else 1.0))
        await asyncio.sleep(needs / 1_000)
        return web.Response(status=200, headers=headers, text="ok")

    return work


def judge(record: Record, calls: list[Call], arrivals: dict, ended_at: float) -> int:
    """Write what happened, and return whether the rule was broken."""
    timeout_s = TIMEOUT_MS / 1_000
    longer = late = never = overlong = passed_on = 0
    for call in calls:
        took = (call.answered_at_s or math.inf) - call.sent_at_s
        arrival = arrivals.get(call.id)
        text = f"{call.id} sent at {record.since_start(call.sent_at_s):.3f} s"
        if arrival is not None:
            passed_on += 1
            left_ms = DEADLINE_MS - (arrival.at_s - call.sent_at_s) * 1_000
            overlong += arrival.deadline_ms > left_ms + 500
            text += (
                f"; reached {arrival.server} after {arrival.at_s - call.sent_at_s:.2f} s with "
                f"X-Deadline-Ms {arrival.deadline_ms}, of {left_ms:.0f} left"
            )
        text += f"; {call.status or 'no answer'} after {took:.2f} s"
        record.write(text)
        # Only what the caller has waited for until then.
        if ended_at - call.sent_at_s < timeout_s + LATE_S or took <= timeout_s:
            continue
        longer += 1
        late += took > timeout_s + LATE_S
        never += not call.answered_at_s
    record.write(
        f"{len(calls)} requests; {longer} lasted longer than their route's timeout, {late} of them "
        f"had no answer 0.5 s after it, and {never} none until the caller gave up"
    )
    record.write(
        f"{passed_on} reached a server, {overlong} with over 0.5 s more than what was left"
    )
    return int(late >= LATE_MIN and late > LATE_SHARE * longer)


if __name__ == "__main__":
    sys.exit(run_case(play, pathlib.Path(__file__).with_name("record.txt")))
