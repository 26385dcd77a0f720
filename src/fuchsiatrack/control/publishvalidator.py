"""Validation of published configurations by the leader of the configuration shard."""

from __future__ import annotations

import logging

from fuchsiatrack.control.leadership import APPEND_TIMEOUT_MS, Leadership
from fuchsiatrack.control.records import Accept, Publish, Record, RecordId, Reject
from fuchsiatrack.control.replica import StateReplica
from fuchsiatrack.control.state import ShardState
from fuchsiatrack.control.writer import StreamWriter
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.model.check import check_documents, check_succession

IDLE_WAIT_MS = 250
MAX_REASONS = 20

log = logging.getLogger(__name__)


class PublishValidator:
    """Decides pending publishes in order of their offsets.

    A publish is accepted if it is based on the revision in force and all checks pass.
    """

    def __init__(
        self,
        leadership: Leadership,
        replica: StateReplica[ShardState],
        writer: StreamWriter,
        clock: Clock,
    ) -> None:
        self._leadership = leadership
        self._replica = replica
        self._writer = writer
        self._clock = clock

    async def run(self) -> None:
        """Decide publishes until cancelled."""
        while True:
            await self._replica.wait_for(self._has_work, IDLE_WAIT_MS)
            if not self._has_work():
                continue
            try:
                await self._decide_next()
            except PlatformUnavailable as error:
                log.info("publish not decided", extra={"why": str(error)})
                await self._clock.sleep(IDLE_WAIT_MS)

    def _has_work(self) -> bool:
        return bool(self._state.pending) and self._leadership.has_valid_lease()

    @property
    def _state(self) -> ShardState:
        return self._replica.state

    async def _decide_next(self) -> None:
        offset, publish = min(self._state.pending.items())
        term = self._leadership.term
        reasons = self._rejection_reasons(publish)

        def build(record_id: RecordId) -> Record:
            if reasons:
                return Reject("reject", record_id, term, offset, reasons)
            return Accept("accept", record_id, term, offset)

        await self._writer.append(build, APPEND_TIMEOUT_MS)
        log.info("publish decided", extra={"publish": offset, "reasons": reasons})

    def _rejection_reasons(self, publish: Publish) -> tuple[str, ...]:
        if publish.base != self._state.revision:
            return (f"conflict: revision {self._state.revision} is in force, not {publish.base}",)
        checked = check_documents(publish.documents)
        if checked.findings:
            return tuple(str(finding) for finding in checked.findings[:MAX_REASONS])
        if checked.objects.digest != publish.digest:
            return ("digest does not match the objects",)
        findings = check_succession(self._state.objects, checked.objects)
        return tuple(str(finding) for finding in findings)
