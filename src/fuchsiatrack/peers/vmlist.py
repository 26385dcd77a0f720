"""Contract of plug-ins that read the platform's list of VMs."""

from __future__ import annotations

import abc
import dataclasses
import enum

DAEMON_ROLE = "daemon"


class VMState(enum.Enum):
    """State of a VM as reported by the platform."""

    LIVE = "live"
    DRAINING = "leaving"


@dataclasses.dataclass(frozen=True)
class VM:
    """One listed VM; `peer_port` is 0 if it runs no daemon."""

    name: str
    address: str
    state: VMState
    role: str
    failure_domain: str
    peer_port: int = 0
    operator_port: int = 0


@dataclasses.dataclass(frozen=True)
class VMSnapshot:
    """The list at one point in time; `version` grows with every change."""

    version: int = 0
    vms: tuple[VM, ...] = ()

    def find(self, name: str) -> VM | None:
        """Return the VM called *name*, or None."""
        return next((vm for vm in self.vms if vm.name == name), None)

    @property
    def daemon_vms(self) -> tuple[VM, ...]:
        """The VMs that run a daemon, sorted by name."""
        return tuple(
            sorted((vm for vm in self.vms if vm.role == DAEMON_ROLE), key=lambda vm: vm.name)
        )


class VMList(abc.ABC):
    """The platform's list of VMs, which lags behind their actual state."""

    @abc.abstractmethod
    async def read(self) -> VMSnapshot:
        """Return the current list; raise PlatformUnavailable if it can't be read."""

    async def close(self) -> None:
        """Close the connections."""
