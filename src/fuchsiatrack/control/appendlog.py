"""Contract of the append-only log service."""

from __future__ import annotations

import abc
import dataclasses

# Longest time to wait beyond a long poll's own wait before the call counts as failed.
READ_TIMEOUT_MARGIN = 1_500


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """One record of a stream; offsets start at 1."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Records in order of offset; `next` is the first offset after the stream's head."""

    records: tuple[LogRecord, ...]
    next: int


class AppendLog(abc.ABC):
    """Streams of records, kept for a limited time."""

    @abc.abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append *data* and return its offset.

        Raises AppendRefused when the append certainly had no effect, and PlatformUnavailable
        when it may have had one, now or later.
        """

    @abc.abstractmethod
    async def read(self, stream: str, first: int, wait: int = 0) -> LogPage:
        """Return records from offset *first* on, waiting up to *wait* milliseconds for one.

        Raises RecordsExpired when *first* is older than the retention, PlatformUnavailable when
        the log does not answer.
        """

    async def close(self) -> None:
        """Give back connections."""
