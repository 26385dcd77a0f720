"""Callers that send requests in parts, or read responses late."""

from __future__ import annotations

from collections.abc import Sequence

from fuchsiatrack_standins.soak.daemons import DaemonProcess
from fuchsiatrack_standins.soak.rawcaller import RawCaller

PAUSES_S = (0.1, 0.3)
READ_PAUSES_S = (0.0, 0.5)
BODY_BYTES = 2_000
PARTS = (1, 2, 3)


class SlowCaller(RawCaller):
    """Sends head or body in parts with pauses, and reads some responses only after another."""

    async def _call(self, daemon: DaemonProcess) -> None:
        pause_s, read_pause_s = self._rng.choice(PAUSES_S), self._rng.choice(READ_PAUSES_S)
        count = self._rng.choice(PARTS)
        if self._rng.random() < 0.5:
            request = self._request(daemon)
            parts = split(request.head, count)
        else:
            request = self._request(daemon, ("POST", "/orders/"), length=BODY_BYTES)
            parts = [request.head, *split(b"b" * BODY_BYTES, count)]
        await self._call_on_own_connection(daemon, request, parts, pause_s, read_pause_s)


def split(data: bytes, count: int) -> Sequence[bytes]:
    """Return *data* in *count* parts of about the same size."""
    edges = [len(data) * number // count for number in range(count + 1)]
    return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]
