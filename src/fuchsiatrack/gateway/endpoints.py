"""HTTP endpoints for readiness and metrics."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

from aiohttp import web

from fuchsiatrack.gateway.explanation import EXPLANATION_PATH, BadQuestion
from fuchsiatrack.gateway.settings import Endpoint
from fuchsiatrack.gateway.textmetrics import TextMetrics


class HttpEndpoint(abc.ABC):
    """A listener that responds the same way to every request."""

    def __init__(self) -> None:
        self._runner: web.ServerRunner | None = None

    @abc.abstractmethod
    def create_response(self) -> web.Response:
        """Return the current response."""

    async def start(self, endpoint: Endpoint) -> None:
        """Listen at *endpoint*."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, endpoint.host, endpoint.port).start()

    async def stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        return self.create_response()


class ReadinessEndpoint(HttpEndpoint):
    """Responds to the load balancer with 200 while *is_ready* returns true, else with 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._is_ready = is_ready

    def create_response(self) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)


class MetricsEndpoint(HttpEndpoint):
    """Serves the metrics, and explanations at `EXPLANATION_PATH`.

    *gauges* returns values that are read at each request.  *explain* returns the explanation for a
    query string as a JSON object, and raises BadQuestion if the query is malformed.
    """

    def __init__(
        self,
        metrics: TextMetrics,
        gauges: Callable[[], dict[str, float]],
        explain: Callable[[str], dict[str, Any]],
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._gauges = gauges
        self._explain = explain

    def create_response(self) -> web.Response:
        for name, value in self._gauges().items():
            self._metrics.gauge(name, value)
        return web.Response(text=self._metrics.render())

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        path, _, query = request.raw_path.partition("?")
        if path != EXPLANATION_PATH:
            return await super()._handle(request)
        try:
            return web.json_response(self._explain(query))
        except BadQuestion as error:
            return web.json_response({"field": error.field, "error": str(error)}, status=400)
