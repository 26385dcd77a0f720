"""The demo: the mist-poles deployment on loopback, with a hot key moved and a daemon stopped."""

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
DAEMONS = 3
CALLS = 1_200
PACE_S = 0.005
HOT_KEY = "pole-cork-17"
HOT_SERVER = "poles-9"
UPLOAD_BYTES = 300_000
TOWNS = ("cork", "waterford", "tralee", "killarney", "youghal")
FIRMS = ("fogline", "brume", "atlantic-mist")


def _calls(rng: random.Random) -> Iterator[Call]:
    for number in range(CALLS):
        firm = rng.choice(FIRMS)
        key = HOT_KEY if rng.random() < 0.2 else f"pole-{rng.choice(TOWNS)}-{rng.randrange(400)}"
        kind = rng.random()
        if kind < 0.6:
            yield Call("depot-crews", "poles", "GET", "/status", key)
        elif kind < 0.8:
            yield Call(firm, "poles", "POST", "/activations", key, f"{firm}-{number}", b"on")
        elif kind < 0.85:
            body = rng.randbytes(UPLOAD_BYTES)
            yield Call(firm, "footage", "PUT", f"/inspections/{number}", body=body)
        elif kind < 0.95:
            yield Call("councils", "records", "GET", "/compliance?answer_bytes=100000")
        else:
            yield Call(firm, "billing", "POST", "/callouts", order=f"bill-{number}")


async def _events(deployment: Deployment, objects: ObjectSet) -> None:
    await asyncio.sleep(CALLS * PACE_S * 0.3)
    published = await deployment.publish(with_hot_key(objects, HOT_KEY, HOT_SERVER))
    print(f"hot key {HOT_KEY} to {HOT_SERVER}: revision {published.offset} accepted")
    await asyncio.sleep(CALLS * PACE_S * 0.3)
    code = await deployment.stop(deployment.daemon_name(2))
    print(f"daemon {deployment.daemon_name(2)} stopped gracefully with exit code {code}")


async def _owner_of_hot_key(deployment: Deployment) -> str:
    owners = (await deployment.read(1, "/ownership"))["poles"]
    return next((o["server"] for p, o in owners.items() if p.endswith(f"key:{HOT_KEY}")), "")


async def run() -> int:
    """Run the demo and return its exit code."""
    objects = check_paths([EXAMPLE]).objects
    async with Deployment(objects, DAEMONS) as deployment:
        print(f"{DAEMONS} daemons and {len(deployment.processes) - DAEMONS - 1} servers run")
        published = await deployment.publish()
        print(f"revision {published.offset} accepted: {len(objects.objects)} objects")
        await _wait_for_owners(deployment)
        journal_path = deployment.folder / "callers.journal-callers"
        await _send_calls(deployment, objects, journal_path)
        owner = await _owner_of_hot_key(deployment)
        print(f"hot key {HOT_KEY} is owned by {owner or 'nobody'}")
        result = compare(journal_path, deployment.journals())
    for fault in (*result.lost, *result.doubled, *result.overlaps, *result.ran_though_refused):
        print(f"fault: {fault}")
    print(f"{result.unsure} callers were told that the request may have run")
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
        urls = [deployment.caller_url(number) for number in range(1, DAEMONS + 1)]
        balancer = Balancer(urls, session)
        callers = Callers(balancer, session, Journal(str(path)))
        probing = asyncio.create_task(balancer.run())
        events = asyncio.create_task(_events(deployment, objects))
        sends = []
        for call in _calls(random.Random(7)):
            sends.append(asyncio.create_task(callers.send(call)))
            await asyncio.sleep(PACE_S)
        await asyncio.gather(*sends)
        await events
        probing.cancel()


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
