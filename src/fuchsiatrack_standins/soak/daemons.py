"""Gateway daemons as processes of their own."""

from __future__ import annotations

import asyncio
import enum
import os
import pathlib
import signal
import socket
import sys

import aiohttp

GRACE_S = 6.0
SETTINGS = """\
[Self]
NodeName = "{vm}"
Zone = "a"
Ip = "{host}"
[Network]
InternalPortRange = [{reports}, {reports}]
[Network.Listen]
Front = "{host}:{callers}"
Ready = "{host}:{readiness}"
[Platform.Platform]
Address = "{store}"
[Terms.Bounds]
MaxHold = "10000ms"
Grace = "6s"
BudgetRatio = 0.2
BudgetSlack = 50.0
BudgetWindow = "10s"
"""


class State(enum.Enum):
    """What the soak does to a daemon."""

    WELL = "well"
    STOPPING = "stopping"
    FAULTY = "faulty"


class DaemonProcess:
    """One daemon at an address of its own."""

    def __init__(self, index: int, store: str, directory: pathlib.Path) -> None:
        self.vm = f"entry-{index}"
        # Soaks that run at once must not meet, as the port of the metrics is the same everywhere.
        self.host = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.{index}"
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None
        self._ports = {name: _free_port(self.host) for name in ("callers", "readiness", "reports")}
        self.settings = directory / f"{self.vm}.toml"
        text = SETTINGS.format(vm=self.vm, host=self.host, store=store, **self._ports)
        self.settings.write_text(text)
        self.state = State.FAULTY
        self.starts = 0

    @property
    def url(self) -> str:
        """Where callers connect."""
        return f"http://{self.host}:{self._ports['callers']}"

    async def start(self) -> None:
        """Start the process; its log goes to a file."""
        self.starts += 1
        output = (self._directory / f"{self.vm}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fuchsiatrack_gateway",
            f"--settings={self.settings}",
            stdout=output,
            stderr=output,
        )
        output.close()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, timeout: float) -> int | None:
        """Return the exit code, None when the process still runs after *timeout* seconds."""
        try:
            async with asyncio.timeout(timeout):
                return await self._process.wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """End the process, however it is."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self._process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Tell whether the readiness page answers 200."""
        url = f"http://{self.host}:{self._ports['readiness']}/-/ready"
        try:
            async with asyncio.timeout(1.0), session.get(url) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
