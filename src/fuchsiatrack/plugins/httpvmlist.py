"""Client of the platform's VM list over HTTP."""

from __future__ import annotations

import aiohttp

from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.kernel.registry import register
from fuchsiatrack.peers.vmlist import VM, VMList, VMSnapshot, VMState


@register("vm_list", "http")
class HttpVMList(VMList):
    """A client of the VM list at *url*; *timeout* is in milliseconds."""

    def __init__(self, url: str, timeout: int) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout / 1000)
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> VMSnapshot:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            async with self._session.get(f"{self._url}/vms") as response:
                if response.status != 200:
                    raise PlatformUnavailable(f"VM list returned status {response.status}")
                body = await response.json()
                vms = tuple(_decode_vm(item) for item in body["vms"])
                return VMSnapshot(body["version"], vms)
        except (TimeoutError, aiohttp.ClientError, ValueError, KeyError) as error:
            raise PlatformUnavailable(f"VM list request failed: {error!r}") from error

    async def close(self) -> None:
        if self._session:
            await self._session.close()


def _decode_vm(item: dict) -> VM:
    return VM(**{**item, "state": VMState(item["state"])})
