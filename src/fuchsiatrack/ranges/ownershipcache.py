"""The ownership maps of all keyed services, as read from the log."""

from __future__ import annotations

import logging

from reactivex.subject import Subject

from fuchsiatrack.control.compactedlog import CompactedRecord, ReadContext
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.leadership import Leadership
from fuchsiatrack.ranges.ownership import OwnedRange, OwnershipMap
from fuchsiatrack.ranges.ownershipchange import OwnershipChange
from fuchsiatrack.ranges.records import ERA_KEY, TERM_KEY, decode_era

MAP_PREFIX = "map/"

log = logging.getLogger(__name__)


class OwnershipCache:
    """The latest ownership map of each keyed service.

    It is updated from the state stream; term records are passed on to *leadership*. `changed` emits
    the name of each service whose map was updated, `confirmed` each era that a leader confirmed.
    """

    def __init__(self, leadership: Leadership, clock: Clock) -> None:
        self._leadership = leadership
        self._clock = clock
        self._maps: dict[str, OwnershipMap] = {}
        # Services whose latest map on the log can't be decoded.
        self._unreadable: set[str] = set()
        self._moving_since: dict[str, dict[tuple[int, int], int]] = {}
        self.changed: Subject[str] = Subject()
        self.confirmed: Subject[int] = Subject()

    @property
    def revisions(self) -> dict[str, int]:
        """The revision of the map of each service."""
        return {service: item.revision for service, item in self._maps.items()}

    @property
    def maps(self) -> dict[str, OwnershipMap]:
        """The latest map of each service."""
        return dict(self._maps)

    @property
    def has_maps(self) -> bool:
        """Whether there is a map of any service on the log, one that can't be decoded included."""
        return bool(self._maps or self._unreadable)

    def find(self, service: str) -> OwnershipMap:
        """Return the map of *service*, which is empty if no keys are assigned."""
        return self._maps.get(service, OwnershipMap())

    def is_readable(self, service: str) -> bool:
        """Return whether the latest map of *service* on the log is known, or there is none."""
        return service not in self._unreadable

    def moving_since(self, service: str, item: OwnedRange) -> int:
        """Return when *item* was first seen moving, or the current time if it was not."""
        return self._moving_since.get(service, {}).get(
            (item.first, item.next_fence), self._clock.now()
        )

    def apply_records(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Apply the newest record of each key among *records* of the state stream."""
        newest = {record.key: record for record in records}
        for record in newest.values():
            self.apply_record(record, context)

    def apply_record(self, record: CompactedRecord, context: ReadContext) -> None:
        """Apply one record of the state stream."""
        if record.key == TERM_KEY:
            self._leadership.apply_term_record(record.value)
        elif record.key == ERA_KEY and record.value is not None:
            self._apply_era(record.value)
        elif record.key.startswith(MAP_PREFIX) and record.value is not None:
            service = record.key.removeprefix(MAP_PREFIX)
            if self.apply_map(service, record.value):
                self._unreadable.discard(service)
            else:
                self._unreadable.add(service)

    def _apply_era(self, value: bytes) -> None:
        try:
            self.confirmed.on_next(decode_era(value))
        except ValueError as error:
            log.error("malformed confirmation of an era", extra={"why": str(error)})

    def apply_map(self, service: str, value: bytes) -> bool:
        """Update the map of *service* from the log or from the leader; return whether it is valid.

        Older and malformed maps are ignored.
        """
        try:
            ownership = OwnershipMap.decode(value)
        except ValueError as error:
            log.error("malformed ownership map", extra={"service": service, "why": str(error)})
            return False
        if ownership.revision >= self.find(service).revision:
            self._put(service, ownership)
        return True

    def apply_change(self, service: str, change: OwnershipChange) -> bool:
        """Update the map of *service*; return whether it has at least the change's revision.

        It hasn't if too many changes were missed; the map must then be read from the log.
        """
        current = self.find(service)
        if current.revision >= change.revision:
            return True
        try:
            self._put(service, change.apply(current))
        except ValueError as error:
            log.info("ownership change missed", extra={"service": service, "why": str(error)})
            return False
        return True

    def _put(self, service: str, ownership: OwnershipMap) -> None:
        self._maps[service] = ownership
        known, now = self._moving_since.get(service, {}), self._clock.now()
        self._moving_since[service] = {
            (item.first, item.next_fence): known.get((item.first, item.next_fence), now)
            for item in ownership.ranges
            if item.is_moving
        }
        self.changed.on_next(service)


def map_key(service: str) -> str:
    """Return the record key of the map of *service*."""
    return MAP_PREFIX + service
