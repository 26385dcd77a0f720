"""What the kernel knows of a caller's connection."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import resource
import select
import socket
import struct
import termios

_INT = struct.Struct("i")


def has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the caller has closed its side of the connection.

    The event loop notices that only once it has read everything before the end, and it doesn't read
    while a large body waits.
    """
    if transport is None or transport.is_closing():
        return True
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is None:
        return False
    poll = select.poll()
    poll.register(raw_socket.fileno(), select.POLLRDHUP)
    return any(events & (select.POLLRDHUP | select.POLLHUP) for _, events in poll.poll(0))


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Return whether something has arrived that the event loop hasn't read."""
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is None or raw_socket.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(raw_socket.fileno(), select.POLLIN)
    return any(events & select.POLLIN for _, events in poll.poll(0))


def count_unacknowledged(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes that were written the caller's machine hasn't acknowledged."""
    unsent = transport.get_write_buffer_size()
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is None or raw_socket.fileno() < 0:
        return unsent
    try:
        buffer = fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return unsent
    return unsent + _INT.unpack(buffer)[0]


def limit_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Let the kernel hold about *size* bytes, at most twice as many, of what arrives unread."""
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is None or raw_socket.fileno() < 0:
        return
    with contextlib.suppress(OSError):
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)


def descriptor_limit() -> int:
    """Return how many descriptors the process may have, 0 for any number."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft == resource.RLIM_INFINITY else soft
