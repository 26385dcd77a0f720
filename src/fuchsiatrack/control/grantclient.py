"""The grant protocol between a leader and a backend server."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import hashlib
from collections.abc import Sequence
from typing import Any

import aiohttp

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.objects import BackendServer


class ServerUnreachable(Exception):
    """The server did not respond, or not as expected."""


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """A reading of a server's clock, in milliseconds.

    `clock` is comparable only within one `incarnation` of the server.  `received_at` is the time
    of arrival by this daemon's clock.
    """

    incarnation: str
    clock: int
    received_at: int


@dataclasses.dataclass(frozen=True)
class Grant:
    """Ownership of one partition, except for the keys listed in `without`."""

    partition: str
    fence: int
    without: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class GrantResponse:
    """Partitions that a server holds after a grant, or has released after a revoke."""

    reading: ClockReading
    partitions: frozenset[str]


def digest_of(grants: Sequence[Grant]) -> str:
    """Return the digest of a set of grants, which renewals send instead of the set."""
    parts = sorted(f"{item.partition} {item.fence} {item.without}" for item in grants)
    return hashlib.sha256("\n".join(parts).encode()).hexdigest()


class GrantClient(abc.ABC):
    """Grant calls to one backend server.

    Every method raises ServerUnreachable if the server does not respond as expected.
    """

    @abc.abstractmethod
    async def read_clock(self) -> ClockReading:
        """Return a new reading of the server's clock."""

    @abc.abstractmethod
    async def grant(
        self, grants: Sequence[Grant], reading: ClockReading, lease: int
    ) -> GrantResponse:
        """Grant *grants* until *lease* milliseconds after *reading* by the server's clock."""

    @abc.abstractmethod
    async def revoke(
        self, fences: dict[str, int], reading: ClockReading | None, lease: int
    ) -> GrantResponse:
        """Make the server refuse new requests for the partitions in *fences*.

        Return those of the partitions for which no request is running.  Requests in flight may
        continue until *lease* milliseconds after *reading*.
        """


class HttpGrantClient(GrantClient):
    """Grant calls over HTTP; *timeout* is in milliseconds for each call."""

    def __init__(
        self, server: BackendServer, session: aiohttp.ClientSession, clock: Clock, timeout: int
    ) -> None:
        self._url = f"http://{server.address}/fuchsiatrack/grants"
        self._session = session
        self._clock = clock
        self._timeout_s = timeout / 1000
        self._digested_grants: tuple[Grant, ...] = ()
        self._digest = ""

    async def read_clock(self) -> ClockReading:
        body = await self._call("GET", "/clock", None)
        return self._parse_reading(body)

    async def grant(
        self, grants: Sequence[Grant], reading: ClockReading, lease: int
    ) -> GrantResponse:
        """Renew by the digest of the grants, and send all of them if the server requests them."""
        current = tuple(grants)
        if current != self._digested_grants:
            self._digested_grants, self._digest = current, digest_of(current)
        request: dict[str, Any] = {
            "incarnation": reading.incarnation,
            "reading": reading.clock,
            "lease": lease,
            "digest": self._digest,
        }
        body = await self._call("PUT", "", request)
        if body["wants_grants"]:
            request["grants"] = [dataclasses.asdict(grant) for grant in current]
            body = await self._call("PUT", "", request)
        held_names = body.get("held")
        partitions = (
            frozenset(held_names)
            if held_names is not None
            else frozenset(grant.partition for grant in current)
        )
        return GrantResponse(self._parse_reading(body), partitions)

    async def revoke(
        self, fences: dict[str, int], reading: ClockReading | None, lease: int
    ) -> GrantResponse:
        request: dict[str, Any] = {"fences": fences}
        if reading:
            request |= {
                "incarnation": reading.incarnation,
                "reading": reading.clock,
                "lease": lease,
            }
        body = await self._call("POST", "/revoke", request)
        return GrantResponse(self._parse_reading(body), frozenset(body["released"]))

    def _parse_reading(self, body: dict[str, Any]) -> ClockReading:
        return ClockReading(body["incarnation"], body["clock"], self._clock.now())

    async def _call(self, method: str, path: str, body: Any) -> dict[str, Any]:
        try:
            async with (
                asyncio.timeout(self._timeout_s),
                self._session.request(method, self._url + path, json=body) as response,
            ):
                if response.status != 200:
                    raise ServerUnreachable(
                        f"{method} {path} returned HTTP status {response.status}"
                    )
                return await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise ServerUnreachable(repr(error)) from error


class HealthCheckGrantClient(GrantClient):
    """Replaces grants with health checks for a server that does not check grants.

    Single ownership holds because daemons stop sending; see `fuchsiatrack.control.routelease`.
    """

    def __init__(
        self, server: BackendServer, session: aiohttp.ClientSession, clock: Clock, timeout: int
    ) -> None:
        self._url = f"http://{server.address}/probe"
        self._session = session
        self._clock = clock
        self._timeout_s = timeout / 1000

    async def read_clock(self) -> ClockReading:
        try:
            async with asyncio.timeout(self._timeout_s), self._session.get(self._url) as response:
                if response.status != 200:
                    raise ServerUnreachable(f"probe returned HTTP status {response.status}")
        except (TimeoutError, aiohttp.ClientError) as error:
            raise ServerUnreachable(repr(error)) from error
        return ClockReading("", 0, self._clock.now())

    async def grant(
        self, grants: Sequence[Grant], reading: ClockReading, lease: int
    ) -> GrantResponse:
        new_reading = await self.read_clock()
        return GrantResponse(new_reading, frozenset(grant.partition for grant in grants))

    async def revoke(
        self, fences: dict[str, int], reading: ClockReading | None, lease: int
    ) -> GrantResponse:
        return GrantResponse(await self.read_clock(), frozenset())
