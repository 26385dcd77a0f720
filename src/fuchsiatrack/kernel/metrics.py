"""Counters, gauges and timers, sent by statsd."""

from __future__ import annotations

import abc

import statsd

from fuchsiatrack.kernel.settings import StatsdSettings


class Metrics(abc.ABC):
    """Takes measurements by name; never raises and never waits."""

    @abc.abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Add *by* to the counter *name*."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the gauge *name*."""

    @abc.abstractmethod
    def time(self, name: str, duration: float) -> None:
        """Record *duration*, in milliseconds, under *name*."""


class NullMetrics(Metrics):
    """Drops every measurement."""

    def count(self, name: str, by: int = 1) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass

    def time(self, name: str, duration: float) -> None:
        pass


class StatsdMetrics(Metrics):
    """Sends measurements to a statsd collector over UDP."""

    def __init__(self, settings: StatsdSettings) -> None:
        self._client = statsd.StatsClient(settings.address, settings.port, prefix="fuchsiatrack")

    def count(self, name: str, by: int = 1) -> None:
        self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        self._client.gauge(name, value)

    def time(self, name: str, duration: float) -> None:
        self._client.timing(name, duration)


def create(settings: StatsdSettings | None) -> Metrics:
    """Return the metrics that *settings* asks for."""
    return NullMetrics() if settings is None else StatsdMetrics(settings)
