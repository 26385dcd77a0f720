"""The platform's lagging list of VMs: contract and the HTTP plug-in."""

from __future__ import annotations

import abc
import dataclasses
import enum

import aiohttp

from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.kernel.registry import register

DAEMON_ROLE = "daemon"


class VMState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class VM:
    """One VM of the list; `peer_port` is 0 for a VM that runs no daemon."""

    name: str
    address: str
    state: VMState
    role: str
    failure_domain: str
    peer_port: int = 0
    operator_port: int = 0


@dataclasses.dataclass(frozen=True)
class VMSnapshot:
    """The list as of some moment; `version` grows with every change."""

    version: int = 0
    vms: tuple[VM, ...] = ()

    def find(self, name: str) -> VM | None:
        """Return the VM called *name*."""
        return next((vm for vm in self.vms if vm.name == name), None)

    @property
    def daemons(self) -> tuple[VM, ...]:
        """The VMs that run a daemon, by name."""
        return tuple(
            sorted((vm for vm in self.vms if vm.role == DAEMON_ROLE), key=lambda vm: vm.name)
        )


class VMList(abc.ABC):
    """The platform's list; it lags behind what happened."""

    @abc.abstractmethod
    async def read(self) -> VMSnapshot:
        """Return the list; raise PlatformUnavailable when it can't be had."""

    async def close(self) -> None:
        """Give back connections."""


@register("vm_list", "http")
class HttpVMList(VMList):
    """The list over HTTP; *timeout* in milliseconds."""

    def __init__(self, url: str, timeout: int) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout / 1000)
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> VMSnapshot:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            async with self._session.get(f"{self._url}/vms") as got:
                if got.status != 200:
                    raise PlatformUnavailable(f"VM list answered {got.status}")
                body = await got.json()
                vms = tuple(_vm(item) for item in body["vms"])
                return VMSnapshot(body["version"], vms)
        except (TimeoutError, aiohttp.ClientError, ValueError, KeyError) as error:
            raise PlatformUnavailable(f"VM list: {error!r}") from error

    async def close(self) -> None:
        if self._session:
            await self._session.close()


def _vm(item: dict) -> VM:
    return VM(**{**item, "state": VMState(item["state"])})
