"""Bound on the memory of the request bodies that a daemon holds."""

from __future__ import annotations

import abc
import dataclasses

# What the connection of a caller and the kernel buffer of a body at most, until reading from it is
# paused, however small its chunks are.
MAX_BUFFERED_BYTES = 1_024 * 1_024
# Bodies that have arrived for less than this give way only to smaller ones.
MIN_AGE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """How long a body has been arriving, in seconds, and how much of it has arrived, in bytes."""

    age: float
    received: int

    @property
    def rate(self) -> float:
        """Bytes per second."""
        return self.received / max(self.age, MIN_AGE_S)


class BodySource(abc.ABC):
    """A caller's connection on which the body of a request arrives."""

    @property
    @abc.abstractmethod
    def arrival(self) -> Arrival | None:
        """The arrival of the body of the request that is served.

        None if it has arrived, or if the daemon doesn't wait for its caller.
        """

    @abc.abstractmethod
    def give_way(self, reason: str) -> None:
        """Close the connection, and free what it holds; *reason* is for logs."""


class RequestMemory:
    """Counts the bytes that may be held of each request's body, up to *limit* together.

    At most *max_body* bytes are held of one body.  Where there is no room for a body, others give
    way that arrive slowly: the slowest first.
    """

    def __init__(self, limit: int, max_body: int = MAX_BUFFERED_BYTES) -> None:
        self._limit = limit
        self._max_body = max_body
        self._sizes: dict[BodySource, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes that may be held of all requests."""
        return self._total

    def reserve(self, source: BodySource, length: int | None) -> int | None:
        """Reserve the memory for a body of *length* bytes, or of an unknown length.

        Return its size in bytes, None if there is no room.  `release` gives it back.
        """
        size = self._max_body if length is None else min(length, self._max_body)
        if size and not self._make_room(size):
            return None
        if size:
            self._sizes[source] = size
            self._total += size
        return size

    def release(self, source: BodySource) -> None:
        """Give back the memory of a request that has ended, if it has any."""
        self._total -= self._sizes.pop(source, 0)

    def _make_room(self, size: int) -> bool:
        """Let bodies give way for one of *size* bytes; return False if that isn't enough."""
        if self._total + size <= self._limit:
            return True
        arrivals = {source: source.arrival for source in self._sizes}
        rates = {
            source: arrival.rate
            for source, arrival in arrivals.items()
            if arrival is not None and (arrival.age > MIN_AGE_S or self._sizes[source] > size)
        }
        if self._total - sum(self._sizes[source] for source in rates) + size > self._limit:
            return False
        for source in sorted(rates, key=rates.__getitem__):
            if self._total + size <= self._limit:
                break
            self.release(source)
            source.give_way("slow body, no memory for others")
        return True
