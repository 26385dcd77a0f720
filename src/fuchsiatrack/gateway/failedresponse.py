"""Response of a server that failed, while its request is sent again."""

from __future__ import annotations

import logging

from aiohttp import web

from fuchsiatrack.callers.responsememory import ResponseMemory, ResponseReceiver

log = logging.getLogger(__name__)


class FailedResponse(ResponseReceiver):
    """Keeps the latest such response, for a caller whose request no other server answers.

    It counts like one that is received, and may be discarded for those.
    """

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._response: web.Response | None = None

    def keep(self, response: web.Response) -> None:
        """Keep *response* instead of the one before."""
        self._memory.remove(self)
        self._response = response
        self._memory.add(self, len(response.body or b""))

    def take(self) -> web.Response | None:
        """Return the response, if any, which isn't kept any longer."""
        response, self._response = self._response, None
        self._memory.remove(self)
        return response

    def discard_response(self, reason: str) -> None:
        log.info("response of a failed server discarded", extra={"why": reason})
        self._response = None
