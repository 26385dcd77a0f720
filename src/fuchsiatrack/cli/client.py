"""Client of the daemons' operator endpoints and of the log, for the command-line tool."""

from __future__ import annotations

import asyncio
import dataclasses
import getpass
import re
import secrets
from collections.abc import Mapping
from typing import Any

import aiohttp

from fuchsiatrack.control.records import Publish, RecordId
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.state import Decision, ShardState
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.daemon.daemon import CONFIG_STREAM
from fuchsiatrack.gateway.explanation import EXPLANATION_PATH
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.peers.vmlist import VM
from fuchsiatrack.plugins.httplog import HttpLog
from fuchsiatrack.plugins.httpvmlist import HttpVMList

REQUEST_TIMEOUT_MS = 2_000
LOG_WAIT_MS = 500
_ENDPOINT = re.compile(r"[A-Za-z0-9.-]+:([0-9]{1,5})")


@dataclasses.dataclass(frozen=True)
class DaemonResponse:
    """Decoded JSON response of one daemon; `body` is None if there was no valid response."""

    vm: str
    body: Any


async def read_daemons(vm_list_url: str, path: str) -> list[DaemonResponse]:
    """Return the response of every listed daemon to a GET request for *path*.

    Raise PlatformUnavailable if the VM list can't be read.
    """
    vm_list = HttpVMList(vm_list_url, REQUEST_TIMEOUT_MS)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_MS / 1_000)
    try:
        vms = (await vm_list.read()).daemon_vms
        async with aiohttp.ClientSession(timeout=timeout) as session:
            return list(await asyncio.gather(*(_read(session, vm, path) for vm in vms)))
    finally:
        await vm_list.close()


class QuestionRejected(Exception):
    """The daemon can't use a field of the request to explain."""


async def explain(daemon: str, fields: Mapping[str, str]) -> dict[str, Any]:
    """Return the explanation of the gateway daemon whose metrics are served at *daemon*.

    *daemon* has the form ``HOST:PORT``; *fields* are those of the request.  Raise QuestionRejected
    if *daemon* or a field is malformed, PlatformUnavailable if there is no valid explanation.
    """
    match = _ENDPOINT.fullmatch(daemon)
    if match is None or not 0 < int(match[1]) < 1 << 16:
        raise QuestionRejected(f"daemon: not of the form HOST:PORT: {daemon}")
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_MS / 1_000)
    url = f"http://{daemon}{EXPLANATION_PATH}"
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url, params=fields) as response:
                status, body = response.status, await response.json()
    except aiohttp.ContentTypeError as error:
        raise PlatformUnavailable(f"{daemon}: no gateway daemon that explains") from error
    except ValueError as error:
        raise PlatformUnavailable(f"{daemon}: malformed explanation") from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise PlatformUnavailable(f"{daemon}: no response: {error}") from error
    if not isinstance(body, dict):
        raise PlatformUnavailable(f"{daemon}: malformed explanation")
    if status == 400:
        raise QuestionRejected(str(body.get("error", "malformed")))
    if status != 200 or not body.keys() >= {"host", "path", "route", "parts", "rejection"}:
        raise PlatformUnavailable(f"{daemon}: malformed explanation")
    return body


async def _read(session: aiohttp.ClientSession, vm: VM, path: str) -> DaemonResponse:
    try:
        async with session.get(f"http://{vm.address}:{vm.operator_port}{path}") as response:
            return DaemonResponse(
                vm.name, await response.json() if response.status == 200 else None
            )
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return DaemonResponse(vm.name, None)


@dataclasses.dataclass(frozen=True)
class PublishResult:
    """An appended publish record; `decision` is None if none was read before the timeout."""

    offset: int
    decision: Decision | None


async def publish(
    log_url: str, objects: ObjectSet, base: int | None, timeout: int
) -> PublishResult:
    """Publish *objects* as the successor of revision *base*, by default the one in force.

    Wait up to *timeout* milliseconds for each step: to read the log, to append, and for the
    decision.  Raise PlatformUnavailable if the log could not be read, in which case nothing was
    published, or if the outcome of the append is unknown; the publish may then still take
    effect.
    """
    log, clock = HttpLog(log_url, REQUEST_TIMEOUT_MS), SystemClock()
    replica: StateReplica[ShardState] = StateReplica(
        log, CONFIG_STREAM, ShardState, clock, LOG_WAIT_MS
    )
    writer = StreamWriter(log, replica, f"operator.{secrets.token_hex(8)}", clock)
    replica_task = asyncio.create_task(replica.run())
    try:
        return await _publish(replica, writer, objects, base, timeout)
    finally:
        replica_task.cancel()
        await log.close()


async def _publish(
    replica: StateReplica[ShardState],
    writer: StreamWriter,
    objects: ObjectSet,
    base: int | None,
    timeout: int,
) -> PublishResult:
    try:
        async with asyncio.timeout(timeout / 1_000):
            await replica.caught_up.wait()
    except TimeoutError:
        raise PlatformUnavailable("the log can't be read; nothing was published") from None
    base_revision = replica.state.revision if base is None else base

    def build(record_id: RecordId) -> Publish:
        documents = objects.to_documents()
        return Publish("publish", record_id, base_revision, documents, objects.digest, _user_name())

    applied = await writer.append(build, timeout)
    offset = applied.offset
    await replica.wait_for(lambda: replica.state.decision_on(offset) is not None, timeout)
    return PublishResult(offset, replica.state.decision_on(offset))


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
