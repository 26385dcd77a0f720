"""Reading the daemons and publishing on the log, for the command-line tool."""

from __future__ import annotations

import asyncio
import dataclasses
import getpass
import secrets
from typing import Any

import aiohttp

from fuchsiatrack.control.records import Publish, RecordId
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.state import Decision, ShardState
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.daemon.daemon import CONFIG_STREAM
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.peers.vmlist import VM
from fuchsiatrack.plugins.httplog import HttpLog
from fuchsiatrack.plugins.httpvmlist import HttpVMList

CALL_TIMEOUT = 2_000
LOG_WAIT = 500


@dataclasses.dataclass(frozen=True)
class Reply:
    """What one daemon answered; `body` is None when it did not."""

    vm: str
    body: Any


async def read_daemons(vm_list_url: str, path: str) -> list[Reply]:
    """Return every listed daemon's answer to a read of *path*.

    Raises PlatformUnavailable when the VM list can't be had.
    """
    vm_list = HttpVMList(vm_list_url, CALL_TIMEOUT)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT / 1_000)
    try:
        vms = (await vm_list.read()).daemons
        async with aiohttp.ClientSession(timeout=timeout) as session:
            return list(await asyncio.gather(*(_read(session, vm, path) for vm in vms)))
    finally:
        await vm_list.close()


async def _read(session: aiohttp.ClientSession, vm: VM, path: str) -> Reply:
    try:
        async with session.get(f"http://{vm.address}:{vm.operator_port}{path}") as got:
            return Reply(vm.name, await got.json() if got.status == 200 else None)
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return Reply(vm.name, None)


@dataclasses.dataclass(frozen=True)
class Published:
    """A publish that was appended; `decision` is None while there is none."""

    offset: int
    decision: Decision | None


async def publish(log_url: str, objects: ObjectSet, base: int | None, timeout: int) -> Published:
    """Publish *objects* after revision *base*, by default the one in force.

    Waits up to *timeout* milliseconds for the decision.  Raises PlatformUnavailable when the
    append could not be settled; the publish may still take effect.
    """
    log, clock = HttpLog(log_url, CALL_TIMEOUT), SystemClock()
    replica: StateReplica[ShardState] = StateReplica(
        log, CONFIG_STREAM, ShardState, clock, LOG_WAIT
    )
    writer = StreamWriter(log, replica, f"operator.{secrets.token_hex(8)}", clock)
    following = asyncio.create_task(replica.run())
    try:
        return await _publish(replica, writer, objects, base, timeout)
    finally:
        following.cancel()
        await log.close()


async def _publish(
    replica: StateReplica[ShardState],
    writer: StreamWriter,
    objects: ObjectSet,
    base: int | None,
    timeout: int,
) -> Published:
    try:
        async with asyncio.timeout(timeout / 1_000):
            await replica.caught_up.wait()
    except TimeoutError:
        raise PlatformUnavailable("the log can't be read; nothing was published") from None
    after = replica.state.revision if base is None else base

    def build(identity: RecordId) -> Publish:
        documents = objects.to_documents()
        return Publish("publish", identity, after, documents, objects.digest, _user())

    applied = await writer.append(build, timeout)
    offset = applied.offset
    await replica.wait_for(lambda: replica.state.decision_on(offset) is not None, timeout)
    return Published(offset, replica.state.decision_on(offset))


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
