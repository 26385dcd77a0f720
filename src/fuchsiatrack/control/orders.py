"""Deduplication of orders, whichever daemons receive them.

Each order id of a caller runs at most once while it is among the last `MAX_ORDERS` of its service.

An attempt is recorded on the log before its first send, and the first record of an order id wins.
An attempt that is proven not to have run is released by another record.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from typing import Any

from pydantic import TypeAdapter

from fuchsiatrack.control.records import Attempt, Orders, Record, RecordId
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.state import ReplicatedState
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable

# Order ids that are kept for one service.
MAX_ORDERS = 100_000
# Released attempts that are kept for one service.
MAX_RELEASED_ATTEMPTS = 10_000
MAX_BATCH_ATTEMPTS = 500
APPEND_TIMEOUT_MS = 10_000

log = logging.getLogger(__name__)
_ADAPTER = TypeAdapter(list[Attempt])
_WRITERS = TypeAdapter(dict[str, tuple[int, int]])


class OrdersState(ReplicatedState):
    """The recorded attempt of each order id."""

    def __init__(self) -> None:
        super().__init__()
        self._attempts: dict[tuple[str, str], Attempt] = {}
        self._released: dict[str, None] = {}

    def find(self, caller: str, order: str) -> Attempt | None:
        """Return the recorded attempt of *caller*'s *order*, or None."""
        return self._attempts.get((caller, order))

    def _apply(self, offset: int, record: Record) -> bool:
        if not isinstance(record, Orders):
            return True
        for attempt in record.begun:
            if attempt.attempt not in self._released:
                self._attempts.setdefault((attempt.caller, attempt.order), attempt)
        for attempt in record.freed:
            # A delayed record that begins the attempt may still arrive and must be ignored.
            self._released[attempt.attempt] = None
            recorded = self.find(attempt.caller, attempt.order)
            if recorded and recorded.attempt == attempt.attempt:
                del self._attempts[(attempt.caller, attempt.order)]
        while len(self._attempts) > MAX_ORDERS:
            del self._attempts[next(iter(self._attempts))]
        while len(self._released) > MAX_RELEASED_ATTEMPTS:
            del self._released[next(iter(self._released))]
        return True

    def dump(self) -> dict[str, Any]:
        attempts = _ADAPTER.dump_python(list(self._attempts.values()), mode="json")
        return {
            "attempts": attempts,
            "freed": list(self._released),
            "writers": dict(self._writers),
        }

    def load(self, data: dict[str, Any], as_of: int) -> None:
        attempts = _ADAPTER.validate_python(data["attempts"])
        self._attempts = {(item.caller, item.order): item for item in attempts}
        self._released = dict.fromkeys(data["freed"])
        self._writers = _WRITERS.validate_python(data["writers"])
        self.applied = as_of


class BeginResult(enum.Enum):
    """Result of recording an attempt."""

    FIRST = "first"
    REPEAT = "repeat"
    UNSETTLED = "unsettled"


class OrderDeduplicator:
    """Records attempts in batches; attempts wait while the previous batch is appended."""

    def __init__(
        self, replica: StateReplica[OrdersState], writer: StreamWriter, clock: Clock
    ) -> None:
        self._replica = replica
        self._writer = writer
        self._clock = clock
        self._begun: list[Attempt] = []
        self._released: list[Attempt] = []
        self._wake = asyncio.Event()

    def find(self, caller: str, order: str) -> Attempt | None:
        """Return the recorded attempt of *caller*'s *order*, or None."""
        return self._replica.state.find(caller, order)

    async def begin(self, attempt: Attempt, timeout: int) -> BeginResult:
        """Record that *attempt* is about to be sent; wait up to *timeout* milliseconds.

        `UNSETTLED` means that the record was not read back in time; it may still take effect.
        """
        if self.find(attempt.caller, attempt.order) is not None:
            return BeginResult.REPEAT
        self._begun.append(attempt)
        self._wake.set()

        def is_recorded() -> bool:
            return self.find(attempt.caller, attempt.order) is not None

        if not await self._replica.wait_for(is_recorded, timeout):
            return BeginResult.UNSETTLED
        if self.find(attempt.caller, attempt.order) == attempt:
            return BeginResult.FIRST
        self.release(attempt)
        return BeginResult.REPEAT

    def release(self, attempt: Attempt) -> None:
        """Record that *attempt* has not run, so that its order id can be used again."""
        if attempt in self._begun:
            self._begun.remove(attempt)
        self._released.append(attempt)
        self._wake.set()

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._begun or self._released:
                await self._write_batch()

    async def drain(self, timeout: int) -> None:
        """Wait up to *timeout* milliseconds until no attempt is waiting to be appended."""
        deadline = self._clock.now() + timeout
        while (self._begun or self._released) and self._clock.now() < deadline:
            await self._clock.sleep(20)

    async def _write_batch(self) -> None:
        begun, released = (
            tuple(self._begun[:MAX_BATCH_ATTEMPTS]),
            tuple(self._released[:MAX_BATCH_ATTEMPTS]),
        )
        del self._begun[: len(begun)], self._released[: len(released)]

        def build(record_id: RecordId) -> Orders:
            return Orders("orders", record_id, begun, released)

        try:
            await self._writer.append(build, APPEND_TIMEOUT_MS)
        except PlatformUnavailable as error:
            log.info("orders not recorded", extra={"why": str(error)})
            self._begun[:0], self._released[:0] = begun, released
