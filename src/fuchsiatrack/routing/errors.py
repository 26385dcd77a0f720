"""Errors that end a request without a response from a server."""

from __future__ import annotations

import dataclasses
import enum

from aiohttp import web

from fuchsiatrack.kernel.verdict import REASON_HEADER, VERDICT_HEADER, Verdict


class ErrorReason(enum.Enum):
    """Why a request has no response from a server: its code on the wire and its default status."""

    NO_TOKEN = ("no-token", 401)
    UNKNOWN_CALLER = ("unknown-caller", 401)
    FORBIDDEN = ("forbidden", 403)
    NO_SERVICE = ("no-service", 404)
    # In `fuchsiatrackd` also for a key that is too long.
    NO_KEY = ("no-key", 400)
    BAD_HEADER = ("bad-header", 400)
    # The body is not in the chunks that its head announces.
    BAD_BODY = ("malformed-body", 400)
    TOO_LARGE = ("too-large", 413)
    RATE_LIMIT = ("rate-limit", 429)
    IN_FLIGHT_LIMIT = ("in-flight-limit", 429)
    # The key has no owner in time, or the server holds no grant for the fence of the request.
    NO_OWNER = ("no-owner", 503)
    # The service has no server that may be selected.
    NO_SERVER = ("no-server", 503)
    # The configuration in force has no valid definition of the route.
    BAD_ROUTE = ("malformed-route", 503)
    # The daemon, or its part for the service, is not ready.
    NOT_READY = ("not-ready", 503)
    # The server rejected the request without running it.
    SHED = ("shed", 503)
    # The order could not be recorded in the log in time.
    ORDER_LOG_UNAVAILABLE = ("order-log-unavailable", 503)
    # The order's id was used before.
    REPEATED_ORDER = ("repeated-order", 409)
    DEADLINE = ("deadline", 504)
    # The daemon stops, and the request can't end before that.
    STOPPING = ("stopping", 503)
    # The key was reassigned during the send, or the server rejected the request as not its own.
    MOVED = ("moved", 503)
    # Another server responded at the address.
    WRONG_SERVER = ("address-of-another-server", 503)
    # The selected server became unsuitable before the send; nothing was sent.
    STALE_ROUTE = ("stale-choice", 503)
    # The connection could not be opened, or it failed.
    CONNECTION = ("connection", 502)
    # The response broke off or, in `gateway`, has no server signature.
    TRUNCATED = ("truncated-answer", 502)
    # The response's request id is not that of the request.
    RESPONSE_MISMATCH = ("crossed-answer", 502)
    # The caller closed its connection; nobody gets the response.
    CALLER_LEFT = ("caller-left", 503)
    # The caller stopped sending the body.
    SLOW_CALLER = ("slow-caller", 408)
    # The server's status is 5xx and another server may be tried, or it is 408, 421, 429 or 503,
    # which states that the request did not run, although it may have run.
    SERVER_ERROR = ("server-error", 502)
    # The request would miss its deadline in the queue of `gateway` for the server, or the bodies of
    # other requests take all the memory for bodies.
    OVERLOADED = ("overloaded", 503)
    # The server turned a request away and named a time for which it wants no further one.
    SERVER_BACKOFF = ("server-backoff", 503)
    # The budget that all daemons share leaves no retry now.
    RETRY_BUDGET = ("retry-budget", 503)
    # The server limits the requests of all daemons together, and there is no room within its limit.
    SERVER_LIMIT = ("server-limit", 503)

    @property
    def code(self) -> str:
        """The value of the reason header and of the `reason` field."""
        return self.value[0]

    @property
    def default_status(self) -> int:
        """The HTTP status of `RequestError.to_response`, whatever the verdict is."""
        return self.value[1]


@dataclasses.dataclass(eq=False)
class RequestError(Exception):
    """A request that ends without a server's response.

    `verdict` is what is known about its execution.  `retry_after_ms` is in milliseconds, 0 for
    none.
    """

    reason: ErrorReason
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_ms: int = 0

    @property
    def final_status(self) -> int:
        """The HTTP status that is consistent with the verdict; `gateway` responds with it.

        408, 429 and 503 guarantee that the request never ran; 502 and 504 guarantee nothing.
        """
        if self.verdict is not Verdict.NOT_RUN:
            return 504 if self.reason in TIMEOUT_REASONS else 502
        return 503 if self.reason.default_status >= 500 else self.reason.default_status

    def to_response(self, request_id: str) -> web.Response:
        """Return the response for the caller, as documented in docs/PROTOCOL.md."""
        headers = {VERDICT_HEADER: self.verdict.value, REASON_HEADER: self.reason.code}
        if self.retry_after_ms:
            headers["Retry-After"] = str(-(-self.retry_after_ms // 1000))
        body = {
            "verdict": self.verdict.value,
            "reason": self.reason.code,
            "request_id": request_id,
        }
        return web.json_response(body, status=self.reason.default_status, headers=headers)


# Reasons for which a request ends before a server has responded.
TIMEOUT_REASONS = frozenset((ErrorReason.DEADLINE, ErrorReason.STOPPING))
