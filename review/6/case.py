"""The log comes back from a copy from before the first assignment, as all daemons are killed."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from cluster import (
    SERVICE,
    Callers,
    CannotRun,
    Daemon,
    HoldersWatch,
    Record,
    configuration,
    loopback_host,
    run_case,
    wait_for,
    wait_ready,
    write_runs,
)
from fuchsiatrack_standins.fleet.logservice import LogServiceMode, LogServiceStandIn
from fuchsiatrack_standins.fleet.server import ServerStandIn

COPY_PERIOD_S = 0.1
# The store is away for this long.  A drill: "away for a moment".
AWAY_S = 2.0
# After the first assignment.
SERVED_S = 2.5
RESTART_S = 0.3
WATCHED_S = 12.0
OWNERSHIP, OPERATOR, SERVERS = "keyed.ownership", "keyed.op", "keyed.servers"


async def play(record: Record, directory: pathlib.Path, trouble: bool) -> int:
    store = LogServiceStandIn()
    store.era, store.delay_ms = 1, 4
    await store.start()
    store.put(OPERATOR, "config", configuration(7))
    servers = [ServerStandIn(store, f"i-{n}", SERVICE, keyed=True) for n in ("aa", "bb", "cc")]
    for server in servers[:2]:
        await server.start()
    watch = HoldersWatch(servers, record)
    daemons = [Daemon(f"front-{n}", loopback_host(n), store.address, directory) for n in (1, 2, 3)]
    tasks = [asyncio.create_task(watch.run())]
    try:
        for daemon in daemons:
            await daemon.start()
        copied, copied_at = store.copy(), time.monotonic()
        while not has_assignment(store):
            if time.monotonic() - copied_at > 30:
                raise CannotRun("no assignment")
            fresh = store.copy()
            await asyncio.sleep(COPY_PERIOD_S)
            if not has_assignment(store):
                copied, copied_at = fresh, time.monotonic() - COPY_PERIOD_S
        record.write("keys are assigned for the first time")
        # One more server joins, as servers do.
        await servers[2].start()
        record.write(f"server {servers[2].id} joins")
        await wait_ready(daemons, 15)
        tasks.append(asyncio.create_task(Callers(daemons, record).run()))
        await asyncio.sleep(SERVED_S)
        if trouble:
            await disturb(record, store, daemons, copied, copied_at)
        await asyncio.sleep(WATCHED_S)
        await wait_for(lambda: any(server.grants for server in servers), 5, "keys are held")
    finally:
        for task in tasks:
            task.cancel()
        for daemon in daemons:
            await daemon.kill()
        for server in servers:
            if server.address:
                await server.stop()
        await store.stop()
    write_runs(record, servers)
    for pair, (seconds, low, high) in watch.overlaps.items():
        record.write(f"{pair}: keys {low} to {high} held by both for {seconds:.2f} s")
    return int(watch.is_broken)


def has_assignment(store: LogServiceStandIn) -> bool:
    return f"map/{SERVICE}" in store.partition(OWNERSHIP).newest


async def disturb(record, store, daemons, copied, copied_at) -> None:
    store.mode = LogServiceMode.BUSY
    record.write("the store is away")
    await asyncio.sleep(AWAY_S)
    lost = {topic: dict(store.partition(topic).newest) for topic in (OPERATOR, SERVERS)}
    for daemon in daemons:
        await daemon.kill()
    record.write("all daemons are killed")
    store.restore(copied)
    for topic, newest in lost.items():
        store.rewrite(topic, newest)
    store.mode = LogServiceMode.SERVING
    age = time.monotonic() - copied_at
    record.write(f"the store is back from a copy that is {age:.1f} s old, era {store.era}")
    await asyncio.sleep(RESTART_S)
    for daemon in daemons:
        await daemon.start(bootstrap=False)
    record.write("all daemons are started again")


if __name__ == "__main__":
    sys.exit(run_case(play, pathlib.Path(__file__).with_name("record.txt")))
