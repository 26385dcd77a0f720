"""Crowds of hostile callers at a daemon process, and the bounds that it keeps beside them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import os
import pathlib
import resource
from collections.abc import AsyncIterator, Callable

# Guards for tests that would hang; nothing is measured against them.
TIMEOUT_S = 60.0
SEND_TIMEOUT_S = 5.0
# For how long the daemon gets to take what the crowd has sent.
SETTLE_S = 2.0
# Between the parts that a caller sends to keep its request open.
PART_INTERVAL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Target:
    """A daemon process that callers reach at `address`, and its bounds.

    `log` is the file with its output; `request` returns an ordinary request with the given number.
    """

    pid: int
    address: tuple[str, int]
    log: pathlib.Path
    is_running: Callable[[], bool]
    request: Callable[[int], bytes]
    memory_kb: int
    descriptors: int

    def limit_descriptors(self) -> None:
        """Let the kernel enforce the bound on descriptors."""
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))


class Crowd:
    """Connections of hostile callers to one daemon process, which stay open."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._folder = pathlib.Path(f"/proc/{target.pid}")
        self.connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    @property
    def peak_kb(self) -> int:
        """Largest resident size of the process so far, with what its sockets hold now."""
        status = (self._folder / "status").read_text().splitlines()
        [line] = [item for item in status if item.startswith("VmHWM")]
        return int(line.split()[1]) + self._unread_bytes // 1_024

    @property
    def _unread_bytes(self) -> int:
        """What the kernel holds for the process of what callers and servers have sent."""
        inodes = set()
        for item in (self._folder / "fd").iterdir():
            # The process may have closed it.
            with contextlib.suppress(FileNotFoundError):
                inodes.add(os.readlink(item).removeprefix("socket:[").removesuffix("]"))
        lines = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()]
        # The listener's queue counts connections.
        return sum(
            int(line[4].partition(":")[2], 16)
            for line in lines
            if line[9] in inodes and line[3] != "0A"
        )

    @property
    def descriptors(self) -> int:
        """How many descriptors the process has open."""
        return len(list((self._folder / "fd").iterdir()))

    async def send(self, count: int, pieces: Callable[[int], list[bytes]]) -> None:
        """Open *count* connections, and send on each the pieces for its number."""
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*(self._send(pieces(number)) for number in range(count)))
        await asyncio.sleep(SETTLE_S)

    async def _send(self, pieces: list[bytes]) -> None:
        """Send as much as the daemon takes."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._target.address, limit=1_024)
                self.connections.append((reader, writer))
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()

    @contextlib.asynccontextmanager
    async def keep_sending(
        self, count: int, pieces: Callable[[int], list[bytes]], part: bytes
    ) -> AsyncIterator[None]:
        """Keep *count* connections on which *part* follows the pieces again and again.

        Each is opened anew once the daemon has responded on it, or closed it.
        """
        senders = [
            asyncio.create_task(self._keep_sending(pieces(number), part)) for number in range(count)
        ]
        try:
            await asyncio.sleep(SETTLE_S)
            yield
        finally:
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)

    async def _keep_sending(self, pieces: list[bytes], part: bytes) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._target.address, limit=1_024)
                try:
                    writer.writelines(pieces)
                    await self._send_until_response(reader, writer, part)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0)

    async def _send_until_response(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, part: bytes
    ) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PART_INTERVAL_S):
                    await reader.read(1)
                    return
            writer.write(part)

    @contextlib.asynccontextmanager
    async def keep_streaming(
        self,
        count: int,
        head: Callable[[int], bytes],
        part: bytes,
        lifetime_s: float | None = None,
    ) -> AsyncIterator[None]:
        """Keep *count* connections on which *part* follows the head as fast as the daemon reads.

        Each is opened anew once the daemon has responded on it, or closed it, or after
        *lifetime_s*.
        """
        streams = [
            asyncio.create_task(self._keep_streaming(head(number), part, lifetime_s))
            for number in range(count)
        ]
        try:
            await asyncio.sleep(SETTLE_S)
            yield
        finally:
            for stream in streams:
                stream.cancel()
            await asyncio.gather(*streams, return_exceptions=True)

    async def _keep_streaming(self, head: bytes, part: bytes, lifetime_s: float | None) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self._target.address, limit=1_024)
                writer.write(head)
                stream = asyncio.create_task(_stream(writer, part))
                try:
                    async with asyncio.timeout(lifetime_s):
                        await reader.read(1)
                finally:
                    stream.cancel()
                    await asyncio.gather(stream, return_exceptions=True)
                    writer.transport.abort()
            await asyncio.sleep(0)

    async def check(self) -> None:
        """Check what must hold while the crowd stays, and after it has left."""
        await self._check_ordinary_request()
        self._check_bounds()
        self.close()
        await self._check_ordinary_request()
        self._check_bounds()
        assert "Traceback" not in self._target.log.read_text()

    async def _check_ordinary_request(self) -> None:
        assert self._target.is_running()
        assert await self._ask() == 200

    def _check_bounds(self) -> None:
        assert self._target.is_running()
        peak_kb, descriptors = self.peak_kb, self.descriptors
        print(
            f"peak {peak_kb} KB of {self._target.memory_kb},"
            f" {self._unread_bytes // 1_024} of them unread,"
            f" {descriptors} descriptors of {self._target.descriptors}"
        )
        assert peak_kb < self._target.memory_kb
        assert descriptors < self._target.descriptors

    async def _ask(self) -> int:
        """Return the status of an ordinary request, whose caller repeats it when refused."""
        async with asyncio.timeout(TIMEOUT_S):
            for number in itertools.count():
                with contextlib.suppress(OSError, EOFError):
                    reader, writer = await asyncio.open_connection(*self._target.address)
                    writer.write(self._target.request(number))
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                    if not head.startswith((b"HTTP/1.1 429", b"HTTP/1.1 503")):
                        return int(head.split()[1])
                await asyncio.sleep(0.2)

    def close(self) -> None:
        """Let all callers of the crowd leave."""
        for _, writer in self.connections:
            writer.transport.abort()


async def _stream(writer: asyncio.StreamWriter, part: bytes) -> None:
    while True:
        writer.write(part)
        await writer.drain()
