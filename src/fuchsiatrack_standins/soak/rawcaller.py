"""Base of the callers on raw connections, and the requests that they send."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
from collections.abc import Callable, Sequence

from fuchsiatrack_standins.soak.callers import (
    DEADLINE_MS,
    HOST,
    KEYS,
    REQUEST_KINDS,
    CompletedCall,
    combine_states,
)
from fuchsiatrack_standins.soak.daemons import DaemonProcess, DaemonState
from fuchsiatrack_standins.soak.rawconnection import RawConnection

RESPONSE_TIMEOUT_S = 3 * DEADLINE_MS / 1_000
# Share of the choices that take a stopping daemon if there is one.
STOPPING_RATIO = 0.5
# Between the calls of a caller, after one to a stopping daemon and after any other one.
STOPPING_PAUSE_S = 0.01
PAUSE_S = 0.1


class RawRequest:
    """One request of a raw caller; `head` is what begins it."""

    def __init__(
        self,
        request_id: str,
        daemon: DaemonProcess,
        kind: tuple[str, str],
        fields: str = "",
        length: int = 0,
    ) -> None:
        self._request_id = request_id
        self._daemon = daemon
        self._method, self._path = kind
        self.head = (
            f"{self._method} {self._path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n{fields}Content-Length: {length}\r\n\r\n"
        ).encode()
        self._state, self._start_count = daemon.state, daemon.start_count
        self._started_at_s = time.monotonic()
        self._whole_sent_at_s: float | None = None
        self._paused_s = 0.0

    async def send(
        self, connection: RawConnection, parts: Sequence[bytes], pause_s: float = 0.0
    ) -> None:
        """Send the request in *parts* with pauses between them."""
        for number, part in enumerate(parts):
            if number:
                await self.pause(pause_s)
            await connection.send(part)
        self._whole_sent_at_s = time.monotonic()

    async def pause(self, pause_s: float) -> None:
        """Wait; the response is not late for this."""
        self._paused_s += pause_s
        await asyncio.sleep(pause_s)

    async def read_response(
        self, connection: RawConnection, on_own_connection: bool = False
    ) -> CompletedCall:
        """Return the completed call, which has status 0 without a complete response."""
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                result = await connection.read_response()
        except (TimeoutError, OSError, EOFError, ValueError) as error:
            return self.fail(error, on_own_connection)
        return self._complete(*result, on_own_connection)

    def fail(self, error: Exception, on_own_connection: bool = False) -> CompletedCall:
        """Return the completed call of a request whose connection ended with *error*."""
        return self._complete(0, repr(error), False, on_own_connection)

    def count_as_unread(self) -> CompletedCall:
        """Return the completed call of a request behind a response that ended its connection."""
        unread = self._complete(0, "behind the last response", False, False)
        return dataclasses.replace(unread, is_unread=True)

    def _complete(
        self, status: int, text: str, leaving: bool, on_own_connection: bool
    ) -> CompletedCall:
        restarted = self._start_count != self._daemon.start_count
        return CompletedCall(
            self._request_id,
            self._method,
            self._daemon.vm,
            status,
            text,
            int((time.monotonic() - self._started_at_s) * 1_000),
            combine_states(self._state, self._daemon.state, restarted),
            self._path,
            self._started_at_s,
            leaving,
            self._whole_sent_at_s,
            on_own_connection,
            int(self._paused_s * 1_000),
        )


class RawCaller(abc.ABC):
    """Calls one daemon after the other, and those that stop more often.

    *record* receives each completed call.
    """

    def __init__(
        self,
        name: str,
        daemons: Sequence[DaemonProcess],
        seed: int,
        record: Callable[[CompletedCall], None],
    ) -> None:
        self._name = name
        self._daemons = daemons
        self._record = record
        self._rng = random.Random(f"{seed} {name}")
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Call daemons until cancelled."""
        while True:
            daemon = self._choose_daemon()
            # Nothing is lost with a connection that is not established.
            with contextlib.suppress(OSError):
                await self._call(daemon)
            is_stopping = daemon.state is DaemonState.STOPPING
            await asyncio.sleep(STOPPING_PAUSE_S if is_stopping else PAUSE_S)

    @abc.abstractmethod
    async def _call(self, daemon: DaemonProcess) -> None:
        """Connect to *daemon* and send requests; raises OSError if the connection fails."""

    def _choose_daemon(self) -> DaemonProcess:
        stopping = [item for item in self._daemons if item.state is DaemonState.STOPPING]
        if stopping and self._rng.random() < STOPPING_RATIO:
            return self._rng.choice(stopping)
        return self._rng.choice(self._daemons)

    def _request(
        self,
        daemon: DaemonProcess,
        kind: tuple[str, str] | None = None,
        fields: str = "",
        length: int = 0,
    ) -> RawRequest:
        """Return a request of a random kind, or of *kind*, a method and a path without a key."""
        if kind is None:
            method, path, is_keyed = self._rng.choice(REQUEST_KINDS)
            kind = method, path
            if is_keyed:
                fields += f"X-Shard-Key: {self._rng.choice(KEYS)}\r\n"
        request_id = f"{self._name}-{next(self._numbers):06x}"
        return RawRequest(request_id, daemon, kind, fields, length)

    async def _call_on_own_connection(
        self,
        daemon: DaemonProcess,
        request: RawRequest,
        parts: Sequence[bytes],
        pause_s: float = 0.0,
        read_pause_s: float = 0.0,
    ) -> None:
        """Send *request* in *parts* on a connection of its own, and read the response later."""
        connection = await RawConnection.open(daemon.callers_address)
        try:
            await request.send(connection, parts, pause_s)
            await request.pause(read_pause_s)
            self._record(await request.read_response(connection, on_own_connection=True))
        except OSError as error:
            # Common clients give up here, without a look at what was received before.
            self._record(request.fail(error, on_own_connection=True))
        finally:
            connection.close()
