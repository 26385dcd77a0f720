"""Decision whether and when a request is sent again after a send without a usable response."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.routing.errors import ErrorReason

# Limit on the sends of one request to all servers together.
MAX_SENDS = 6
# Limit on the connections that can't be opened for one request.
MAX_FAILED_CONNECTS = 4
# Limit on how often queues of this daemon have no room in time for one request.
MAX_OVERLOADED_QUEUES = 3
# Delay before a retry at another server, multiplied by the number of sends so far.
OTHER_SERVER_DELAY_MS = 4
# Delay after the first failed connect to the only possible server; it doubles with each one.
RECONNECT_DELAY_MS = 20
# Reasons that hold for every server.
FINAL_REASONS = frozenset((ErrorReason.RETRY_BUDGET, ErrorReason.CALLER_LEFT, ErrorReason.STOPPING))


@dataclasses.dataclass(frozen=True)
class FailedSend:
    """A send without a usable response; times are in milliseconds.

    `is_only_server` tells whether a retry would go to the same server, for example as the owner of
    the request's key, with the given `slots` and mean `service_time`.  `overloaded_queues` counts
    the queues that rejected the request, which was not sent then.
    """

    reason: ErrorReason
    verdict: Verdict
    is_idempotent: bool
    can_resend: bool
    is_only_server: bool
    sends: int
    failed_connects: int
    overloaded_queues: int
    slots: int
    service_time: float
    time_left: int


def retry_delay(failed_send: FailedSend) -> int | None:
    """Return the delay before the next send in milliseconds, None if there must be none.

    A server that has rejected a request gets it again only once one of its running requests is
    likely to have ended, and only if the caller is then still served: during an overload, retries
    at once are most of a server's rejections and take the turns of others.
    """
    if not (failed_send.verdict.is_safe_to_retry or failed_send.is_idempotent):
        return None
    if not failed_send.can_resend or failed_send.sends >= MAX_SENDS:
        return None
    if failed_send.reason in FINAL_REASONS:
        return None
    if failed_send.failed_connects >= MAX_FAILED_CONNECTS:
        return None
    if failed_send.reason in (ErrorReason.STALE_ROUTE, ErrorReason.MOVED):
        return 0
    if failed_send.reason is ErrorReason.OVERLOADED:
        # Nothing was sent.  Another queue may be shorter; the only one now admits the request until
        # its deadline, if it has waited for its objective.
        return 0 if failed_send.overloaded_queues < MAX_OVERLOADED_QUEUES else None
    if failed_send.reason in (ErrorReason.SERVER_LIMIT, ErrorReason.SERVER_BACKOFF):
        # Nothing was sent, and another server may have room.
        return None if failed_send.is_only_server else 0
    if not failed_send.is_only_server:
        return OTHER_SERVER_DELAY_MS * failed_send.sends
    return _delay_at_same_server(failed_send)


def _delay_at_same_server(failed_send: FailedSend) -> int | None:
    if failed_send.failed_connects:
        delay = RECONNECT_DELAY_MS * 2 ** (failed_send.failed_connects - 1)
    elif failed_send.reason is ErrorReason.SHED:
        delay = int(failed_send.service_time / max(1, failed_send.slots))
    else:
        delay = OTHER_SERVER_DELAY_MS * failed_send.sends
    return delay if delay + failed_send.service_time < failed_send.time_left else None
