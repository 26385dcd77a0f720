"""Bound on the memory of the request bodies that a daemon holds."""

from __future__ import annotations

# What the connection of a caller and the kernel buffer of a body at most, until reading from it is
# paused, however small its chunks are.
MAX_BUFFERED_BYTES = 1_024 * 1_024


class RequestMemory:
    """Counts the bytes that may be held of each request's body, up to `limit` together."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes that may be held of all requests."""
        return self._total

    def reserve(self, length: int | None) -> int | None:
        """Reserve the memory for a body of *length* bytes, or of an unknown length.

        Return the number of bytes to pass to `release`, None if there is no room.
        """
        size = MAX_BUFFERED_BYTES if length is None else min(length, MAX_BUFFERED_BYTES)
        if size and self._total + size > self._limit:
            return None
        self._total += size
        return size

    def release(self, size: int) -> None:
        """Give back the memory of a request that has ended."""
        self._total -= size
