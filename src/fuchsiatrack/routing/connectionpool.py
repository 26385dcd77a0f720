"""Connections to backend servers, and one attempt of a request on one of them.

A connection carries one request at a time and is used again only after a whole answer that
matches its request.  Requests that are not idempotent get a connection of their own, so that
none goes onto one that was idle and may have gone silent.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import socket
from collections.abc import AsyncIterator, Callable, Mapping

import aiohttp

from fuchsiatrack.kernel.verdict import REASON_HEADER, VERDICT_HEADER, Verdict
from fuchsiatrack.routing import headers
from fuchsiatrack.routing.errors import ErrorReason

IDLE_MAX_S = 10.0
# Connections of a server that are left for grants, from a leader and from the one before it.
RESERVED_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 1.0
# Time after which unacknowledged bytes break a connection, in milliseconds.
UNACKNOWLEDGED_MAX = 5_000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 3

log = logging.getLogger(__name__)


@dataclasses.dataclass
class _Progress:
    """Whether a connection was had, so that bytes may have been sent."""

    connected: bool = False


@dataclasses.dataclass(frozen=True)
class Target:
    """Where a request goes; `partition` and `fence` are empty in a service without keys."""

    server: str
    address: str
    connections: int
    partition: str = ""
    fence: int = 0
    checks_grants: bool = True


@dataclasses.dataclass(frozen=True)
class Sending:
    """One request as it is sent; `deadline_ms` is the time left.

    `watch` is called with the scope of the attempt, and may end it early by rescheduling it.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    identity: str
    idempotent: bool
    deadline_ms: int
    watch: Callable[[asyncio.Timeout], None]


@dataclasses.dataclass(frozen=True)
class Failed:
    """An attempt without an answer."""

    verdict: Verdict
    reason: ErrorReason


@dataclasses.dataclass(frozen=True)
class Answered:
    """An answer whose head has arrived; `response` must be read to its end or closed."""

    response: aiohttp.ClientResponse


class BackendConnectionPool:
    """The connections of this daemon; *max_daemons* daemons share each server's limit."""

    def __init__(self, max_daemons: int) -> None:
        self._max_daemons = max_daemons
        self._sessions: dict[tuple[int, bool], aiohttp.ClientSession] = {}

    async def send(self, target: Target, sending: Sending) -> Answered | Failed:
        """Send a request and wait for the head of its answer, until its deadline."""
        progress = _Progress()
        try:
            async with asyncio.timeout(sending.deadline_ms / 1_000) as scope:
                sending.watch(scope)
                response = await self._request(target, sending, progress)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return _explain(error, progress)
        return _examine(response, sending)

    def connection_limits(self, connections: int) -> tuple[int, int]:
        """Return this daemon's connections to a server, for reads and for orders.

        The server's limit holds as long as it allows two for each daemon and the reserve.
        """
        share = max(2, (connections - RESERVED_CONNECTIONS) // self._max_daemons)
        orders = max(1, share // 3)
        return share - orders, orders

    async def close(self) -> None:
        """Close every connection."""
        for session in self._sessions.values():
            await session.close()

    async def _request(
        self, target: Target, sending: Sending, progress: _Progress
    ) -> aiohttp.ClientResponse:
        session = self._session(target.connections, sending.idempotent)
        return await session.request(
            sending.method,
            f"http://{target.address}{sending.path}",
            headers=sending.headers,
            data=sending.body,
            allow_redirects=False,
            trace_request_ctx=progress,
        )

    def _session(self, connections: int, reuse: bool) -> aiohttp.ClientSession:
        """Return the session for servers with this connection limit.

        Reads keep their connections.
        """
        found = self._sessions.get((connections, reuse))
        if found is None:
            reads, orders = self.connection_limits(connections)
            connector = aiohttp.TCPConnector(
                limit=0,
                limit_per_host=reads if reuse else orders,
                force_close=not reuse,
                socket_factory=_create_socket,
                **({"keepalive_timeout": IDLE_MAX_S} if reuse else {}),
            )
            found = self._sessions[(connections, reuse)] = aiohttp.ClientSession(
                connector=connector,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept", "Content-Type"),
                trace_configs=[_trace()],
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return found


def _create_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX)
    return created


def _trace() -> aiohttp.TraceConfig:
    async def note_connection(session: object, context: object, params: object) -> None:
        context.trace_request_ctx.connected = True  # type: ignore[attr-defined]

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(note_connection)
    trace.on_connection_reuseconn.append(note_connection)
    return trace


def _explain(error: BaseException, progress: _Progress) -> Failed:
    reason = ErrorReason.DEADLINE if isinstance(error, TimeoutError) else ErrorReason.CONNECTION
    verdict = Verdict.MAY_HAVE_RUN if progress.connected else Verdict.NOT_RUN
    return Failed(verdict, reason)


def _examine(response: aiohttp.ClientResponse, sending: Sending) -> Answered | Failed:
    if response.headers.get(VERDICT_HEADER) == Verdict.NOT_RUN.value:
        reason = response.headers.get(REASON_HEADER, "")
        response.release()
        return Failed(
            Verdict.NOT_RUN, ErrorReason.NO_OWNER if reason == "fence" else ErrorReason.SHED
        )
    if response.headers.get(headers.REQUEST_ID) != sending.identity:
        response.close()
        return Failed(Verdict.MAY_HAVE_RUN, ErrorReason.RESPONSE_MISMATCH)
    return Answered(response)
