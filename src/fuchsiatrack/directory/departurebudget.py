"""How long requests may still be sent to a server that has left or is leaving."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.control.compactedlog import ReadContext
from fuchsiatrack.control.readdelay import READ_RESPONSE_MS

# Running servers register again within about 2 s after the log service comes back.
RELIST_TIMEOUT_MS = 2_200
# Share of the drain time by which a daemon may delay its next read of the directory.
READ_PAUSE_RATIO = 0.25
# From the last check of a server's entry to the arrival of the request, on an open connection.
SEND_DELAY_MS = 250


@dataclasses.dataclass(frozen=True)
class DepartureBudget:
    """Divides the time that the platform allows among the delays of a daemon; all in milliseconds.

    `drain` is the time from the acknowledgement of a server's leaving by the log service to the
    last request that may arrive there.  After an interruption of its reads, a daemon has to keep
    it again once the log service has been available to it for `contact`.
    """

    drain: int
    contact: int

    @property
    def read_pause(self) -> int:
        """Longest pause between reads of the directory."""
        return int(self.drain * READ_PAUSE_RATIO)

    @property
    def send_time(self) -> int:
        """How long requests may be sent to a server after its leaving was read."""
        delays = self.read_pause + READ_RESPONSE_MS + SEND_DELAY_MS
        return max(0, self.drain - delays)

    def drain_deadline(self, context: ReadContext, now: int) -> int:
        """Return until when a server may get requests that was just read to be draining."""
        deadline = now + self.send_time
        if not context.is_backlog:
            return deadline
        delays = READ_RESPONSE_MS + SEND_DELAY_MS
        return min(deadline, context.caught_up_at + self.drain - delays)

    def relist_deadline(self, context: ReadContext, now: int) -> int:
        """Return until when a server that is not listed any more may be about to register again.

        An entry that was removed during an outage of the log service may belong to a running
        server.  One removed later rarely does, and its server may have left only now.
        """
        if context.is_restored:
            # The server may have registered after the copy.
            return now + min(RELIST_TIMEOUT_MS, max(0, self.contact - SEND_DELAY_MS))
        outage = context.outage
        if outage is None:
            return now
        deadline = min(
            outage.ended_at + RELIST_TIMEOUT_MS,
            outage.unavailable_at + self.contact - SEND_DELAY_MS,
        )
        return deadline if context.is_backlog else min(deadline, now + self.send_time)
