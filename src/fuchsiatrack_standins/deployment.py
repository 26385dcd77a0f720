"""Deployment on loopback: platform, backend servers and daemons as processes.

Used only by the other programs of this package and by tests; the product itself starts no
processes.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Sequence
from typing import Any

import aiohttp
import yaml

from fuchsiatrack.cli.client import PublishResult, publish
from fuchsiatrack.model.objects import BackendServer
from fuchsiatrack.model.objectset import ObjectSet

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
CALLER_PORT, OPERATOR_PORT, PEER_PORT = 8080, 8081, 8082


@dataclasses.dataclass(frozen=True)
class Network:
    """Loopback addresses of a deployment; *octet* separates concurrent deployments."""

    octet: int = 0

    @property
    def platform(self) -> str:
        """Address of the platform."""
        return f"127.{self.octet}.0.1"

    @property
    def platform_url(self) -> str:
        """URL of the log and the VM list."""
        return f"http://{self.platform}:7000"

    def daemon(self, number: int) -> str:
        """Address of daemon *number*, from 1."""
        return f"127.{self.octet}.1.{number}"

    def server(self, number: int) -> str:
        """Address and port of backend server *number*, from 1."""
        return f"127.{self.octet}.2.{number}:7100"


class Deployment:
    """Processes of a deployment; an asynchronous context manager that starts and ends them."""

    def __init__(
        self,
        objects: ObjectSet,
        daemons: int = 3,
        network: Network | None = None,
        directory: pathlib.Path | None = None,
        settings: dict[str, Any] | None = None,
        platform_flags: Sequence[str] = (),
        server_flags: Sequence[str] = (),
        vm_list_lag_ms: int = 300,
    ) -> None:
        self.objects = objects
        self.network = network or Network()
        self.directory = directory or pathlib.Path(tempfile.mkdtemp(prefix="fuchsiatrack-"))
        self._daemon_count = daemons
        self._settings = settings or {}
        self._platform_flags = [f"--vm_lag_ms={vm_list_lag_ms}", *platform_flags]
        self._server_flags = list(server_flags)
        self.processes: dict[str, subprocess.Popen] = {}
        self._session: aiohttp.ClientSession | None = None
        self._start_count = 0

    async def __aenter__(self) -> Deployment:
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    # Whole deployment

    async def start(self) -> None:
        """Start all processes and wait until each responds."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        self.start_platform()
        await self._wait_until_available(f"{self.network.platform_url}/vms")
        servers = sorted(self.objects.by_kind(BackendServer).values(), key=lambda item: item.name)
        for server in servers:
            self.start_server(server)
        await asyncio.gather(
            *(self._wait_until_available(self.server_url(s) + "/probe") for s in servers)
        )
        for server in servers:
            await self.put_vm(server.vm_name, server.failure_domain, role="backend")
        numbers = range(1, self._daemon_count + 1)
        for number in numbers:
            await self.add_daemon(number)
        await asyncio.gather(*(self.wait_ready(number) for number in numbers))

    async def close(self) -> None:
        """Kill the processes that still run, and close the session."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self._session:
            await self._session.close()

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        command = [
            "-m",
            "fuchsiatrack_standins.platform",
            f"--address={self.network.platform}",
            *self._platform_flags,
        ]
        self._start_process("platform", command)

    def start_server(self, server: BackendServer) -> None:
        """Start or restart a backend server."""
        address, _, port = server.address.rpartition(":")
        service = self.objects.services[server.service]
        command = [
            "-m",
            "fuchsiatrack_standins.backend",
            f"--name={server.name}",
            f"--address={address}",
            f"--port={port}",
            f"--slots={server.slots}",
            f"--connections={server.connections}",
            f"--keyed={str(service.keyed).lower()}",
            f"--checks_grants={str(server.checks_grants).lower()}",
            f"--deduplicates={str(service.deduplicates).lower()}",
            f"--journal={self.directory / (server.name + '.journal')}",
            *self._server_flags,
        ]
        self._start_process(server.name, command)

    # Daemons

    async def add_daemon(self, number: int) -> None:
        """Add daemon *number* to the VM list and start it as a new incarnation."""
        name = self.daemon_name(number)
        await self.put_vm(
            name,
            self._failure_domain(number),
            role="daemon",
            address=self.network.daemon(number),
            peer_port=PEER_PORT,
            operator_port=OPERATOR_PORT,
        )
        self._start_count += 1
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._daemon_settings(number)))
        command = ["-m", "fuchsiatrack.daemon.main", f"--settings={path}"]
        self._start_process(name, command)

    def daemon_name(self, number: int) -> str:
        """Return the VM name of daemon *number*."""
        return f"entry-{number}"

    def caller_url(self, number: int) -> str:
        """Return the URL of daemon *number* for callers."""
        return f"http://{self.network.daemon(number)}:{CALLER_PORT}"

    async def status(self, number: int) -> dict[str, Any]:
        """Return the status report of daemon *number*."""
        return await self.read(number, "/status")

    async def read(self, number: int, path: str) -> Any:
        """Return the JSON document at *path* of the operator port of daemon *number*."""
        url = f"http://{self.network.daemon(number)}:{OPERATOR_PORT}{path}"
        async with self.session.get(url) as response:
            return await response.json()

    async def wait_ready(self, number: int) -> None:
        """Wait until daemon *number* is ready for callers."""
        await self._wait_until_available(self.caller_url(number) + "/-/ready")

    def _failure_domain(self, number: int) -> str:
        domains = sorted(
            {server.failure_domain for server in self.objects.by_kind(BackendServer).values()}
        )
        return domains[(number - 1) % len(domains)]

    def _daemon_settings(self, number: int) -> dict[str, Any]:
        return {
            "vm": self.daemon_name(number),
            "failure_domain": self._failure_domain(number),
            "incarnation": str(self._start_count),
            "listen": {"address": self.network.daemon(number)},
            "platform": {
                "log_url": self.network.platform_url,
                "vm_list_url": self.network.platform_url,
            },
            **self._settings,
        }

    # Platform and faults

    @property
    def session(self) -> aiohttp.ClientSession:
        """Session for calls to the stand-ins and daemons."""
        assert self._session is not None
        return self._session

    async def publish(
        self,
        objects: ObjectSet | None = None,
        base_revision: int | None = None,
        timeout_ms: int = 20_000,
    ) -> PublishResult:
        """Publish *objects*, by default those of the deployment.

        *timeout_ms* bounds each step: reading the log, the append, and the wait for the decision.
        """
        return await publish(
            self.network.platform_url, objects or self.objects, base_revision, timeout_ms
        )

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform: of the log and of the VM list."""
        url = f"{self.network.platform_url}/control/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def platform_stats(self) -> dict[str, Any]:
        """Return the platform's counters."""
        async with self.session.get(f"{self.network.platform_url}/control/stats") as response:
            return await response.json()

    async def set_server_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a backend server."""
        url = self.server_url(self.objects.by_kind(BackendServer)[name]) + "/control/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def put_vm(
        self,
        name: str,
        failure_domain: str,
        role: str,
        state: str = "live",
        address: str = "",
        **ports: int,
    ) -> None:
        """Add a VM to the platform's list, or update it."""
        body = {
            "address": address,
            "state": state,
            "role": role,
            "failure_domain": failure_domain,
            **ports,
        }
        url = f"{self.network.platform_url}/control/vms/{name}"
        async with self.session.put(url, json=body) as response:
            response.raise_for_status()

    async def remove_vm(self, name: str) -> None:
        """Remove a VM from the platform's list."""
        url = f"{self.network.platform_url}/control/vms/{name}"
        async with self.session.delete(url) as response:
            response.raise_for_status()

    def signal(self, name: str, number: int) -> None:
        """Send signal *number* to the process *name*."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    async def stop(self, name: str, timeout_s: float = 30.0) -> int:
        """Terminate a process by SIGTERM and return its exit code.

        Raise subprocess.TimeoutExpired if it runs for *timeout_s* longer.
        """
        process = self.processes[name]
        process.terminate()
        return await asyncio.to_thread(process.wait, timeout_s)

    @staticmethod
    def server_url(server: BackendServer) -> str:
        """Return the URL of a backend server."""
        return f"http://{server.address}"

    def journals(self) -> Iterable[pathlib.Path]:
        """Return the journal files of the backend servers."""
        return sorted(self.directory.glob("*.journal"))

    def _start_process(self, name: str, command: list[str]) -> None:
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command], stdout=log, stderr=log, env=_environment()
            )

    async def _wait_until_available(self, url: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"no response from {url}; logs are in {self.directory}")


def _environment() -> dict[str, str]:
    return {**os.environ, "PYTHONUNBUFFERED": "1"}
