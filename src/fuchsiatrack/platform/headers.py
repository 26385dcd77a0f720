"""Headers of requests and responses between callers, the router and backend servers."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping, Sequence

from multidict import CIMultiDict, CIMultiDictProxy

from fuchsiatrack.gateway.headers import (
    BadRequest,
    HeaderCodec,
    ReportedLimit,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
    forwardable_headers,
)

REQUEST_ID = "X-Request-Id"
# Milliseconds that the sender still waits: a duration, not a point in time.
DEADLINE = "X-Deadline-Ms"
# An integer from 0 to `LAST_KEY`.
KEY = "X-Shard-Key"
EXPECTED_SERVER = "X-Expect-Instance"
RESPONDING_SERVER = "X-Instance-Id"
# Signature of the backend server that ran the request.
SERVER_SIGNATURE = "X-Gateway-Stamp"
NOT_EXECUTED = "X-Not-Executed"
# Numbers of running requests, waiting requests and concurrency slots, separated by commas; a fourth
# figure is how long work takes on the machine now, in percent of what is usual.
LOAD = "X-Instance-Load"
# Requests per second that the server takes from all daemons together, while it sends the header.
LIMIT = "Server-Limit"
# "1" in every response of a server that leaves.
LEAVING = "Server-Leaving"
# Seconds for which a server that turned a request away wants nothing from this daemon.
RETRY_AFTER = "Retry-After"
# Milliseconds for which the server stays cold.
COLD = "X-Cold-Ms"
WRONG_SERVER_STATUS = 421
UNAVAILABLE_STATUS = 503
LAST_KEY = 65_535

_NATURAL = re.compile(r"[0-9]{1,9}")
_DECIMAL = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,40})?")


class PlatformHeaderCodec(HeaderCodec):
    """Codec of the headers that the platform's callers and backend servers use."""

    def parse_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        request_id = headers.get(REQUEST_ID, "")
        if not request_id:
            raise BadRequest(f"{REQUEST_ID}: missing")
        return RequestMetadata(request_id, _parse_number(headers, DEADLINE), _parse_key(headers))

    def request_headers(
        self, received: CIMultiDictProxy[str], time_left: int, server: str
    ) -> CIMultiDict[str]:
        headers = forwardable_headers(received)
        headers[DEADLINE] = str(time_left)
        headers[EXPECTED_SERVER] = server
        return headers

    def parse_response(self, status: int, headers: CIMultiDictProxy[str]) -> ResponseMetadata:
        misrouted = status == WRONG_SERVER_STATUS
        is_signed = SERVER_SIGNATURE in headers
        return ResponseMetadata(
            request_id=headers.get(REQUEST_ID, ""),
            has_server_signature=is_signed and "Content-Encoding" not in headers,
            not_executed=NOT_EXECUTED in headers or misrouted,
            misrouted=misrouted,
            responding_server=headers.get(RESPONDING_SERVER, ""),
            load=_parse_load(headers.get(LOAD, "")),
            states_load=LOAD in headers,
            limit=_parse_limit(headers.getall(LIMIT, ()), is_signed),
            leaving="1" in headers.getall(LEAVING, ()),
            backoff=_parse_backoff(status, headers.get(RETRY_AFTER, "")),
            cold_for=_parse_cold(headers.get(COLD, "")),
        )

    def response_headers(self, received: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        return forwardable_headers(received)

    def error_headers(self, request_id: str, retry_after_ms: int) -> dict[str, str]:
        headers = {REQUEST_ID: request_id} if request_id else {}
        if retry_after_ms:
            headers[RETRY_AFTER] = f"{retry_after_ms / 1_000:.3f}"
        return headers


def _parse_number(headers: Mapping[str, str], name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise BadRequest(f"{name}: expected a whole number (got {text[:40]!r})")
    return int(text)


def _parse_key(headers: Mapping[str, str]) -> int | None:
    key = _parse_number(headers, KEY)
    if key is not None and key > LAST_KEY:
        raise BadRequest(f"{KEY}: expected at most {LAST_KEY} (got {key})")
    return key


def _parse_load(text: str) -> ReportedLoad | None:
    """Return the load in *text*, None if it is malformed; figures after the fourth are ignored."""
    parts = [part.strip() for part in text.split(",")][:4]
    if len(parts) < 3 or not all(map(_NATURAL.fullmatch, parts)):
        return None
    running, waiting, slots, *percentages = map(int, parts)
    if 0 in percentages:
        return None
    return ReportedLoad(running, waiting, slots, *(item / 100 for item in percentages))


def _parse_limit(values: Sequence[str], is_signed: bool) -> ReportedLimit | None:
    """Return what the values of the limit header state.

    A malformed value states nothing.  A missing one states that there is no limit only if the
    server ran the request, since a rejection may lack the header.
    """
    if not values:
        return ReportedLimit(None) if is_signed else None
    if len(values) > 1 or not _DECIMAL.fullmatch(values[0]):
        return None
    return ReportedLimit(float(values[0]))


def _parse_cold(text: str) -> int | None:
    """Return for how many milliseconds the server stays cold, None unless it says so."""
    return math.ceil(float(text)) if _DECIMAL.fullmatch(text) else None


def _parse_backoff(status: int, text: str) -> int | None:
    """Return the time that a rejection asks for in milliseconds, None without a valid one."""
    if status != UNAVAILABLE_STATUS or not _DECIMAL.fullmatch(text):
        return None
    return math.ceil(float(text) * 1_000)
