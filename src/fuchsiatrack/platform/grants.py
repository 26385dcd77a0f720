"""The calls by which instances are given keys and give them back."""

from __future__ import annotations

import asyncio
import json

from multidict import CIMultiDict

from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.linkpool import LinkPool
from fuchsiatrack.gateway.serverlink import (
    ConnectFailed,
    ExchangeFailed,
    OutgoingRequest,
    ServerAnswer,
)
from fuchsiatrack.kernel.verdict import Verdict
from fuchsiatrack.platform.edge import EXPECTED_SERVER, WRONG_SERVER_STATUS
from fuchsiatrack.ranges.granting import (
    GrantRefused,
    NoAnswer,
    NotDelivered,
    OtherServer,
    RangeGrant,
    RangeGranter,
)

GRANT_PATH = "/-/grant"
RELEASE_PATH = "/-/release"
HANDOVER = "X-Handover"
# Kept connections older than this are opened anew, in milliseconds; instances close idle ones
# after a time that they announce.
IDLE_MAX = 4_000


class InstanceGranter(RangeGranter):
    """Sends grants and releases on kept connections."""

    def __init__(self, links: LinkPool) -> None:
        self._links = links

    async def grant(self, server: ServerEntry, grant: RangeGrant, timeout: int) -> None:
        body = {
            "From": grant.first,
            "Target": grant.last,  # the last key, inclusive
            "fence": grant.fence,
            "Hold": f"{grant.hold}ms",
        }
        if grant.handover:
            body["Handover"] = grant.handover
        answer = await self._post(server, GRANT_PATH, body, timeout)
        if answer.status == 409:
            raise GrantRefused(f"{server.address}: greater fence than {grant.fence} seen")
        if answer.status != 200:
            raise NoAnswer(f"{server.address}: grant answered {answer.status}")

    async def release(
        self, server: ServerEntry, first: int, last: int, fence: int, timeout: int
    ) -> str:
        body = {"From": first, "Target": last, "fence": fence}
        answer = await self._post(server, RELEASE_PATH, body, timeout)
        if answer.status != 200:
            raise NoAnswer(f"{server.address}: release answered {answer.status}")
        return answer.headers.get(HANDOVER, "")

    async def can_reach(self, address: str, timeout: int) -> bool:
        try:
            link = await self._links.take(address, address, 0)
        except ConnectFailed:
            return False
        self._links.give_back(address, address, link)
        return True

    async def _post(self, server: ServerEntry, path: str, body: dict, timeout: int) -> ServerAnswer:
        address = server.address
        headers = CIMultiDict(
            {"Host": address, "Content-Type": "application/json", EXPECTED_SERVER: server.id}
        )
        outgoing = OutgoingRequest("POST", path, headers, json.dumps(body).encode())
        try:
            async with asyncio.timeout(timeout / 1_000):
                link = await self._links.take(address, address, IDLE_MAX)
                answer = await link.exchange(outgoing)
        except ConnectFailed as error:
            raise NotDelivered(str(error)) from error
        except ExchangeFailed as error:
            known = error.verdict is Verdict.NOT_RUN
            raise (NotDelivered if known else NoAnswer)(f"{address}: {error}") from error
        except TimeoutError as error:
            raise NoAnswer(f"{address}: no answer in {timeout} ms") from error
        self._links.give_back(address, address, link)
        if answer.status == WRONG_SERVER_STATUS:
            raise OtherServer(f"{address}: another server than {server.id} answers")
        return answer
