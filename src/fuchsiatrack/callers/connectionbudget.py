"""Bounds on what the connections of callers take together, against crowds of hostile callers."""

from __future__ import annotations

import abc
import dataclasses
import heapq
import logging

from fuchsiatrack.kernel.metrics import Metrics

# What one connection takes that holds nothing: its objects, and what its transport may hold of
# responses that aren't counted any more.
CONNECTION_BYTES = 32 * 1_024
# Shares of the memory that the platform allows, for connections and for the heads of requests.
CONNECTIONS_RATIO = 0.1
HEADS_RATIO = 0.1
# Bound on the heads where that memory isn't known, or is large.
MAX_HEADS_BYTES = 60 * 2**20
# Descriptors that the platform reserves for files, and the callers' share of the others.
RESERVED_DESCRIPTORS = 200
DESCRIPTORS_RATIO = 0.7
# Share of the connections that are closed at once when there are too many.
CLOSED_RATIO = 1 / 64

log = logging.getLogger(__name__)


class BudgetedConnection(abc.ABC):
    """A caller's connection that may be closed for the others."""

    @property
    @abc.abstractmethod
    def waits_since(self) -> float | None:
        """Since when it has been idle, or a head on it incomplete; None if the caller waits.

        While a body is incomplete, when a part of it arrived last; while its caller doesn't read a
        response, since when.  A time of the event loop, in seconds.
        """

    @property
    @abc.abstractmethod
    def held_bytes(self) -> int:
        """What it holds of heads and trailers: those being received, served, and waiting."""

    @abc.abstractmethod
    def give_way(self, reason: str) -> None:
        """Close the connection, and free what it holds; *reason* is for logs."""


@dataclasses.dataclass(frozen=True)
class BudgetLimits:
    """Largest number of connections, and of bytes of heads; 0 for no bound."""

    connections: int = 0
    head_bytes: int = MAX_HEADS_BYTES


def budget_limits(memory: int, descriptors: int) -> BudgetLimits:
    """Return the limits of a process that may use *memory* bytes and *descriptors*.

    Either is 0 if unknown.
    """
    bounds = []
    if memory:
        bounds.append(memory * CONNECTIONS_RATIO / CONNECTION_BYTES)
    if descriptors:
        bounds.append(max(0, descriptors - RESERVED_DESCRIPTORS) * DESCRIPTORS_RATIO)
    head_bytes = min(MAX_HEADS_BYTES, int(memory * HEADS_RATIO) or MAX_HEADS_BYTES)
    return BudgetLimits(max(1, int(min(bounds))) if bounds else 0, head_bytes)


class ConnectionBudget:
    """Decides which connections are closed once callers take too much.

    With too many connections, those that have been idle, incomplete or unread for longest are
    closed (with a body, since a part of it arrived), and the new one if every other caller waits
    for a response.
    With too many bytes of heads, the connection that holds most is closed.
    """

    def __init__(self, limits: BudgetLimits, metrics: Metrics) -> None:
        self._limits = limits
        self._metrics = metrics
        self._connections: set[BudgetedConnection] = set()
        self._held: dict[BudgetedConnection, int] = {}
        self._total = 0

    @property
    def count(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    @property
    def head_bytes(self) -> int:
        """Bytes of heads that connections have reported."""
        return self._total

    def add(self, connection: BudgetedConnection) -> None:
        """Count the new *connection*."""
        self._connections.add(connection)
        excess = len(self._connections) - self._limits.connections
        if not self._limits.connections or excess <= 0:
            return
        since = {item: item.waits_since for item in self._connections if item is not connection}
        waiting = [item for item, value in since.items() if value is not None]
        number = max(excess, int(self._limits.connections * CLOSED_RATIO))
        closed = heapq.nsmallest(number, waiting, key=since.__getitem__) or [connection]
        self._close(closed, "too many connections")

    def hold(self, connection: BudgetedConnection, size: int) -> None:
        """Count *size* bytes of heads for *connection*, instead of what it held before."""
        if connection not in self._connections:
            return
        self._set(connection, size)
        if self._total <= self._limits.head_bytes:
            return
        for item in tuple(self._held):
            self._set(item, item.held_bytes)
        while self._total > self._limits.head_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self._close([largest], "too many bytes of heads")

    def remove(self, connection: BudgetedConnection) -> None:
        """Stop counting *connection*, which has ended."""
        self._connections.discard(connection)
        self._set(connection, 0)

    def _set(self, connection: BudgetedConnection, size: int) -> None:
        self._total += size - self._held.pop(connection, 0)
        if size:
            self._held[connection] = size

    def _close(self, connections: list[BudgetedConnection], reason: str) -> None:
        for connection in connections:
            self.remove(connection)
            connection.give_way(reason)
        self._metrics.count("callers.closed", len(connections))
        fields = {"why": reason, "closed": len(connections), "open": len(self._connections)}
        log.warning("connections of callers closed", extra=fields)
