"""Gateway daemons that run as separate processes."""

from __future__ import annotations

import asyncio
import enum
import os
import pathlib
import signal
import socket
import sys
import time

import aiohttp

from fuchsiatrack.limits.retryratio import RetryBudgetSettings

# Equals Grace in the settings below.
STOP_GRACE_S = 6.0
SETTINGS_TEMPLATE = """\
[Self]
NodeName = "{vm}"
Zone = "a"
Ip = "{host}"
Bootstrap = true
[Network]
InternalPortRange = [{reports}, {reports}]
[Network.Listen]
Front = "{host}:{callers}"
Ready = "{host}:{readiness}"
[Platform.Platform]
Address = "{store}"
[Terms.Bounds]
Contact = "3000ms"
Drain = "2000ms"
MaxHold = "10000ms"
Grace = "6s"
BudgetRatio = {budget.ratio}
BudgetSlack = {budget.fixed}
BudgetWindow = "{budget.window}ms"
"""
# What the settings tell at the first start, and at later ones.
FIRST_START, RESTART = "Bootstrap = true", "Bootstrap = false"
# Small, so that retries reach it.
RETRY_BUDGET = RetryBudgetSettings(ratio=0.2, fixed=10.0, window=10_000)


class DaemonState(enum.Enum):
    """State that the soak test puts a daemon into.

    A FAULTY daemon is starting, paused or killed, or recovers from that.
    """

    HEALTHY = "well"
    STOPPING = "stopping"
    FAULTY = "faulty"


class DaemonProcess:
    """One daemon process with its own loopback address.

    `state` is set by the code that injects faults; `start_count` tells restarts apart, and
    `disturbed_at_s` has the times of the monotonic clock when the process was started or got a
    signal other than SIGHUP, or its state became another one than HEALTHY.
    """

    def __init__(self, index: int, log_service_address: str, directory: pathlib.Path) -> None:
        self.vm = f"entry-{index}"
        # The metrics port is fixed, so concurrent soak tests need different addresses.
        self.host = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.{index}"
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None
        self._ports = {name: _free_port(self.host) for name in ("callers", "readiness", "reports")}
        self.settings = directory / f"{self.vm}.toml"
        text = SETTINGS_TEMPLATE.format(
            vm=self.vm,
            host=self.host,
            store=log_service_address,
            budget=RETRY_BUDGET,
            **self._ports,
        )
        self.settings.write_text(text)
        self.disturbed_at_s: list[float] = []
        self.state = DaemonState.FAULTY
        self.start_count = 0

    @property
    def state(self) -> DaemonState:
        """The state that the soak test has put the daemon into."""
        return self._state

    @state.setter
    def state(self, state: DaemonState) -> None:
        self._state = state
        if state is not DaemonState.HEALTHY:
            self.disturbed_at_s.append(time.monotonic())

    @property
    def callers_address(self) -> tuple[str, int]:
        """Host and port for callers."""
        return self.host, self._ports["callers"]

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.host}:{self._ports['callers']}"

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and hasn't ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, with its output appended to a log file in the directory.

        Its settings tell whether this is its first start.
        """
        if self.start_count:
            text = self.settings.read_text().replace(FIRST_START, RESTART)
            self.settings.write_text(text)
        self.start_count += 1
        self.disturbed_at_s.append(time.monotonic())
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.is_running:
            if signal_number is not signal.SIGHUP:
                self.disturbed_at_s.append(time.monotonic())
            self._process.send_signal(signal_number)

    async def wait(self, timeout: float) -> int | None:
        """Return the exit code, or None if the process still runs after *timeout* seconds."""
        try:
            async with asyncio.timeout(timeout):
                return await self._process.wait()
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Kill the process, even if it is paused, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self._process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the readiness endpoint responds with status 200 within 1 s."""
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
