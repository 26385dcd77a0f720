"""Client of the append-only log service over HTTP."""

from __future__ import annotations

import json

import aiohttp

from fuchsiatrack.control.appendlog import READ_TIMEOUT_MARGIN_MS, AppendLog, LogPage, LogRecord
from fuchsiatrack.kernel.errors import AppendRefused, PlatformUnavailable, RecordsExpired
from fuchsiatrack.kernel.registry import register

PAGE_MAX_RECORDS = 1_000


@register("log", "http")
class HttpLog(AppendLog):
    """A client of the log service at *url*; times are in milliseconds."""

    def __init__(self, url: str, timeout: int) -> None:
        self._url = url
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, data: bytes) -> int:
        url = f"{self._url}/streams/{stream}/records"
        try:
            async with self._client().post(
                url, data=data, timeout=_client_timeout(self._timeout)
            ) as response:
                if response.status == 429:
                    raise AppendRefused(f"{stream}: the log's append rate limit is exceeded")
                if response.status != 200:
                    raise PlatformUnavailable(f"{stream}: append returned status {response.status}")
                return (await response.json())["offset"]
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformUnavailable(f"{stream}: append failed: {error!r}") from error

    async def read(self, stream: str, first: int, wait: int = 0) -> LogPage:
        url = f"{self._url}/streams/{stream}/records"
        query = {"from": first, "wait_ms": wait, "limit": PAGE_MAX_RECORDS}
        timeout = _client_timeout(wait + READ_TIMEOUT_MARGIN_MS)
        try:
            async with self._client().get(url, params=query, timeout=timeout) as response:
                body = await response.read()
                if response.status == 410:
                    raise RecordsExpired(json.loads(body)["first"])
                if response.status != 200:
                    raise PlatformUnavailable(f"{stream}: read returned status {response.status}")
                return _decode_page(json.loads(body))
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformUnavailable(f"{stream}: read failed: {error!r}") from error

    async def close(self) -> None:
        if self._session:
            await self._session.close()

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _client_timeout(timeout: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=timeout / 1000)


def _decode_page(body: dict) -> LogPage:
    records = tuple(
        LogRecord(record["offset"], record["data"].encode()) for record in body["records"]
    )
    return LogPage(records, body["next"])
