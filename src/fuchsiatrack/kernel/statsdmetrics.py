"""Metrics sent to a statsd collector."""

from __future__ import annotations

import statsd

from fuchsiatrack.kernel.metrics import Metrics, NullMetrics
from fuchsiatrack.kernel.settings import StatsdSettings


class StatsdMetrics(Metrics):
    """Sink that sends measurements to a statsd collector over UDP."""

    def __init__(self, settings: StatsdSettings) -> None:
        self._client = statsd.StatsClient(settings.address, settings.port, prefix="fuchsiatrack")

    def count(self, name: str, by: int = 1) -> None:
        self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        self._client.gauge(name, value)

    def time(self, name: str, duration: float) -> None:
        self._client.timing(name, duration)


def create(settings: StatsdSettings | None) -> Metrics:
    """Return metrics for the collector in *settings*, or a sink that discards them if None."""
    return NullMetrics() if settings is None else StatsdMetrics(settings)
