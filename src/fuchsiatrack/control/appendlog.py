"""Interface to the append-only log service."""

from __future__ import annotations

import abc
import dataclasses

# A read counts as failed this many milliseconds after the end of its long poll's wait.
READ_TIMEOUT_MARGIN_MS = 1_500


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """One record of a stream; offsets start at 1."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Records in order of offset; `end` is the offset after the last record of the stream."""

    records: tuple[LogRecord, ...]
    end: int


class AppendLog(abc.ABC):
    """Streams of records that are retained for a limited time."""

    @abc.abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append *data* and return its offset.

        Raise AppendRefused if the append certainly has no effect, and PlatformUnavailable if it
        may have taken effect or may still do so.
        """

    @abc.abstractmethod
    async def read(self, stream: str, first: int, wait: int = 0) -> LogPage:
        """Return records from offset *first* on, waiting up to *wait* milliseconds for one.

        Raise RecordsExpired if *first* is no longer retained, and PlatformUnavailable if the log
        does not respond.
        """

    async def close(self) -> None:
        """Close all connections."""
