"""Callers that send all of a body before they read a response that came earlier."""

from __future__ import annotations

from fuchsiatrack_standins.soak.daemons import DaemonProcess
from fuchsiatrack_standins.soak.rawcaller import RawCaller
from fuchsiatrack_standins.soak.slowcaller import split

# Servers reject some of the small ones by the head; daemons do so with the large ones, which exceed
# `MaxBodyBytes` of the configuration.
BODY_BYTES = (100_000, 4_100_000)
PARTS = 5
PART_PAUSE_S = 0.3


class UploadCaller(RawCaller):
    """Uploads bodies in parts, whatever the daemon responds meanwhile."""

    async def _call(self, daemon: DaemonProcess) -> None:
        length = self._rng.choice(BODY_BYTES)
        request = self._request(daemon, ("POST", "/orders/"), length=length)
        parts = [request.head, *split(b"u" * length, PARTS)]
        await self._call_on_own_connection(daemon, request, parts, PART_PAUSE_S)
