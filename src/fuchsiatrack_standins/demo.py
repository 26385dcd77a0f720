"""Demo: the mist-poles deployment on loopback, with a hot key move and a daemon stop."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
from collections.abc import Iterator

import aiohttp

from fuchsiatrack.model.check import check_paths
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack_standins.callers import Balancer, Call, Callers
from fuchsiatrack_standins.compare import compare
from fuchsiatrack_standins.deployment import Deployment
from fuchsiatrack_standins.journal import Journal
from fuchsiatrack_standins.scenarios.sets import with_hot_key

EXAMPLE = pathlib.Path("examples/mist-poles")
DAEMON_COUNT = 3
CALL_COUNT = 1_200
CALL_INTERVAL_S = 0.005
HOT_KEY = "pole-cork-17"
HOT_SERVER = "poles-9"
UPLOAD_BYTES = 300_000
TOWNS = ("cork", "waterford", "tralee", "killarney", "youghal")
FIRMS = ("fogline", "brume", "atlantic-mist")


def _generate_calls(rng: random.Random) -> Iterator[Call]:
    for number in range(CALL_COUNT):
        firm = rng.choice(FIRMS)
        key = HOT_KEY if rng.random() < 0.2 else f"pole-{rng.choice(TOWNS)}-{rng.randrange(400)}"
        draw = rng.random()
        if draw < 0.6:
            yield Call("depot-crews", "poles", "GET", "/status", key)
        elif draw < 0.8:
            yield Call(firm, "poles", "POST", "/activations", key, f"{firm}-{number}", b"on")
        elif draw < 0.85:
            body = rng.randbytes(UPLOAD_BYTES)
            yield Call(firm, "footage", "PUT", f"/inspections/{number}", body=body)
        elif draw < 0.95:
            yield Call("councils", "records", "GET", "/compliance?answer_bytes=100000")
        else:
            yield Call(firm, "billing", "POST", "/callouts", order=f"bill-{number}")


async def _change_deployment(deployment: Deployment, objects: ObjectSet) -> None:
    await asyncio.sleep(CALL_COUNT * CALL_INTERVAL_S * 0.3)
    publish_result = await deployment.publish(with_hot_key(objects, HOT_KEY, HOT_SERVER))
    print(f"hot key {HOT_KEY} to {HOT_SERVER}: revision {publish_result.offset} accepted")
    await asyncio.sleep(CALL_COUNT * CALL_INTERVAL_S * 0.3)
    code = await deployment.stop(deployment.daemon_name(2))
    print(f"daemon {deployment.daemon_name(2)} stopped gracefully with exit code {code}")


async def _find_hot_key_owner(deployment: Deployment) -> str:
    owners = (await deployment.read(1, "/ownership"))["poles"]
    # Partitions are named RANGE/SLOT, and those of hot keys RANGE/SLOT/key:KEY.
    return next(
        (
            entry["server"]
            for partition, entry in owners.items()
            if partition.endswith(f"key:{HOT_KEY}")
        ),
        "",
    )


async def run() -> int:
    """Run the demo and return its exit code."""
    objects = check_paths([EXAMPLE]).objects
    async with Deployment(objects, DAEMON_COUNT) as deployment:
        print(
            f"{DAEMON_COUNT} daemons and {len(deployment.processes) - DAEMON_COUNT - 1} servers run"
        )
        publish_result = await deployment.publish()
        print(f"revision {publish_result.offset} accepted: {len(objects.objects)} objects")
        await _wait_for_owners(deployment)
        journal_path = deployment.directory / "callers.journal-callers"
        await _send_calls(deployment, objects, journal_path)
        owner = await _find_hot_key_owner(deployment)
        print(f"hot key {HOT_KEY} is owned by {owner or 'nobody'}")
        result = compare(journal_path, deployment.journals())
    for violation in (
        *result.lost_calls,
        *result.duplicate_orders,
        *result.overlaps,
        *result.executed_refusals,
    ):
        print(f"fault: {violation}")
    print(f"{result.may_have_run} callers were told that the request may have run")
    print(f"demo: {result.summary}")
    return 0 if result.is_clean and owner == HOT_SERVER else 1


async def _wait_for_owners(deployment: Deployment) -> None:
    while True:
        status = await deployment.status(1)
        keyed = [item for item in status["services"] if item["keyed"]]
        if keyed and not keyed[0]["unavailable"]:
            print(f"{keyed[0]['partitions']} partitions on {len(keyed[0]['servers'])} servers")
            return
        await asyncio.sleep(0.1)


async def _send_calls(deployment: Deployment, objects: ObjectSet, path: pathlib.Path) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        urls = [deployment.caller_url(number) for number in range(1, DAEMON_COUNT + 1)]
        balancer = Balancer(urls, session)
        callers = Callers(balancer, session, Journal(str(path)))
        probe_task = asyncio.create_task(balancer.run())
        change_task = asyncio.create_task(_change_deployment(deployment, objects))
        send_tasks = []
        for call in _generate_calls(random.Random(7)):
            send_tasks.append(asyncio.create_task(callers.send(call)))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*send_tasks)
        await change_task
        probe_task.cancel()


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
