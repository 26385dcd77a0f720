"""Callers that open a connection for each request."""

from __future__ import annotations

import asyncio

from fuchsiatrack_standins.soak.daemons import DaemonProcess
from fuchsiatrack_standins.soak.rawcaller import RawCaller

CONNECTIONS_AT_ONCE = 8


class ConnectingCaller(RawCaller):
    """Opens several connections at once, each for one request."""

    async def _call(self, daemon: DaemonProcess) -> None:
        requests = [self._request(daemon) for _ in range(CONNECTIONS_AT_ONCE)]
        calls = [self._call_on_own_connection(daemon, item, (item.head,)) for item in requests]
        await asyncio.gather(*calls, return_exceptions=True)
