"""Callers that open a connection for each request."""

from __future__ import annotations

import asyncio

from fuchsiatrack_standins.soak.daemons import DaemonProcess, DaemonState
from fuchsiatrack_standins.soak.rawcaller import RawCaller

# At a daemon that stops, so that some of them wait at its listener when that closes.
CONNECTIONS_AT_ONCE = 16


class ConnectingCaller(RawCaller):
    """Opens one connection for each request, and several at once to a daemon that stops."""

    async def _call(self, daemon: DaemonProcess) -> None:
        count = CONNECTIONS_AT_ONCE if daemon.state is DaemonState.STOPPING else 1
        requests = [self._request(daemon) for _ in range(count)]
        calls = [self._call_on_own_connection(daemon, item, (item.head,)) for item in requests]
        await asyncio.gather(*calls, return_exceptions=True)
