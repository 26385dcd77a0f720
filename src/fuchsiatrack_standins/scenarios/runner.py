"""Runner of one scenario against real processes."""

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
from fuchsiatrack_standins.journal import monotonic_ms
from fuchsiatrack_standins.scenarios import sets
from fuchsiatrack_standins.scenarios.language import Event, ProcessReference, Scenario
from fuchsiatrack_standins.scenarios.traffic import HOT_KEY, CompletedRead, Traffic

SETTLE_S = 1.5
BREAKPOINT_TIMEOUT_S = 8.0
# Delay between the start of an event with "meanwhile" and the next event.
MEANWHILE_LEAD_S = 0.5
CONVERGENCE_TIMEOUT_S = 20.0
PUBLISH_TIMEOUT_MS = 25_000
SERVER_STEPS = ("grant", "renew", "revoke")


@dataclasses.dataclass
class Observation:
    """What was observed during a run; times in milliseconds of `journal.monotonic_ms`.

    `revisions_in_force` holds (time, daemon number, revision).
    """

    timeline: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    reads: list[CompletedRead] = dataclasses.field(default_factory=list)
    accepted_revisions: list[int] = dataclasses.field(default_factory=list)
    revisions_in_force: list[tuple[float, int, int]] = dataclasses.field(default_factory=list)
    exit_codes: list[int] = dataclasses.field(default_factory=list)
    missed_moments: list[str] = dataclasses.field(default_factory=list)
    started_at_ms: float = 0.0
    converged: bool = False
    comparison: Comparison | None = None


class Environment:
    """Deployment on which scenarios run one after the other, and the changes they made to it."""

    def __init__(self, scenario: Scenario, octet: int) -> None:
        network = Network(octet)
        self.objects: ObjectSet = sets.load(scenario.objects, network)
        settings = {"snapshot_records": 12, "timings": {"leave_notice": 500}}
        flags = [f"--seed={scenario.seed}"]
        self.deployment = Deployment(
            self.objects, scenario.daemons, network, settings=settings, platform_flags=flags
        )
        self.configuration = (scenario.objects, scenario.daemons)
        self.running = set(range(1, scenario.daemons + 1))
        self.change_count = 0
        self.daemons_started = scenario.daemons

    async def start(self) -> None:
        """Start the processes and publish the objects."""
        await self.deployment.start()
        await self.deployment.publish()


class Runner:
    """One run of a scenario in an environment."""

    def __init__(self, scenario: Scenario, environment: Environment) -> None:
        self._scenario = scenario
        self._environment = environment
        self.deployment = environment.deployment
        self._owner = ""
        self._held_process = ""
        self._traffic: Traffic | None = None
        self.observation = Observation()

    async def run(self) -> Observation:
        """Run the scenario and return what was observed."""
        deployment = self.deployment
        await self._wait_for_convergence()
        await self._move_hot_key("poles-1")
        await asyncio.sleep(SETTLE_S)
        await self._wait_for_convergence()
        path = deployment.directory / f"callers-{self._scenario.seed}"
        urls = [deployment.caller_url(number) for number in self._running_daemons]
        self._traffic = Traffic(urls, path, self._scenario.seed)
        self._traffic.start()
        await asyncio.sleep(SETTLE_S)
        self.observation.started_at_ms = monotonic_ms()
        polling = asyncio.create_task(self._poll_revisions())
        await self._run_events()
        self.observation.converged = await self._wait_for_convergence()
        await asyncio.sleep(SETTLE_S)
        await self._traffic.stop()
        polling.cancel()
        self.observation.reads = self._traffic.reads
        self.observation.comparison = compare(path, deployment.journals())
        return self.observation

    @property
    def _running_daemons(self) -> list[int]:
        return sorted(self._environment.running)

    def add_to_timeline(self, text: str) -> None:
        """Add a line to the timeline."""
        self.observation.timeline.append((monotonic_ms(), text))

    # Events

    async def _run_events(self) -> None:
        tasks = []
        for event in self._scenario.events:
            if event.moment:
                await self._arm_breakpoint(event)
                tasks.append(asyncio.create_task(self._perform_at_breakpoint(event)))
            elif event.meanwhile:
                tasks.append(asyncio.create_task(self._perform(event)))
                await asyncio.sleep(MEANWHILE_LEAD_S)
            else:
                await self._perform(event)
        await asyncio.gather(*tasks)

    async def _perform(self, event: Event) -> None:
        self.add_to_timeline(
            f"{event.kind} {event.process.kind if event.process else ''} {event.seconds or ''}"
        )
        handler: Callable[[Event], Awaitable[None]] = getattr(self, f"_do_{event.kind}")
        await handler(event)

    def _breakpoint_urls(self, step: str) -> list[str]:
        if step not in SERVER_STEPS:
            return [self.deployment.network.platform_url]
        servers = self.deployment.objects.servers("poles")
        return [self.deployment.server_url(server) for server in servers]

    async def _arm_breakpoint(self, event: Event) -> None:
        assert event.moment
        self._owner = await self._find_owner()
        body = {"step": event.moment.step, "stage": event.moment.stage}
        for url in self._breakpoint_urls(event.moment.step):
            await self._post(f"{url}/control/hold", body)

    async def _perform_at_breakpoint(self, event: Event) -> None:
        """Perform *event* once a call is held at its moment, or when the wait times out."""
        assert event.moment
        urls = self._breakpoint_urls(event.moment.step)
        waits = [asyncio.create_task(self._wait_for_held_process(url)) for url in urls]
        held_process = await self._first_held_process(waits)
        if held_process is None:
            self.observation.missed_moments.append(f"{event.moment.stage} the {event.moment.step}")
        else:
            self._held_process = held_process
        task = asyncio.create_task(self._perform(event))
        # The event takes effect before the held call continues.
        await asyncio.sleep(0.05)
        for url in urls:
            try:
                await self._post(f"{url}/control/release", {})
            except (aiohttp.ClientError, TimeoutError):
                pass
        await task

    async def _first_held_process(self, waits: list[asyncio.Task]) -> str | None:
        """Return the process whose call is held first, or None if all waits time out."""
        for task in asyncio.as_completed(waits):
            held_process = await task
            if held_process is not None:
                for other in waits:
                    other.cancel()
                return held_process
        return None

    async def _wait_for_held_process(self, url: str) -> str | None:
        timeout = aiohttp.ClientTimeout(total=BREAKPOINT_TIMEOUT_S + 2)
        try:
            async with self.deployment.session.get(
                f"{url}/control/held?wait_s={BREAKPOINT_TIMEOUT_S}", timeout=timeout
            ) as response:
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None
        return body["by"] if body["held"] else None

    async def _post(self, url: str, body: dict) -> None:
        async with self.deployment.session.post(url, json=body) as response:
            response.raise_for_status()

    # Process references

    async def _process_name(self, process: ProcessReference | None) -> str:
        assert process
        if process.kind == "daemon":
            return self.deployment.daemon_name(self._running_daemons[process.number - 1])
        if process.kind == "leader":
            return await self._find_leader()
        if process.kind == "new_owner":
            return "poles-2"
        return self._owner or await self._find_owner()

    async def _find_leader(self) -> str:
        # After a breakpoint, "the leader" is the daemon whose append was held, if it is known.
        if self._held_process.startswith("entry"):
            return self._held_process
        for number in self._running_daemons:
            for shard in (await self._status(number)).get("shards", []):
                if shard["shard"] == "poles" and shard["acting"]:
                    return self.deployment.daemon_name(number)
        return self.deployment.daemon_name(self._running_daemons[0])

    async def _find_owner(self) -> str:
        number = self._running_daemons[0]
        try:
            owners = (await self.deployment.read(number, "/ownership")).get("poles", {})
        except (aiohttp.ClientError, TimeoutError):
            return "poles-1"
        key_range = self._environment.objects.range_of("poles", HOT_KEY)
        slot = slot_of(key_range, HOT_KEY)
        entry = owners.get(f"{slot}/key:{HOT_KEY}") or owners.get(slot) or {"server": "poles-1"}
        return entry["server"]

    async def _status(self, number: int) -> dict:
        try:
            return await self.deployment.status(number)
        except (aiohttp.ClientError, TimeoutError):
            return {}

    # Faults of the platform

    async def _inject_platform_fault(self, event: Event, on: dict, off: dict) -> None:
        await self.deployment.set_platform_faults(**on)
        await asyncio.sleep(event.seconds)
        await self.deployment.set_platform_faults(**off)

    async def _do_log_down(self, event: Event) -> None:
        await self._inject_platform_fault(event, {"log_down": True}, {"log_down": False})

    async def _do_log_slow(self, event: Event) -> None:
        await self._inject_platform_fault(event, {"log_delay": event.amount}, {"log_delay": 0})

    async def _do_answers_lost(self, event: Event) -> None:
        off = {"lose_append_answers": 0.0}
        await self._inject_platform_fault(event, {"lose_append_answers": 0.7}, off)

    async def _do_appends_late(self, event: Event) -> None:
        await self._inject_platform_fault(event, {"late_effect": event.amount}, {"late_effect": 0})

    async def _do_appends_refused(self, event: Event) -> None:
        await self._inject_platform_fault(event, {"refuse_appends": 0.9}, {"refuse_appends": 0.0})

    async def _do_list_frozen(self, event: Event) -> None:
        await self._inject_platform_fault(
            event, {"vm_list_frozen": True}, {"vm_list_frozen": False}
        )

    async def _do_list_down(self, event: Event) -> None:
        await self._inject_platform_fault(event, {"vm_list_down": True}, {"vm_list_down": False})

    async def _do_records_expire(self, event: Event) -> None:
        """Expire the records that the latest snapshot of each control stream covers."""
        for stream in ("config", "shard-poles"):
            url = f"{self.deployment.network.platform_url}/control/expire"
            await self._post(url, {"stream": stream})

    # Process faults

    async def _do_killed(self, event: Event) -> None:
        name = await self._process_name(event.process)
        self.add_to_timeline(f"kill {name}")
        self.deployment.kill(name)
        await asyncio.sleep(4)
        await self._start_process(name)

    async def _do_restarted(self, event: Event) -> None:
        name = await self._process_name(event.process)
        self.add_to_timeline(f"restart {name}")
        self.deployment.kill(name)
        await self._start_process(name)

    async def _start_process(self, name: str) -> None:
        if name.startswith("entry"):
            number = int(name.rpartition("-")[2])
            await self.deployment.add_daemon(number)
            await self.deployment.wait_ready(number)
        else:
            self.deployment.start_server(self.deployment.objects.by_kind(BackendServer)[name])

    async def _do_frozen(self, event: Event) -> None:
        name = await self._process_name(event.process)
        self.add_to_timeline(f"freeze {name}")
        self.deployment.signal(name, signal.SIGSTOP)
        await asyncio.sleep(event.seconds)
        self.deployment.signal(name, signal.SIGCONT)

    async def _do_stopped(self, event: Event) -> None:
        name = await self._process_name(event.process)
        self.add_to_timeline(f"stop {name}")
        self.observation.exit_codes.append(await self.deployment.stop(name))
        await self._start_process(name)

    async def _do_leaving(self, event: Event) -> None:
        name = await self._process_name(event.process)
        server = self.deployment.objects.by_kind(BackendServer)[name]
        await self.deployment.put_vm(name, server.failure_domain, "backend", "leaving")
        await asyncio.sleep(4)
        await self.deployment.put_vm(name, server.failure_domain, "backend")

    async def _inject_server_fault(self, event: Event, field: str) -> None:
        name = await self._process_name(event.process)
        await self.deployment.set_server_faults(name, **{field: True})
        await asyncio.sleep(event.seconds)
        await self.deployment.set_server_faults(name, **{field: False})

    async def _do_grantless(self, event: Event) -> None:
        await self._inject_server_fault(event, "grants_down")

    async def _do_silent(self, event: Event) -> None:
        await self._inject_server_fault(event, "silent")

    async def _do_truncating(self, event: Event) -> None:
        await self._inject_server_fault(event, "truncate")

    async def _do_crossing(self, event: Event) -> None:
        await self._inject_server_fault(event, "crossed")

    async def _do_pass_time(self, event: Event) -> None:
        await asyncio.sleep(event.seconds)

    # Operator actions

    async def _do_hot_key_moves(self, event: Event) -> None:
        await self._move_hot_key("poles-2")

    async def _do_another_hot_key(self, event: Event) -> None:
        await self._move_hot_key("poles-1", "pole-3")

    async def _move_hot_key(self, server: str, *other_keys: str) -> None:
        environment = self._environment
        environment.objects = sets.with_hot_key(environment.objects, HOT_KEY, server, *other_keys)
        await self._publish(environment.objects)

    async def _do_published(self, event: Event) -> None:
        await self._publish(self._add_limit())

    async def _do_race(self, event: Event) -> None:
        first, second = self._add_limit(), self._add_limit()
        base = (await self._status(self._running_daemons[0])).get("revision")
        await asyncio.gather(self._publish(first, base), self._publish(second, base))

    def _add_limit(self) -> ObjectSet:
        """Add a limit to the environment's objects, as a change to publish, and return them."""
        environment = self._environment
        environment.change_count += 1
        limit = Limit("Limit", f"limit-{environment.change_count}", "crew", "footage", 1_000.0)
        environment.objects = ObjectSet((*environment.objects.objects, limit))
        return environment.objects

    async def _publish(self, objects: ObjectSet, base: int | None = None) -> None:
        try:
            publish_result = await self.deployment.publish(objects, base, PUBLISH_TIMEOUT_MS)
        except PlatformUnavailable as error:
            self.add_to_timeline(f"publish: {error}")
            return
        accepted = bool(publish_result.decision and publish_result.decision.accepted_at)
        self.add_to_timeline(
            f"publish of revision {publish_result.offset}:"
            f" {'accepted' if accepted else 'not accepted'}"
        )
        if accepted:
            self.observation.accepted_revisions.append(publish_result.offset)

    async def _do_replaced_in_turn(self, event: Event) -> None:
        for number in self._running_daemons:
            await self._add_daemon()
            name = self.deployment.daemon_name(number)
            self.observation.exit_codes.append(await self.deployment.stop(name))
            await self.deployment.remove_vm(name)
            self._environment.running.discard(number)

    async def _do_replaced_at_once(self, event: Event) -> None:
        replaced = list(self._running_daemons)
        for number in replaced:
            self.deployment.kill(self.deployment.daemon_name(number))
            await self.deployment.remove_vm(self.deployment.daemon_name(number))
            self._environment.running.discard(number)
        await asyncio.gather(*(self._add_daemon() for _ in replaced))

    async def _add_daemon(self) -> None:
        self._environment.daemons_started += 1
        number = self._environment.daemons_started
        await self.deployment.add_daemon(number)
        await self.deployment.wait_ready(number)
        self._environment.running.add(number)
        if self._traffic:
            self._traffic.add_url(self.deployment.caller_url(number))

    # Observation

    async def _poll_revisions(self) -> None:
        while True:
            for number in self._running_daemons:
                revision = (await self._status(number)).get("revision")
                if revision is not None:
                    self.observation.revisions_in_force.append((monotonic_ms(), number, revision))
            await asyncio.sleep(0.25)

    async def _wait_for_convergence(self) -> bool:
        """Return whether the daemons converge within CONVERGENCE_TIMEOUT_S.

        They have converged when all are ready at one revision, every shard has an acting leader and
        no partition is without an owner.
        """
        deadline = monotonic_ms() + CONVERGENCE_TIMEOUT_S * 1_000
        while monotonic_ms() < deadline:
            states = [await self._status(number) for number in self._running_daemons]
            if all(states) and self._have_converged(states):
                return True
            await asyncio.sleep(0.1)
        return False

    def _have_converged(self, states: list[dict]) -> bool:
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
