"""Errors that end a request without a response from a server."""

from __future__ import annotations

import dataclasses
import enum

from aiohttp import web

from fuchsiatrack.kernel.verdict import REASON_HEADER, VERDICT_HEADER, Verdict


class ErrorReason(enum.Enum):
    """Why a request has no response from a server: the code on the wire and the HTTP status."""

    NO_TOKEN = ("no-token", 401)
    UNKNOWN_CALLER = ("unknown-caller", 401)
    FORBIDDEN = ("forbidden", 403)
    NO_SERVICE = ("no-service", 404)
    NO_KEY = ("no-key", 400)
    BAD_HEADER = ("bad-header", 400)
    TOO_LARGE = ("too-large", 413)
    RATE_LIMIT = ("rate-limit", 429)
    IN_FLIGHT_LIMIT = ("in-flight-limit", 429)
    NO_OWNER = ("no-owner", 503)
    NO_SERVER = ("no-server", 503)
    NOT_READY = ("not-ready", 503)
    SHED = ("shed", 503)
    ORDER_LOG_UNAVAILABLE = ("order-log-unavailable", 503)
    REPEATED_ORDER = ("repeated-order", 409)
    DEADLINE = ("deadline", 504)
    MOVED = ("moved", 503)
    WRONG_SERVER = ("address-of-another-server", 503)
    STALE_ROUTE = ("stale-choice", 503)
    CONNECTION = ("connection", 502)
    TRUNCATED = ("truncated-answer", 502)
    RESPONSE_MISMATCH = ("crossed-answer", 502)
    SLOW_CALLER = ("slow-caller", 408)
    SERVER_ERROR = ("server-error", 502)
    OVERLOADED = ("overloaded", 503)

    @property
    def code(self) -> str:
        """The value of the reason header and of the `reason` field."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the response for the caller."""
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
        """The HTTP status that is consistent with the verdict.

        408, 429 and 503 guarantee that the request never ran; 502 and 504 guarantee nothing.
        """
        if self.verdict is not Verdict.NOT_RUN:
            return 504 if self.reason is ErrorReason.DEADLINE else 502
        return 503 if self.reason.status >= 500 else self.reason.status

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
        return web.json_response(body, status=self.reason.status, headers=headers)
