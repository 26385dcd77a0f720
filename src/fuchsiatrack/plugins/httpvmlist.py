"""Client of the platform's VM list over HTTP."""

from __future__ import annotations

import logging

import aiohttp

from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.kernel.fields import decode_object, field, identifier, natural
from fuchsiatrack.kernel.registry import register
from fuchsiatrack.peers.vmlist import VM, VMList, VMSnapshot, VMState

PORTS = ("peer_port", "operator_port")
PORT_MAX = 65_535

log = logging.getLogger(__name__)


@register("vm_list", "http")
class HttpVMList(VMList):
    """A client of the VM list at *url*; *timeout* is in milliseconds."""

    def __init__(self, url: str, timeout: int) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout / 1000)
        self._session: aiohttp.ClientSession | None = None
        self._known = VMSnapshot()

    async def read(self) -> VMSnapshot:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            async with self._session.get(f"{self._url}/vms") as response:
                if response.status != 200:
                    raise PlatformUnavailable(f"VM list returned status {response.status}")
                return self.decode(decode_object(await response.read()))
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformUnavailable(f"VM list request failed: {error!r}") from error

    def decode(self, body: dict) -> VMSnapshot:
        """Return the list in *body*; raise ValueError if it isn't a list of VMs.

        A malformed entry is left out, but a VM that was listed before keeps its entry, since one
        that isn't listed counts as ended.
        """
        vms = (self._decode_vm(item) for item in field(body, "vms", list))
        listed = {vm.name: vm for vm in vms if vm is not None}
        self._known = VMSnapshot(natural(body, "version"), tuple(listed.values()))
        return self._known

    def _decode_vm(self, item: object) -> VM | None:
        try:
            return _decode_vm(item)
        except ValueError as error:
            log.warning("VM entry rejected", extra={"why": str(error)})
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            return None
        return self._known.find(item["name"])

    async def close(self) -> None:
        if self._session:
            await self._session.close()


def _decode_vm(item: object) -> VM:
    return VM(
        identifier(item, "name"),
        identifier(item, "address"),
        VMState(field(item, "state", str)),
        field(item, "role", str),
        field(item, "failure_domain", str),
        *(natural(item, port, 0, PORT_MAX) if port in item else 0 for port in PORTS),
    )
