"""Daemons are stopped in turn while callers keep requests waiting behind one another."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import pathlib
import random
import signal
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
DEADLINE_MS = 12_000
SLOTS = 6
SERVERS = 18
DAEMONS = 3
CALLERS_PER_DAEMON = 24
# Requests of one caller on its connection at once: the next one is sent before the first is
# answered.
DEPTH = 2
# RULES.md and the settings.
GRACE_S, CONTACT_S, LOSS_SLACK_S, SENT_BY_S = 6.0, 3.0, 0.2, 3.0
ROUTE_SERVICE = "route-ledger"
IDENTITY = random.SystemRandom().randrange(16**8)


@dataclasses.dataclass
class Call:
    """One request of a caller; times are of the monotonic clock, in seconds, 0.0 for not yet."""

    id: str
    daemon: str
    sent_at_s: float
    ended_at_s: float = 0.0
    status: int = 0
    stamp: str = ""
    how: str = ""


@dataclasses.dataclass
class Work:
    """The work of a server on one request."""

    server: str
    began_at_s: float
    needs_s: float
    ended_at_s: float = 0.0
    is_complete: bool = False


class Deployment:
    """What the parts of the case share."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.calls: dict[str, Call] = {}
        self.works: dict[str, Work] = {}
        # When each daemon got SIGTERM.
        self.stops: list[tuple[str, float]] = []
        self.open_to: set[str] = set()

    async def work(self, server: ServerStandIn, request: web.BaseRequest, headers: dict):
        """Work on one request, as long as its class takes."""
        median = WORK_MEAN_MS / math.exp(WORK_SPREAD**2 / 2)
        needs = median * math.exp(random.gauss(0.0, WORK_SPREAD))
        needs = min(WORK_MAX_MS, needs * (WORK_TAIL_X if random.random() < WORK_TAIL else 1.0))
        work = Work(server.id, time.monotonic(), needs / 1_000)
        self.works[headers["X-Request-Id"]] = work
        try:
            await asyncio.sleep(work.needs_s)
            work.is_complete = True
        finally:
            work.ended_at_s = time.monotonic()
        return web.Response(
            status=200, headers=headers, text=f"{server.id} {headers['X-Request-Id']}"
        )


class Caller:
    """Keeps `DEPTH` requests on one connection until the daemon ends it, then opens another."""

    def __init__(self, number: int, daemons: list[Daemon], deployment: Deployment) -> None:
        self._number, self._deployment = number, deployment
        self._home = daemons[number % len(daemons)]
        self._daemons = daemons
        self._count = 0

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            open_to = [item for item in self._daemons if item.name in self._deployment.open_to]
            if not open_to:
                await asyncio.sleep(0.1)
                continue
            daemon = self._home if self._home in open_to else random.choice(open_to)
            try:
                await self._use_connection(daemon)
            except OSError:
                await asyncio.sleep(0.1)

    async def _use_connection(self, daemon: Daemon) -> None:
        reader, writer = await asyncio.open_connection(daemon.host, daemon.front)
        waiting: list[Call] = []
        try:
            while True:
                while len(waiting) < DEPTH:
                    waiting.append(self._send(writer, daemon))
                is_last = await self._read_answer(reader, waiting[0])
                waiting.pop(0)
                if is_last:
                    # What was sent behind it counts as not read.
                    for call in waiting:
                        call.how = "behind the last answer"
                    return
        except (EOFError, OSError, ValueError) as error:
            for call in waiting:
                call.ended_at_s, call.how = time.monotonic(), f"no answer: {error!r}"
        finally:
            writer.close()

    def _send(self, writer: asyncio.StreamWriter, daemon: Daemon) -> Call:
        self._count += 1
        call = Call(
            f"{IDENTITY:08x}{self._number:03x}{self._count:05x}", daemon.name, time.monotonic()
        )
        self._deployment.calls[call.id] = call
        writer.write(
            f"GET /balance/{self._count} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
            f"X-Request-Id: {call.id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        return call

    async def _read_answer(self, reader: asyncio.StreamReader, call: Call) -> bool:
        """Read the answer to *call*, and return whether the daemon closes the connection."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        await reader.readexactly(int(fields.get("content-length", "0")))
        call.ended_at_s, call.status = time.monotonic(), int(head[0].split(" ")[1])
        call.stamp, call.how = fields.get("x-gateway-stamp", ""), "answered"
        is_last = fields.get("connection", "").lower() == "close"
        if call.status == 503 and not is_last:
            # Clients honour Retry-After.
            await asyncio.sleep(min(float(fields.get("retry-after", "0") or 0), 4.0))
        return is_last


async def play(record: Record, directory: pathlib.Path, trouble: bool) -> int:
    deployment = Deployment(record)
    store = LogServiceStandIn()
    store.era, store.delay_ms = 1, 4
    await store.start()
    store.put("keyed.op", "config", ledger_configuration())
    servers = []
    for number in range(SERVERS):
        server = ServerStandIn(store, f"i-{number:02d}", ROUTE_SERVICE, slots=SLOTS)
        server.work_ms = 0
        server.response_handler = handler(deployment, server)
        await server.start()
        servers.append(server)
    daemons = [
        Daemon(f"front-{n + 1}", loopback_host(n + 1), store.address, directory)
        for n in range(DAEMONS)
    ]
    callers: list[asyncio.Task] = []
    try:
        for daemon in daemons:
            await daemon.start()
        await wait_ready(daemons, 20)
        deployment.open_to = {daemon.name for daemon in daemons}
        callers = [
            asyncio.create_task(Caller(number, daemons, deployment).run())
            for number in range(DAEMONS * CALLERS_PER_DAEMON)
        ]
        for daemon in daemons:
            await asyncio.sleep(2 * CONTACT_S)
            if trouble:
                await stop_and_start(daemon, deployment)
        await asyncio.sleep(1.0)
    finally:
        for task in callers:
            task.cancel()
        for daemon in daemons:
            await daemon.kill()
        for server in servers:
            await server.stop()
        await store.stop()
    return judge(deployment)


def handler(deployment: Deployment, server: ServerStandIn):
    async def work(request: web.BaseRequest, headers: dict):
        return await deployment.work(server, request, headers)

    return work


def ledger_configuration() -> dict:
    document = configuration(7, sharded=False)
    document["Services"][0]["Name"] = ROUTE_SERVICE
    document["VirtualHosts"][0]["Paths"][0] |= {
        "PathPrefix": "/balance/",
        "Service": ROUTE_SERVICE,
        "Timeout": f"{DEADLINE_MS}ms",
        "TargetLatency": "3000ms",
    }
    return document


async def stop_and_start(daemon: Daemon, deployment: Deployment) -> None:
    """Stop *daemon* as the platform does, and start it again."""
    stopped_at = time.monotonic()
    deployment.stops.append((daemon.name, stopped_at))
    deployment.record.write(f"SIGTERM to {daemon.name}")
    daemon.signal(signal.SIGTERM)
    # The balancer notices after two questions a second apart.
    await asyncio.sleep(2.0)
    deployment.open_to.discard(daemon.name)
    code = await daemon.wait(max(0.0, stopped_at + GRACE_S - time.monotonic()))
    took = time.monotonic() - stopped_at
    deployment.record.write(f"{daemon.name} ended after {took:.2f} s with {code}")
    await daemon.kill()
    await daemon.start(bootstrap=False)
    await wait_ready([daemon], 20)
    deployment.open_to.add(daemon.name)


def judge(deployment: Deployment) -> int:
    """Write what was sent, run and answered, and return whether LOST was broken."""
    record, lost = deployment.record, 0
    for call in deployment.calls.values():
        work = deployment.works.get(call.id)
        text = f"{call.id} sent at {record.since_start(call.sent_at_s):.3f} s to {call.daemon}"
        if work is not None:
            end = f"{record.since_start(work.ended_at_s):.3f}" if work.ended_at_s else "-"
            done = "complete" if work.is_complete else "broken off"
            text += (
                f"; {work.server} at work from {record.since_start(work.began_at_s):.3f} to {end} s"
                f", {done}, needs {work.needs_s:.3f} s"
            )
        ended = f"{record.since_start(call.ended_at_s):.3f} s" if call.ended_at_s else "never"
        text += f"; {call.how or 'open at the end'} {call.status or ''} at {ended}"
        text += f", stamp {call.stamp or 'none'}"
        reason = loss(deployment, call, work)
        lost += bool(reason)
        record.write(text + (f"  LOST: {reason}" if reason else ""))
    record.write(f"{len(deployment.calls)} requests, {lost} lost")
    return int(lost > 0)


def loss(deployment: Deployment, call: Call, work: Work | None) -> str:
    """Return how the rule counts *call* as lost, empty if it doesn't."""
    if not call.ended_at_s or call.stamp:
        return ""
    stops = [
        at
        for name, at in deployment.stops
        if name == call.daemon and at <= call.ended_at_s <= at + GRACE_S + 1.0
    ]
    if not stops:
        return ""
    stop = stops[-1]
    if call.ended_at_s - call.sent_at_s >= DEADLINE_MS / 1_000:
        return ""
    if work is None:
        # Sent behind another and not passed on, or refused.
        return ""
    was_at_work = not work.is_complete and work.began_at_s <= call.ended_at_s
    if not was_at_work:
        return ""
    excused = call.sent_at_s <= stop + SENT_BY_S and call.ended_at_s >= stop + GRACE_S * 5 / 6
    if excused:
        return ""
    return (
        f"sent {call.sent_at_s - stop:.2f} s after the SIGTERM, passed on and broken off "
        f"{call.ended_at_s - stop:.2f} s after it, {work.began_at_s + work.needs_s - stop:.2f} s "
        "would have been its end"
    )


if __name__ == "__main__":
    sys.exit(run_case(play, pathlib.Path(__file__).with_name("record.txt")))
