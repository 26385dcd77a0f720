"""Interface for the headers between callers, this daemon and backend servers."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy


class BadRequest(Exception):
    """A required header is missing or malformed."""


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """Metadata from the headers of a caller's request.

    `time_left` is in milliseconds; it and `key` are None if the caller sent none.
    """

    request_id: str
    time_left: int | None
    key: int | None


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """Load reported by a server: running and waiting requests, and `slots`.

    `slots` is how many requests the server processes at once.  `slowdown` is how long work takes on
    its machine at that moment, as a multiple of what is usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True)
class ReportedLimit:
    """Requests per second that a server takes from all daemons together; None if any number."""

    rate: float | None


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """Metadata from the headers of a server's response.

    `not_executed` means that the request did not and will not run.  `misrouted` means that the
    server rejected it because it belongs to another one; `responding_server` is then the id of the
    server at this address, which is the expected one if it merely doesn't own the key.
    `has_server_signature` tells whether the response carries the server's signature.  `limit` is
    None if the response doesn't tell whether the server sets a limit.  `leaving` tells whether the
    server says that it leaves.  `backoff` is for how many milliseconds a server that turned the
    request away wants no further one from this daemon, None if it doesn't say.  `states_load` tells
    whether the response states a load, also if it is malformed, so that `load` is None.  `cold_for`
    is for how many milliseconds the server stays cold, None if it doesn't say.
    """

    request_id: str
    has_server_signature: bool
    not_executed: bool
    misrouted: bool
    responding_server: str
    load: ReportedLoad | None
    limit: ReportedLimit | None
    leaving: bool = False
    backoff: int | None = None
    states_load: bool = False
    cold_for: int | None = None


class HeaderCodec(abc.ABC):
    """Parses and creates the headers of one protocol."""

    @abc.abstractmethod
    def parse_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return the metadata of a caller's request; raise BadRequest if it is malformed."""

    @abc.abstractmethod
    def request_headers(
        self, received: CIMultiDictProxy[str], time_left: int, server: str
    ) -> CIMultiDict[str]:
        """Return the headers to forward to *server*, with *time_left* milliseconds left."""

    @abc.abstractmethod
    def parse_response(self, status: int, headers: CIMultiDictProxy[str]) -> ResponseMetadata:
        """Return the metadata of a server's response."""

    @abc.abstractmethod
    def response_headers(self, received: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Return the headers of a server's response that are forwarded to the caller."""

    @abc.abstractmethod
    def error_headers(self, request_id: str, retry_after_ms: int) -> dict[str, str]:
        """Return the headers of an error response that this daemon creates.

        *retry_after_ms* is in milliseconds; 0 omits the header.
        """


# Headers that are not forwarded: those that apply to a single connection, and those that this
# daemon creates or handles itself.
NOT_FORWARDED_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)


def forwardable_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return *headers* without those in `NOT_FORWARDED_HEADERS` or listed in Connection."""
    connection_options = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    excluded = NOT_FORWARDED_HEADERS | connection_options
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in excluded
    )
