"""Snapshots of a stream's state, so that new VMs can start without expired records."""

from __future__ import annotations

import logging
from collections.abc import Callable

from fuchsiatrack.control.records import RecordId, Snapshot
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable

CHECK_PERIOD_MS = 500
APPEND_TIMEOUT_MS = 5_000

log = logging.getLogger(__name__)


class Snapshotter:
    """Appends a snapshot once the last one is too many records or too long ago.

    Several daemons may append one at the same time, which is harmless: a snapshot is fully
    determined by the records before it.  *max_records* is the number of records between
    snapshots.  *period* is in milliseconds and must be well below the log's retention.
    """

    def __init__(
        self,
        replica: StateReplica,
        writer: StreamWriter,
        may_write: Callable[[], bool],
        clock: Clock,
        max_records: int,
        period: int,
    ) -> None:
        self._replica = replica
        self._writer = writer
        self._may_write = may_write
        self._clock = clock
        self._max_records = max_records
        self._period = period

    async def run(self) -> None:
        """Append snapshots until cancelled."""
        while True:
            await self._clock.sleep(CHECK_PERIOD_MS)
            if not self._is_due() or not self._may_write():
                continue
            try:
                await self._writer.append(self._build, APPEND_TIMEOUT_MS)
            except PlatformUnavailable as error:
                log.info("snapshot failed", extra={"why": str(error)})

    def _is_due(self) -> bool:
        replica = self._replica
        if not replica.caught_up.is_set() or not replica.state.applied:
            return False
        if replica.state.applied - replica.snapshot_offset >= self._max_records:
            return True
        return self._clock.now() - replica.snapshot_time >= self._period

    def _build(self, record_id: RecordId) -> Snapshot:
        state = self._replica.state
        return Snapshot("snapshot", record_id, state.applied, state.dump())
