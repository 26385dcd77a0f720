"""Contract of the headers between callers, this daemon and backend servers."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy


class BadRequest(Exception):
    """A header that the daemon needs is missing or can't be read."""


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What a caller says of its request; `time_left` in milliseconds, `key` None without one."""

    request_id: str
    time_left: int | None
    key: int | None


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """What a server says of itself: requests that run and that wait, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """What a server's answer says besides its body.

    `not_executed` is the server's word that the request did not and will not run, `wrong_server`
    that another one should have got it: with `responding_server` the id of the server at this
    address, which is the expected one when it only doesn't hold the key.  `has_server_signature`
    tells whether the answer bears the server's mark.
    """

    request_id: str
    has_server_signature: bool
    not_executed: bool
    wrong_server: bool
    responding_server: str
    load: ReportedLoad | None


class HeaderCodec(abc.ABC):
    """Reads and writes the headers of one protocol."""

    @abc.abstractmethod
    def parse_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return the terms of a caller's request; raise BadRequest."""

    @abc.abstractmethod
    def request_headers(
        self, received: CIMultiDictProxy[str], time_left: int, server: str
    ) -> CIMultiDict[str]:
        """Return the headers to send on to *server* with *time_left* milliseconds to go."""

    @abc.abstractmethod
    def parse_response(self, status: int, headers: CIMultiDictProxy[str]) -> ResponseMetadata:
        """Return the terms of a server's answer."""

    @abc.abstractmethod
    def response_headers(self, received: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Return the headers of a server's answer that go to the caller."""

    @abc.abstractmethod
    def error_headers(self, request_id: str, retry_after: int) -> dict[str, str]:
        """Return the headers of an answer of the daemon's own.

        *retry_after* is in milliseconds, 0 for none.
        """


# Headers that concern one connection only.
HOP_BY_HOP_HEADERS = frozenset(
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


def strip_hop_by_hop(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return *headers* without those that concern one connection only."""
    connection_options = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    excluded = HOP_BY_HOP_HEADERS | connection_options
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in excluded
    )
