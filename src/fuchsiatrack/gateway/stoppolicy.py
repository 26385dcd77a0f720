"""Decision whether a request is sent to a server while the daemon stops."""

from __future__ import annotations

import dataclasses

# The limits let as many requests wait at a server as it has slots.  A request may thus wait there
# for one service time before it runs for another.
MAX_SERVICE_TIMES = 2
# By so many deviations may the service time of a late request exceed the mean.
LATE_DEVIATIONS = 4


@dataclasses.dataclass(frozen=True)
class ServiceTime:
    """The mean and the standard deviation of a server's service times, in milliseconds."""

    mean: float
    deviation: float


@dataclasses.dataclass(frozen=True)
class StopDeadline:
    """The time `ends_at` at which a stop ends the requests in flight.

    Requests that arrive later than `notice_ends_at` are late: the load balancer knows of the stop
    by then, so that they can go elsewhere at once.  Times are of this daemon's clock, in
    milliseconds.
    """

    notice_ends_at: int
    ends_at: int

    def leaves_time_for(
        self, arrived_at: int, deadline: int, now: int, service_time: ServiceTime
    ) -> bool:
        """Return whether a request that is sent *now* can be expected to end before the stop.

        A late one, by the time *arrived_at*, must be almost certain to end.  *deadline* is that of
        the request, which needs no more time after it; *service_time* is that of its server.
        """
        if deadline <= self.ends_at:
            return True
        expected = MAX_SERVICE_TIMES * service_time.mean
        if arrived_at > self.notice_ends_at:
            expected += LATE_DEVIATIONS * service_time.deviation
        return now + expected <= self.ends_at
