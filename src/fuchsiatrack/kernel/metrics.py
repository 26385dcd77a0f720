"""Counters, gauges and timers."""

from __future__ import annotations

import abc


class Metrics(abc.ABC):
    """Sink of measurements by name; its methods never raise and never block."""

    @abc.abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Add *by* to the counter *name*."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the gauge *name* to *value*."""

    @abc.abstractmethod
    def time(self, name: str, duration: float) -> None:
        """Record *duration*, in milliseconds, under *name*."""


class NullMetrics(Metrics):
    """Sink that discards every measurement."""

    def count(self, name: str, by: int = 1) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass

    def time(self, name: str, duration: float) -> None:
        pass
