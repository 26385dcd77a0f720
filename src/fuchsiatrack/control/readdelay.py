"""How long the newest record of a stream takes to reach a daemon."""

from __future__ import annotations

import dataclasses

# Longest response time of a healthy log service.
READ_RESPONSE_MS = 250
# The listing of newest records encodes values in base64.
LISTING_SIZE_RATIO = 4 / 3


@dataclasses.dataclass(frozen=True)
class ReadDelay:
    """Bounds the delay of the newest record on one daemon's link.

    `link_rate` is in bytes per millisecond, and `page_size` is the size in bytes of the longest
    response to a read.
    """

    link_rate: float
    page_size: int

    def transfer(self, size: float) -> float:
        """Return how long the transfer of *size* bytes takes, in milliseconds."""
        return size / self.link_rate

    def bound(self, size: int) -> int:
        """Return the longest time from the append of a record of *size* bytes to its arrival.

        In milliseconds, whatever is appended before.  The record may just miss a listing that is
        under way.  A read follows, which may return an earlier record, and the next listing has the
        record.
        """
        listing = self.transfer(size * LISTING_SIZE_RATIO)
        read = self.transfer(max(size, self.page_size))
        return round(listing + (READ_RESPONSE_MS + read) + (READ_RESPONSE_MS + listing))
