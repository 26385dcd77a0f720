"""Running one scenario against real processes."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from collections.abc import Awaitable, Callable

import aiohttp

from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.model.objects import BackendServer, Limit
from fuchsiatrack.model.objectset import ObjectSet, slot_of
from fuchsiatrack_standins.compare import Comparison, compare
from fuchsiatrack_standins.deployment import Deployment, Network
from fuchsiatrack_standins.journal import now
from fuchsiatrack_standins.scenarios import sets
from fuchsiatrack_standins.scenarios.language import Event, Scenario, Who
from fuchsiatrack_standins.scenarios.traffic import HOT_KEY, Served, Traffic

SETTLE_S = 1.5
HELD_WAIT_S = 8.0
# How long an event has been going on before the next one begins.
MEANWHILE_LEAD_S = 0.5
CONVERGE_S = 20.0
PUBLISH_TIMEOUT = 25_000
DOMAIN_STEPS = ("grant", "renew", "revoke")


@dataclasses.dataclass
class Observation:
    """What was seen while a scenario ran."""

    timeline: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    served: list[Served] = dataclasses.field(default_factory=list)
    accepted: list[int] = dataclasses.field(default_factory=list)
    in_force: list[tuple[float, int, int]] = dataclasses.field(default_factory=list)
    exits: list[int] = dataclasses.field(default_factory=list)
    not_reached: list[str] = dataclasses.field(default_factory=list)
    started: float = 0.0
    converged: bool = False
    comparison: Comparison | None = None


class Environment:
    """A deployment that scenarios run on, one after the other, and what they have changed."""

    def __init__(self, scenario: Scenario, octet: int) -> None:
        network = Network(octet)
        self.objects: ObjectSet = sets.load(scenario.objects, network)
        settings = {"snapshot_records": 12, "timings": {"leave_notice": 500}}
        flags = [f"--seed={scenario.seed}"]
        self.deployment = Deployment(
            self.objects, scenario.daemons, network, settings=settings, platform_flags=flags
        )
        self.suits = (scenario.objects, scenario.daemons)
        self.alive = set(range(1, scenario.daemons + 1))
        self.changes = 0
        self.daemons_started = scenario.daemons

    async def start(self) -> None:
        """Start the processes and publish the set of objects."""
        await self.deployment.start()
        await self.deployment.publish()


class Runner:
    """Runs a scenario in an environment; one instance for each run."""

    def __init__(self, scenario: Scenario, environment: Environment) -> None:
        self._scenario = scenario
        self._environment = environment
        self.deployment = environment.deployment
        self._owner = ""
        self._by = ""
        self._traffic: Traffic | None = None
        self.seen = Observation()

    async def run(self) -> Observation:
        """Run the scenario and return what was seen."""
        deployment = self.deployment
        await self._converge()
        await self._move_hot_key("poles-1")
        await asyncio.sleep(SETTLE_S)
        await self._converge()
        path = deployment.folder / f"callers-{self._scenario.seed}"
        urls = [deployment.caller_url(number) for number in self._alive]
        self._traffic = Traffic(urls, path, self._scenario.seed)
        self._traffic.start()
        await asyncio.sleep(SETTLE_S)
        self.seen.started = now()
        watching = asyncio.create_task(self._watch_revisions())
        await self._play()
        self.seen.converged = await self._converge()
        await asyncio.sleep(SETTLE_S)
        await self._traffic.stop()
        watching.cancel()
        self.seen.served = self._traffic.served
        self.seen.comparison = compare(path, deployment.journals())
        return self.seen

    @property
    def _alive(self) -> list[int]:
        return sorted(self._environment.alive)

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.seen.timeline.append((now(), text))

    # Playing events

    async def _play(self) -> None:
        armed = []
        for event in self._scenario.events:
            if event.moment:
                await self._arm(event)
                armed.append(asyncio.create_task(self._fire_at_moment(event)))
            elif event.meanwhile:
                armed.append(asyncio.create_task(self._happen(event)))
                await asyncio.sleep(MEANWHILE_LEAD_S)
            else:
                await self._happen(event)
        await asyncio.gather(*armed)

    async def _happen(self, event: Event) -> None:
        self.note(f"{event.kind} {event.who.kind if event.who else ''} {event.seconds or ''}")
        handler: Callable[[Event], Awaitable[None]] = getattr(self, f"_do_{event.kind}")
        await handler(event)

    def _stand_ins(self, step: str) -> list[str]:
        if step not in DOMAIN_STEPS:
            return [self.deployment.network.platform_url]
        servers = self.deployment.objects.servers("poles")
        return [self.deployment.server_url(server) for server in servers]

    async def _arm(self, event: Event) -> None:
        assert event.moment
        self._owner = await self._find_owner()
        body = {"step": event.moment.step, "stage": event.moment.stage}
        for url in self._stand_ins(event.moment.step):
            await self._post(f"{url}/control/hold", body)

    async def _fire_at_moment(self, event: Event) -> None:
        assert event.moment
        urls = self._stand_ins(event.moment.step)
        waits = [asyncio.create_task(self._wait_held(url)) for url in urls]
        done = await self._first_held(waits)
        if done is None:
            self.seen.not_reached.append(f"{event.moment.stage} the {event.moment.step}")
        else:
            self._by = done
        happening = asyncio.create_task(self._happen(event))
        await asyncio.sleep(0.05)
        for url in urls:
            try:
                await self._post(f"{url}/control/release", {})
            except (aiohttp.ClientError, TimeoutError):
                pass
        await happening

    async def _first_held(self, waits: list[asyncio.Task]) -> str | None:
        for task in asyncio.as_completed(waits):
            by = await task
            if by is not None:
                for other in waits:
                    other.cancel()
                return by
        return None

    async def _wait_held(self, url: str) -> str | None:
        timeout = aiohttp.ClientTimeout(total=HELD_WAIT_S + 2)
        try:
            async with self.deployment.session.get(
                f"{url}/control/held?wait_s={HELD_WAIT_S}", timeout=timeout
            ) as got:
                body = await got.json()
        except (aiohttp.ClientError, TimeoutError):
            return None
        return body["by"] if body["held"] else None

    async def _post(self, url: str, body: dict) -> None:
        async with self.deployment.session.post(url, json=body) as got:
            got.raise_for_status()

    # Who

    async def _name_of(self, who: Who | None) -> str:
        assert who
        if who.kind == "daemon":
            return self.deployment.daemon_name(self._alive[who.number - 1])
        if who.kind == "leader":
            return await self._find_leader()
        if who.kind == "new_owner":
            return "poles-2"
        return self._owner or await self._find_owner()

    async def _find_leader(self) -> str:
        if self._by.startswith("entry"):
            return self._by
        for number in self._alive:
            for shard in (await self._status(number)).get("shards", []):
                if shard["shard"] == "poles" and shard["acting"]:
                    return self.deployment.daemon_name(number)
        return self.deployment.daemon_name(self._alive[0])

    async def _find_owner(self) -> str:
        number = self._alive[0]
        try:
            owners = (await self.deployment.read(number, "/ownership")).get("poles", {})
        except (aiohttp.ClientError, TimeoutError):
            return "poles-1"
        key_range = self._environment.objects.range_of("poles", HOT_KEY)
        slot = slot_of(key_range, HOT_KEY)
        found = owners.get(f"{slot}/key:{HOT_KEY}") or owners.get(slot) or {"server": "poles-1"}
        return found["server"]

    async def _status(self, number: int) -> dict:
        try:
            return await self.deployment.status(number)
        except (aiohttp.ClientError, TimeoutError):
            return {}

    # Faults of the platform

    async def _fault_for(self, event: Event, on: dict, off: dict) -> None:
        await self.deployment.set_log_faults(**on)
        await asyncio.sleep(event.seconds)
        await self.deployment.set_log_faults(**off)

    async def _do_log_down(self, event: Event) -> None:
        await self._fault_for(event, {"log_down": True}, {"log_down": False})

    async def _do_log_slow(self, event: Event) -> None:
        await self._fault_for(event, {"log_delay": event.amount}, {"log_delay": 0})

    async def _do_answers_lost(self, event: Event) -> None:
        off = {"lose_append_answers": 0.0}
        await self._fault_for(event, {"lose_append_answers": 0.7}, off)

    async def _do_appends_late(self, event: Event) -> None:
        await self._fault_for(event, {"late_effect": event.amount}, {"late_effect": 0})

    async def _do_appends_refused(self, event: Event) -> None:
        await self._fault_for(event, {"refuse_appends": 0.9}, {"refuse_appends": 0.0})

    async def _do_list_frozen(self, event: Event) -> None:
        await self._fault_for(event, {"vm_list_frozen": True}, {"vm_list_frozen": False})

    async def _do_list_down(self, event: Event) -> None:
        await self._fault_for(event, {"vm_list_down": True}, {"vm_list_down": False})

    async def _do_records_expire(self, event: Event) -> None:
        """Expire what the latest snapshot of each control stream covers."""
        for stream in ("config", "shard-poles"):
            url = f"{self.deployment.network.platform_url}/control/expire"
            await self._post(url, {"stream": stream})

    # Faults of processes

    async def _do_killed(self, event: Event) -> None:
        name = await self._name_of(event.who)
        self.note(f"kill {name}")
        self.deployment.kill(name)
        await asyncio.sleep(4)
        await self._start_again(name)

    async def _do_restarted(self, event: Event) -> None:
        name = await self._name_of(event.who)
        self.note(f"restart {name}")
        self.deployment.kill(name)
        await self._start_again(name)

    async def _start_again(self, name: str) -> None:
        if name.startswith("entry"):
            number = int(name.rpartition("-")[2])
            await self.deployment.add_daemon(number)
            await self.deployment.wait_ready(number)
        else:
            self.deployment.start_server(self.deployment.objects.of(BackendServer)[name])

    async def _do_frozen(self, event: Event) -> None:
        name = await self._name_of(event.who)
        self.note(f"freeze {name}")
        self.deployment.signal(name, signal.SIGSTOP)
        await asyncio.sleep(event.seconds)
        self.deployment.signal(name, signal.SIGCONT)

    async def _do_stopped(self, event: Event) -> None:
        name = await self._name_of(event.who)
        self.note(f"stop {name}")
        self.seen.exits.append(await self.deployment.stop(name))
        await self._start_again(name)

    async def _do_leaving(self, event: Event) -> None:
        name = await self._name_of(event.who)
        server = self.deployment.objects.of(BackendServer)[name]
        await self.deployment.list_vm(name, server.failure_domain, "backend", "leaving")
        await asyncio.sleep(4)
        await self.deployment.list_vm(name, server.failure_domain, "backend")

    async def _server_fault(self, event: Event, field: str) -> None:
        name = await self._name_of(event.who)
        await self.deployment.set_server_faults(name, **{field: True})
        await asyncio.sleep(event.seconds)
        await self.deployment.set_server_faults(name, **{field: False})

    async def _do_grantless(self, event: Event) -> None:
        await self._server_fault(event, "grants_down")

    async def _do_silent(self, event: Event) -> None:
        await self._server_fault(event, "silent")

    async def _do_truncating(self, event: Event) -> None:
        await self._server_fault(event, "truncate")

    async def _do_crossing(self, event: Event) -> None:
        await self._server_fault(event, "crossed")

    async def _do_pass_time(self, event: Event) -> None:
        await asyncio.sleep(event.seconds)

    # Operators

    async def _do_hot_key_moves(self, event: Event) -> None:
        await self._move_hot_key("poles-2")

    async def _do_another_hot_key(self, event: Event) -> None:
        await self._move_hot_key("poles-1", "pole-3")

    async def _move_hot_key(self, server: str, *more: str) -> None:
        environment = self._environment
        environment.objects = sets.with_hot_key(environment.objects, HOT_KEY, server, *more)
        await self._publish(environment.objects)

    async def _do_published(self, event: Event) -> None:
        await self._publish(self._changed())

    async def _do_race(self, event: Event) -> None:
        first, second = self._changed(), self._changed()
        base = (await self._status(self._alive[0])).get("revision")
        await asyncio.gather(self._publish(first, base), self._publish(second, base))

    def _changed(self) -> ObjectSet:
        environment = self._environment
        environment.changes += 1
        limit = Limit("Limit", f"limit-{environment.changes}", "crew", "footage", 1_000.0)
        environment.objects = ObjectSet((*environment.objects.objects, limit))
        return environment.objects

    async def _publish(self, objects: ObjectSet, base: int | None = None) -> None:
        try:
            published = await self.deployment.publish(objects, base, PUBLISH_TIMEOUT)
        except PlatformUnavailable as error:
            self.note(f"publish: {error}")
            return
        accepted = bool(published.decision and published.decision.accepted_at)
        self.note(f"publish {published.offset}: {'accepted' if accepted else 'not accepted'}")
        if accepted:
            self.seen.accepted.append(published.offset)

    async def _do_replaced_in_turn(self, event: Event) -> None:
        for number in self._alive:
            await self._add_daemon()
            name = self.deployment.daemon_name(number)
            self.seen.exits.append(await self.deployment.stop(name))
            await self.deployment.drop_vm(name)
            self._environment.alive.discard(number)

    async def _do_replaced_at_once(self, event: Event) -> None:
        old = list(self._alive)
        for number in old:
            self.deployment.kill(self.deployment.daemon_name(number))
            await self.deployment.drop_vm(self.deployment.daemon_name(number))
            self._environment.alive.discard(number)
        await asyncio.gather(*(self._add_daemon() for _ in old))

    async def _add_daemon(self) -> None:
        self._environment.daemons_started += 1
        number = self._environment.daemons_started
        await self.deployment.add_daemon(number)
        await self.deployment.wait_ready(number)
        self._environment.alive.add(number)
        if self._traffic:
            self._traffic.add_url(self.deployment.caller_url(number))

    # Observing

    async def _watch_revisions(self) -> None:
        while True:
            for number in self._alive:
                revision = (await self._status(number)).get("revision")
                if revision is not None:
                    self.seen.in_force.append((now(), number, revision))
            await asyncio.sleep(0.25)

    async def _converge(self) -> bool:
        """Wait until every daemon is ready, agrees, and sees no partition without owner."""
        deadline = now() + CONVERGE_S * 1_000
        while now() < deadline:
            states = [await self._status(number) for number in self._alive]
            if all(states) and self._is_settled(states):
                return True
            await asyncio.sleep(0.1)
        return False

    def _is_settled(self, states: list[dict]) -> bool:
        if len({state["revision"] for state in states}) != 1:
            return False
        keyed = [service for state in states for service in state["services"] if service["keyed"]]
        acting = {
            shard["shard"] for state in states for shard in state["shards"] if shard["acting"]
        }
        return (
            len(keyed) == len(states)
            and all(state["ready"] for state in states)
            and not any(service["unavailable"] for service in keyed)
            and acting == {"config", "poles"}
        )
