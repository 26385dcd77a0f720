"""Read-only HTTP endpoints for operators."""

from __future__ import annotations

import dataclasses
import pathlib
import resource
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from aiohttp import web

from fuchsiatrack.control.leadership import Leadership, leadership_report
from fuchsiatrack.control.state import PartitionOwner, ShardState

if TYPE_CHECKING:
    from fuchsiatrack.daemon.daemon import DaemonProcess
    from fuchsiatrack.daemon.shard import ServiceRuntime


STATM_PATH = pathlib.Path("/proc/self/statm")


class OperatorServer:
    """Serves status, ownership, revisions and service levels as JSON; changes no state."""

    def __init__(self, daemon: DaemonProcess) -> None:
        self._daemon = daemon

    def build_application(self) -> web.Application:
        """Return the web application."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/status", self._status),
                web.get("/ownership", self._ownership),
                web.get("/revisions", self._revisions),
                web.get("/levels", self._levels),
            ]
        )
        return application

    async def _status(self, request: web.Request) -> web.Response:
        daemon, state = self._daemon, self._daemon.config.replica.state
        body = {
            "vm": daemon.context.local_daemon.vm,
            "incarnation": daemon.context.local_daemon.incarnation,
            "failure_domain": daemon.context.local_daemon.failure_domain,
            "ready": daemon.is_ready,
            "stopping": daemon.is_stopping,
            "revision": state.revision,
            "in_flight": daemon.caller_server.in_flight,
            "appends": daemon.appends,
            "log_age_ms": daemon.context.clock.now() - daemon.config.replica.read_at,
            "peers": [peer.vm for peer in daemon.context.peers.reachable],
            "cpu_s": _cpu_seconds(),
            "memory_kb": _memory_kilobytes(),
            "shards": [self._shard_report(daemon.config.leadership, state)]
            + [
                self._shard_report(runtime.ownership.leadership, runtime.ownership.replica.state)
                for runtime in daemon.runtimes.values()
                if runtime.ownership
            ],
            "services": [
                self._service_status(name, runtime)
                for name, runtime in sorted(daemon.runtimes.items())
            ],
        }
        return web.json_response(body)

    def _shard_report(self, leadership: Leadership, state: ShardState) -> dict[str, Any]:
        return dataclasses.asdict(leadership_report(leadership, state))

    def _service_status(self, name: str, runtime: ServiceRuntime) -> dict[str, Any]:
        body: dict[str, Any] = {"service": name, "keyed": runtime.ownership is not None}
        if runtime.ownership:
            partitions, unavailable = runtime.ownership.count_unavailable()
            body |= {"partitions": partitions, "unavailable": unavailable}
            body["servers"] = _partition_counts(runtime.ownership.replica.state.ownership)
            body["moves"] = runtime.ownership.moves.count
        return body

    async def _ownership(self, request: web.Request) -> web.Response:
        body = {
            name: {
                partition: dataclasses.asdict(owner)
                for partition, owner in runtime.ownership.replica.state.ownership.items()
            }
            for name, runtime in self._daemon.runtimes.items()
            if runtime.ownership
        }
        return web.json_response(body)

    async def _revisions(self, request: web.Request) -> web.Response:
        state = self._daemon.config.replica.state
        body = {
            "revision": state.revision,
            "pending": sorted(state.pending),
            "decisions": [dataclasses.asdict(item) for item in state.decisions],
        }
        return web.json_response(body)

    async def _levels(self, request: web.Request) -> web.Response:
        objectives = {
            name: dataclasses.asdict(service.objectives)
            for name, service in self._daemon.objects().services.items()
        }
        return web.json_response({"objectives": objectives, "windows": self._daemon.levels.dump()})


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _memory_kilobytes() -> int:
    resident_pages = int(STATM_PATH.read_text().split()[1])
    return resident_pages * resource.getpagesize() // 1_024


def _partition_counts(ownership: Mapping[str, PartitionOwner]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for owner in ownership.values():
        counts[owner.server] = counts.get(owner.server, 0) + 1
    return counts
