"""Client of the calls that grant key ranges to backend servers and release them."""

from __future__ import annotations

import asyncio
import json
import secrets

from multidict import CIMultiDict

from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.serverconnection import (
    ConnectFailed,
    OutgoingRequest,
    RequestFailed,
    ServerResponse,
)
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.trafficcounter import TrafficCounter, TrafficPurpose
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.platform.headers import (
    EXPECTED_SERVER,
    REQUEST_ID,
    RESPONDING_SERVER,
    WRONG_SERVER_STATUS,
)
from fuchsiatrack.ranges.grantclient import (
    GrantRefused,
    NotDelivered,
    OutcomeUnknown,
    RangeGrant,
    RangeGrantClient,
    WrongServer,
)

GRANT_PATH = "/-/grant"
RELEASE_PATH = "/-/release"
HANDOVER_HEADER = "X-Handover"
# Grants and releases reuse only connections idle for less than this: backend servers close idle
# connections after the timeout in their Keep-Alive header, which the pool observes as well.
GRANT_MAX_IDLE_MS = 4_000
# A release always opens a connection: responses carry no id, and a second copy of an earlier one
# would state that the server has given up the keys.
RELEASE_MAX_IDLE_MS = 0
# Responses to grants and releases have no body that anything reads.
MAX_GRANT_RESPONSE_BYTES = 65_536
REQUEST_ID_BYTES = 8


class HttpRangeGrantClient(RangeGrantClient):
    """Client that sends grants and releases over HTTP on pooled connections."""

    def __init__(self, connections: ConnectionPool, traffic: TrafficCounter, clock: Clock) -> None:
        self._connections = connections
        self._traffic = traffic
        self._clock = clock

    async def grant(self, server: ServerEntry, grant: RangeGrant, timeout: int) -> None:
        body = {
            "From": grant.first,
            "Target": grant.last,  # inclusive
            "fence": grant.fence,
            "Hold": f"{grant.duration}ms",
        }
        if grant.handover:
            body["Handover"] = grant.handover
        response = await self._post(server, GRANT_PATH, body, timeout, GRANT_MAX_IDLE_MS)
        if response.status == 409:
            raise GrantRefused(
                f"{server.address}: server has seen a fence greater than {grant.fence}"
            )
        if response.status != 200:
            raise OutcomeUnknown(f"{server.address}: grant returned status {response.status}")

    async def release(
        self, server: ServerEntry, first: int, last: int, fence: int, timeout: int
    ) -> str:
        body = {"From": first, "Target": last, "fence": fence}
        response = await self._post(server, RELEASE_PATH, body, timeout, RELEASE_MAX_IDLE_MS)
        if response.status != 200:
            raise OutcomeUnknown(f"{server.address}: release returned status {response.status}")
        return response.headers.get(HANDOVER_HEADER, "")

    async def can_reach(self, address: str, timeout: int) -> bool:
        try:
            # 0 always opens a new connection.
            connection = await self._connections.acquire(address, address, 0)
        except ConnectFailed:
            return False
        self._connections.release(address, address, connection)
        return True

    async def _post(
        self, server: ServerEntry, path: str, body: dict, timeout: int, max_idle: int
    ) -> ServerResponse:
        address = server.address
        headers = CIMultiDict(
            {
                "Host": address,
                "Content-Type": "application/json",
                # A server that owns no keys says that it is another one only to a request with an
                # id.
                REQUEST_ID: secrets.token_hex(REQUEST_ID_BYTES),
                EXPECTED_SERVER: server.id,
            }
        )
        request = OutgoingRequest(
            "POST", path, headers, json.dumps(body).encode(), MAX_GRANT_RESPONSE_BYTES
        )
        connection = None
        send_by = self._clock.now() + timeout
        try:
            async with asyncio.timeout(timeout / 1_000):
                connection = await self._connections.acquire(address, address, max_idle)
                connection.limit_delivery(timeout)
                # The timeout doesn't count the time for which this machine was suspended.
                if self._clock.now() >= send_by:
                    self._connections.release(address, address, connection)
                    raise NotDelivered(f"{address}: no connection within {timeout} ms")
                response = await connection.send_request(request)
        except ConnectFailed as error:
            raise NotDelivered(str(error)) from error
        except RequestFailed as error:
            not_delivered = error.verdict is Verdict.NOT_RUN
            raise (NotDelivered if not_delivered else OutcomeUnknown)(
                f"{address}: {error}"
            ) from error
        except TimeoutError as error:
            if connection is None:
                raise NotDelivered(f"{address}: no connection within {timeout} ms") from error
            raise OutcomeUnknown(f"{address}: no response within {timeout} ms") from error
        self._traffic.add(
            TrafficPurpose.GRANT,
            server.failure_domain,
            connection.bytes_sent,
            connection.bytes_received,
        )
        if response.status == WRONG_SERVER_STATUS:
            # A second copy of it would state that the next grant was not delivered.
            connection.abort()
            responding_server = response.headers.get(RESPONDING_SERVER, "")
            raise WrongServer(
                f"{address}: response from a server other than {server.id}",
                # Whoever answers on an older connection may not have the address any more.
                names_other=not connection.is_reused and responding_server not in ("", server.id),
            )
        self._connections.release(address, address, connection)
        return response
