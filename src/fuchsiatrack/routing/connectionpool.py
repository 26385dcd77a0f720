"""Connections to backend servers, and one send of a request over one of them.

A connection carries one request at a time and is reused only after a complete response that
matches its request.  Each request that is not idempotent gets a new connection, because the peer
of an idle one may have become unresponsive.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import socket
from collections.abc import AsyncIterator, Callable, Mapping

import aiohttp

from fuchsiatrack.callers.kernelstate import count_unacknowledged
from fuchsiatrack.kernel.verdict import REASON_HEADER, VERDICT_HEADER, Verdict
from fuchsiatrack.routing import headers
from fuchsiatrack.routing.errors import ErrorReason
from fuchsiatrack.routing.responses import ends_with_connection

IDLE_MAX_S = 10.0
MIN_STATUS, MAX_STATUS = 100, 599
# Connections of each server that are reserved for grants by the current and the previous leader.
RESERVED_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 1.0
# The kernel closes a connection whose sent bytes stay unacknowledged for this long.
UNACKNOWLEDGED_MAX_MS = 5_000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 3
# Of each connection; the kernel doubles it.
RECEIVE_BUFFER_BYTES = 65_536

log = logging.getLogger(__name__)


@dataclasses.dataclass
class _Progress:
    """Whether the send got a connection, after which bytes may have been sent.

    `is_reused` tells whether the connection had carried an earlier request.
    """

    connected: bool = False
    is_reused: bool = False


@dataclasses.dataclass(frozen=True)
class Target:
    """The server that a request is sent to.

    `max_connections` is the server's connection limit, which all daemons share.  `partition` and
    `fence` are "" and 0 in a service that is not keyed.
    """

    server: str
    address: str
    max_connections: int
    partition: str = ""
    fence: int = 0
    checks_grants: bool = True


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """One send of a request; `timeout_ms` is the time left until its deadline.

    `send_id` is unique for each send.  `on_timeout_created` is called with the timeout of the send;
    rescheduling that timeout ends the send early.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    send_id: str
    idempotent: bool
    timeout_ms: int
    on_timeout_created: Callable[[asyncio.Timeout], None]


@dataclasses.dataclass(frozen=True)
class SendFailure:
    """A send that brought no usable response."""

    verdict: Verdict
    reason: ErrorReason


@dataclasses.dataclass(frozen=True)
class ResponseReceived:
    """A response whose head has been received; `response` must be read to its end or closed."""

    response: aiohttp.ClientResponse


class BackendConnectionPool:
    """This daemon's connections to servers; *max_daemons* daemons share each server's limit."""

    def __init__(self, max_daemons: int) -> None:
        self._max_daemons = max_daemons
        self._sessions: dict[tuple[int, bool], aiohttp.ClientSession] = {}

    async def send(
        self, target: Target, outgoing: OutgoingRequest
    ) -> ResponseReceived | SendFailure:
        """Send a request and wait for the head of its response, until its deadline."""
        progress = _Progress()
        try:
            async with asyncio.timeout(outgoing.timeout_ms / 1_000) as timeout:
                outgoing.on_timeout_created(timeout)
                response = await self._request(target, outgoing, progress)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return _classify_error(error, progress)
        return _check_response(response, outgoing, progress)

    def connection_limits(self, max_connections: int) -> tuple[int, int]:
        """Return this daemon's connection limits for idempotent requests and for all others.

        *max_connections* is the server's limit, which all daemons share.  It is not exceeded if it
        allows two connections for each daemon in addition to the reserved ones.
        """
        share = max(2, (max_connections - RESERVED_CONNECTIONS) // self._max_daemons)
        single_use = max(1, share // 3)
        return share - single_use, single_use

    async def close(self) -> None:
        """Close every connection."""
        for session in self._sessions.values():
            await session.close()

    async def _request(
        self, target: Target, outgoing: OutgoingRequest, progress: _Progress
    ) -> aiohttp.ClientResponse:
        session = self._session(target.max_connections, outgoing.idempotent)
        return await session.request(
            outgoing.method,
            f"http://{target.address}{outgoing.path}",
            headers=outgoing.headers,
            data=outgoing.body,
            allow_redirects=False,
            trace_request_ctx=progress,
        )

    def _session(self, max_connections: int, reuse: bool) -> aiohttp.ClientSession:
        """Return the session for servers with this connection limit.

        Only sessions with *reuse*, for idempotent requests, keep connections open.
        """
        found = self._sessions.get((max_connections, reuse))
        if found is None:
            reusable, single_use = self.connection_limits(max_connections)
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=reusable if reuse else single_use,
                force_close=not reuse,
                socket_factory=_create_socket,
                **({"keepalive_timeout": IDLE_MAX_S} if reuse else {}),
            )
            found = self._sessions[(max_connections, reuse)] = aiohttp.ClientSession(
                connector=connector,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept", "Content-Type"),
                trace_configs=[_trace()],
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return found


def _create_socket(info: tuple) -> socket.socket:
    family, socket_type, protocol, _, _ = info
    created = socket.socket(family, socket_type, protocol)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)
    return created


def _trace() -> aiohttp.TraceConfig:
    async def set_connected(session: object, context: object, params: object) -> None:
        context.trace_request_ctx.connected = True  # type: ignore[attr-defined]

    async def set_reused(session: object, context: object, params: object) -> None:
        context.trace_request_ctx.connected = True  # type: ignore[attr-defined]
        context.trace_request_ctx.is_reused = True  # type: ignore[attr-defined]

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(set_connected)
    trace.on_connection_reuseconn.append(set_reused)
    return trace


def _classify_error(error: BaseException, progress: _Progress) -> SendFailure:
    reason = ErrorReason.DEADLINE if isinstance(error, TimeoutError) else ErrorReason.CONNECTION
    verdict = Verdict.MAY_HAVE_RUN if progress.connected else Verdict.NOT_RUN
    return SendFailure(verdict, reason)


def _may_hide_reset(response: aiohttp.ClientResponse, outgoing: OutgoingRequest) -> bool:
    """Return whether *response*, which ends with its connection, may be a part of one.

    A server that closes before it has read the request resets the connection.
    """
    if not outgoing.body or not ends_with_connection(response):
        return False
    connection = response.connection
    return connection is None or count_unacknowledged(connection.transport) > 0


def _check_response(
    response: aiohttp.ClientResponse, outgoing: OutgoingRequest, progress: _Progress
) -> ResponseReceived | SendFailure:
    if not MIN_STATUS <= response.status <= MAX_STATUS or _may_hide_reset(response, outgoing):
        response.close()
        return SendFailure(Verdict.MAY_HAVE_RUN, ErrorReason.TRUNCATED)
    send_id = response.headers.get(headers.REQUEST_ID, "")
    is_rejection = response.headers.get(VERDICT_HEADER) == Verdict.NOT_RUN.value
    # Without an id it may be a second copy of the rejection of an earlier request.
    is_proof = send_id == outgoing.send_id or not (send_id or progress.is_reused)
    if is_rejection and is_proof:
        reason = response.headers.get(REASON_HEADER, "")
        response.release()
        # "fence": the server holds no grant that covers the request.
        return SendFailure(
            Verdict.NOT_RUN, ErrorReason.NO_OWNER if reason == "fence" else ErrorReason.SHED
        )
    if is_rejection or send_id != outgoing.send_id:
        response.close()
        return SendFailure(Verdict.MAY_HAVE_RUN, ErrorReason.RESPONSE_MISMATCH)
    return ResponseReceived(response)
