"""The platform's lagging list of VMs; contract of its plug-ins."""

from __future__ import annotations

import abc
import dataclasses
import enum

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
