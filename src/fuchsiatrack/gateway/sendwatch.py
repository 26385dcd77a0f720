"""Sends that wait for a server which will certainly not respond any more."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from fuchsiatrack.kernel.metrics import Metrics

# A response that was sent just before its server was lost may still be on its way, after one
# retransmission.
RESPONSE_GRACE_MS = 250


@dataclasses.dataclass(eq=False)
class _Send:
    """A send in flight; `is_lost` and `end` are those of `SendWatch.watch`."""

    is_lost: Callable[[], bool]
    end: Callable[[], None]
    timer: asyncio.TimerHandle | None = None


class SendWatch:
    """Ends sends to servers that have been lost, so that their requests can go elsewhere.

    Answers the loss of servers that neither close their connections nor respond: without it each
    request that they hold waits for its deadline.  `check` is to be called after each change of
    what is known of servers.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # In the order in which they were sent.
        self._sends: dict[_Send, None] = {}

    @contextlib.contextmanager
    def watch(self, is_lost: Callable[[], bool], end: Callable[[], None]) -> Iterator[None]:
        """Call *end* once while in the context, if *is_lost* has become and stays true."""
        send = _Send(is_lost, end)
        self._sends[send] = None
        try:
            yield
        finally:
            del self._sends[send]
            if send.timer is not None:
                send.timer.cancel()

    def check(self) -> None:
        """Look which sends have been lost."""
        loop = asyncio.get_running_loop()
        for send in self._sends:
            if send.timer is None and send.is_lost():
                send.timer = loop.call_later(RESPONSE_GRACE_MS / 1_000, self._end, send)

    def _end(self, send: _Send) -> None:
        send.timer = None
        if send.is_lost():
            self._metrics.count("sends.lost")
            send.end()
