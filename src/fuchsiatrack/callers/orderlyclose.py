"""End of a caller's connection that loses nothing that was written to it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from fuchsiatrack.callers.kernelstate import count_unacknowledged

# The connection is closed once its caller has sent nothing for so long after the end of the
# daemon's side.
SILENCE_MAX_MS = 2_000
# Longest time for which a caller that goes on sending keeps a connection that has ended.
DISCARD_MAX_MS = 30_000
# Most bytes that are discarded after the end of the daemon's side, by default.
DISCARD_MAX_BYTES = 2**20

log = logging.getLogger(__name__)


class OrderlyTransport:
    """Transport of a caller's connection, whose `close` drops no response.

    A socket that is closed while its peer still sends is reset, and the reset drops what the peer
    hasn't read.  Therefore `close` ends only the sending side, and discards what arrives until the
    caller has closed its side or is silent.  Everything else is that of the asyncio *transport*,
    which passes events to *protocol*.  *on_close* is called when `close` begins.  At most
    `discard_limit` bytes are discarded.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        protocol: asyncio.Protocol,
        on_close: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._protocol = protocol
        self._on_close = on_close
        self.discard_limit = DISCARD_MAX_BYTES
        self._has_ended = False
        # Called for each response.
        self.write = transport.write
        self.writelines = transport.writelines

    def __getattr__(self, name: str) -> object:
        return getattr(self._transport, name)

    @property
    def has_ended(self) -> bool:
        """Whether the daemon has ended the connection."""
        return self._has_ended

    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        return self._has_ended or self._transport.is_closing()

    def close(self) -> None:
        """End the connection after what was written, and discard what still arrives."""
        if self.is_closing():
            return
        self._has_ended = True
        self._on_close()
        _DiscardingProtocol(self._transport, self._protocol, self.discard_limit).start()

    def close_at_once(self) -> None:
        """Close the connection after what was written; what arrives then isn't read."""
        self._has_ended = True
        self._transport.close()


class _DiscardingProtocol(asyncio.Protocol):
    """Discards what arrives on *transport*; the other events go to *protocol*."""

    def __init__(
        self, transport: asyncio.Transport, protocol: asyncio.Protocol, discard_limit: int
    ) -> None:
        self._transport = transport
        self._protocol = protocol
        self._discard_limit = discard_limit
        self._loop = asyncio.get_running_loop()
        self._close_at = self._loop.time() + DISCARD_MAX_MS / 1_000
        self._received = 0
        self._received_before = 0
        self._unsent_before = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """End the sending side, and take the events of the transport."""
        self._transport.set_protocol(self)
        self._transport.resume_reading()
        # The caller may have reset the connection already.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._schedule_check()

    def data_received(self, data: bytes) -> None:
        self._received += len(data)
        if self._received > self._discard_limit:
            self._abort("caller goes on sending")

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._protocol.connection_lost(exc)

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(SILENCE_MAX_MS / 1_000, self._check)

    def _check(self) -> None:
        unsent = count_unacknowledged(self._transport)
        is_read = unsent < self._unsent_before
        if self._loop.time() >= self._close_at and not is_read:
            self._abort("caller holds the connection")
        elif unsent or self._received > self._received_before:
            self._received_before, self._unsent_before = self._received, unsent
            self._schedule_check()
        else:
            self._transport.close()

    def _abort(self, reason: str) -> None:
        unsent = self._transport.get_write_buffer_size()
        log.warning("connection aborted", extra={"why": reason, "unsent": unsent})
        self._transport.abort()
