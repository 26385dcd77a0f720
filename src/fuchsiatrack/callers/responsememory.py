"""Bounds on the memory of responses that are received from servers or written to callers."""

from __future__ import annotations

import abc

# Largest response of one server, head and body.
MAX_RESPONSE_BYTES = 16 * 2**20
# Bound on all responses together, and the share of a smaller process limit that they may take.
MAX_TOTAL_BYTES = 60 * 2**20
MAX_TOTAL_RATIO = 0.2


def body_limit(process_limit: int) -> int:
    """Return the bound on all responses in a process that is killed above *process_limit* bytes.

    A limit of 0 is unknown.  Requests have the same bound.
    """
    if not process_limit:
        return MAX_TOTAL_BYTES
    return min(MAX_TOTAL_BYTES, int(process_limit * MAX_TOTAL_RATIO))


class ResponseReceiver(abc.ABC):
    """Holds one response at a time: receives it, or waits until its caller has read it."""

    @property
    def is_stalled(self) -> bool:
        """Whether its caller has read nothing of the response lately."""
        return False

    @abc.abstractmethod
    def discard_response(self, reason: str) -> None:
        """Drop the response and close the connection; *reason* is for logs."""


class ResponseMemory:
    """Counts the bytes of each response until its caller has read it.

    A response above `max_response` bytes is discarded, and the largest one if all of them together
    exceed `max_total`, so that one faulty server does not cost other servers their responses.
    Those that callers don't read go first, so that slow callers do not cost others theirs.
    """

    def __init__(
        self, max_response: int = MAX_RESPONSE_BYTES, max_total: int = MAX_TOTAL_BYTES
    ) -> None:
        self._max_response = max_response
        self._max_total = max_total
        self._sizes: dict[ResponseReceiver, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes of all responses that are being received or written."""
        return self._total

    def add(self, receiver: ResponseReceiver, size: int) -> None:
        """Count *size* more bytes of the response that *receiver* receives."""
        self._sizes[receiver] = self._sizes.get(receiver, 0) + size
        self._total += size
        if self._sizes[receiver] > self._max_response:
            self._discard(receiver, f"response exceeds {self._max_response} bytes")
        elif self._total > self._max_total:
            largest = max(self._sizes, key=self._rank)
            self._discard(largest, f"responses exceed {self._max_total} bytes together")

    def remove(self, receiver: ResponseReceiver) -> None:
        """Stop counting the response of *receiver*, if any."""
        self._total -= self._sizes.pop(receiver, 0)

    def _rank(self, receiver: ResponseReceiver) -> tuple[bool, int]:
        return receiver.is_stalled, self._sizes[receiver]

    def _discard(self, receiver: ResponseReceiver, reason: str) -> None:
        self.remove(receiver)
        receiver.discard_response(reason)
