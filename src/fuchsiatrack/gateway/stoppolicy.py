"""Decision whether a request is sent to a server while the daemon stops."""

from __future__ import annotations

import dataclasses

# The limits let as many requests wait at a server as it has slots.  A request may thus wait there
# for one service time before it runs for another.
MAX_SERVICE_TIMES = 2


@dataclasses.dataclass(frozen=True)
class StopDeadline:
    """The time `ends_at` at which a stop ends the requests in flight.

    Times are of this daemon's clock, in milliseconds.
    """

    ends_at: int

    def leaves_time_for(self, deadline: int, now: int, service_time: float) -> bool:
        """Return whether a request that is sent *now* can be expected to end before the stop.

        *deadline* is that of the request, which needs no more time after it; *service_time* is the
        mean of its server.
        """
        if deadline <= self.ends_at:
            return True
        return now + MAX_SERVICE_TIMES * service_time <= self.ends_at
