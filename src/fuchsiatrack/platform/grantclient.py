"""The calls by which instances are given keys and give them back."""

from __future__ import annotations

import asyncio
import json

from multidict import CIMultiDict

from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.serverconnection import (
    ConnectFailed,
    OutgoingRequest,
    RequestFailed,
    ServerResponse,
)
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.platform.headers import EXPECTED_SERVER, WRONG_SERVER_STATUS
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
HANDOVER = "X-Handover"
# Kept connections older than this are opened anew, in milliseconds; instances close idle ones
# after a time that they announce.
IDLE_MAX = 4_000


class HttpRangeGrantClient(RangeGrantClient):
    """Sends grants and releases on kept connections."""

    def __init__(self, connections: ConnectionPool) -> None:
        self._connections = connections

    async def grant(self, server: ServerEntry, grant: RangeGrant, timeout: int) -> None:
        body = {
            "From": grant.first,
            "Target": grant.last,  # the last key, inclusive
            "fence": grant.fence,
            "Hold": f"{grant.duration}ms",
        }
        if grant.handover:
            body["Handover"] = grant.handover
        answer = await self._post(server, GRANT_PATH, body, timeout)
        if answer.status == 409:
            raise GrantRefused(f"{server.address}: greater fence than {grant.fence} seen")
        if answer.status != 200:
            raise OutcomeUnknown(f"{server.address}: grant answered {answer.status}")

    async def release(
        self, server: ServerEntry, first: int, last: int, fence: int, timeout: int
    ) -> str:
        body = {"From": first, "Target": last, "fence": fence}
        answer = await self._post(server, RELEASE_PATH, body, timeout)
        if answer.status != 200:
            raise OutcomeUnknown(f"{server.address}: release answered {answer.status}")
        return answer.headers.get(HANDOVER, "")

    async def can_reach(self, address: str, timeout: int) -> bool:
        try:
            connection = await self._connections.acquire(address, address, 0)
        except ConnectFailed:
            return False
        self._connections.release(address, address, connection)
        return True

    async def _post(
        self, server: ServerEntry, path: str, body: dict, timeout: int
    ) -> ServerResponse:
        address = server.address
        headers = CIMultiDict(
            {"Host": address, "Content-Type": "application/json", EXPECTED_SERVER: server.id}
        )
        outgoing = OutgoingRequest("POST", path, headers, json.dumps(body).encode())
        try:
            async with asyncio.timeout(timeout / 1_000):
                connection = await self._connections.acquire(address, address, IDLE_MAX)
                answer = await connection.send_request(outgoing)
        except ConnectFailed as error:
            raise NotDelivered(str(error)) from error
        except RequestFailed as error:
            known = error.verdict is Verdict.NOT_RUN
            raise (NotDelivered if known else OutcomeUnknown)(f"{address}: {error}") from error
        except TimeoutError as error:
            raise OutcomeUnknown(f"{address}: no answer in {timeout} ms") from error
        self._connections.release(address, address, connection)
        if answer.status == WRONG_SERVER_STATUS:
            raise WrongServer(f"{address}: another server than {server.id} answers")
        return answer
