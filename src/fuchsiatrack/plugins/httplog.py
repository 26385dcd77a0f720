"""The append-only log service over HTTP."""

from __future__ import annotations

import json

import aiohttp

from fuchsiatrack.control.appendlog import READ_TIMEOUT_MARGIN, AppendLog, LogPage, LogRecord
from fuchsiatrack.kernel.errors import AppendRefused, PlatformUnavailable, RecordsExpired
from fuchsiatrack.kernel.registry import register

PAGE_RECORDS = 1_000


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
        timeout = _seconds(wait + READ_TIMEOUT_MARGIN)
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
