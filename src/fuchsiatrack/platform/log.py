"""The append-only log service: contract and the HTTP plug-in."""

from __future__ import annotations

import abc
import dataclasses
import json

import aiohttp

from fuchsiatrack.kernel.errors import AppendRefused, PlatformUnavailable, RecordsExpired
from fuchsiatrack.kernel.registry import register

# Longest time to wait beyond a long poll's own wait before the call counts as failed.
READ_GRACE = 1_500
PAGE_RECORDS = 1_000


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


@register("log", "http")
class HttpLog(AppendLog):
    """The log service over HTTP; times in milliseconds."""

    def __init__(self, url: str, timeout: int) -> None:
        self._url = url
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, data: bytes) -> int:
        url = f"{self._url}/streams/{stream}/records"
        try:
            async with self._client().post(url, data=data, timeout=_seconds(self._timeout)) as got:
                if got.status == 429:
                    raise AppendRefused(f"{stream}: the log's append rate is exceeded")
                if got.status != 200:
                    raise PlatformUnavailable(f"{stream}: append answered {got.status}")
                return (await got.json())["offset"]
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformUnavailable(f"{stream}: append: {error!r}") from error

    async def read(self, stream: str, first: int, wait: int = 0) -> LogPage:
        url = f"{self._url}/streams/{stream}/records"
        query = {"from": first, "wait_ms": wait, "limit": PAGE_RECORDS}
        timeout = _seconds(wait + READ_GRACE)
        try:
            async with self._client().get(url, params=query, timeout=timeout) as got:
                body = await got.read()
                if got.status == 410:
                    raise RecordsExpired(json.loads(body)["first"])
                if got.status != 200:
                    raise PlatformUnavailable(f"{stream}: read answered {got.status}")
                return _page(json.loads(body))
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformUnavailable(f"{stream}: read: {error!r}") from error

    async def close(self) -> None:
        if self._session:
            await self._session.close()

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _seconds(milliseconds: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=milliseconds / 1000)


def _page(body: dict) -> LogPage:
    records = tuple(LogRecord(item["offset"], item["data"].encode()) for item in body["records"])
    return LogPage(records, body["next"])
