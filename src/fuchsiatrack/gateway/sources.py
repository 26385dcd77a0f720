"""The configuration in force and the listed servers, updated from the log."""

from __future__ import annotations

import logging

from reactivex.subject import Subject

from fuchsiatrack.control.compactedlog import CompactedRecord, ReadContext
from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry
from fuchsiatrack.gateway.adapter import PlatformAdapter
from fuchsiatrack.model.routes import RouteTable

log = logging.getLogger(__name__)


class ConfigurationHolder:
    """Holds the newest configuration, which an older one never replaces.

    `changed` emits each configuration that comes into force.
    """

    def __init__(self, adapter: PlatformAdapter) -> None:
        self._adapter = adapter
        self._current: RouteTable | None = None
        self.changed: Subject[RouteTable] = Subject()

    @property
    def current(self) -> RouteTable | None:
        """The configuration in force, or None before the first one."""
        return self._current

    def apply_snapshot(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Apply the newest records of the stream."""
        for record in records:
            self.apply_record(record, context)

    def apply_record(self, record: CompactedRecord, context: ReadContext) -> None:
        """Apply one record."""
        if record.value is None:
            return
        try:
            table = self._adapter.decode_configuration(record)
        except ValueError as error:
            fields = {"offset": record.offset, "why": str(error)}
            log.warning("configuration rejected", extra=fields)
            return
        if table is None:
            return
        if self._current is not None and table.version <= self._current.version:
            fields = {"version": table.version, "in_force": self._current.version}
            log.info("older configuration ignored", extra=fields)
            return
        self._current = table
        fields = {"version": table.version, "offset": record.offset, "routes": len(table.routes)}
        log.info("configuration in force", extra=fields)
        if table.errors:
            fields = {"version": table.version, "count": len(table.errors), "why": table.errors[0]}
            log.warning("configuration has malformed parts", extra=fields)
        self.changed.on_next(table)


class DirectoryUpdater:
    """Updates the directory from the records in which servers register themselves."""

    def __init__(self, adapter: PlatformAdapter, directory: ServerDirectory) -> None:
        self._adapter = adapter
        self._directory = directory

    def apply_snapshot(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Replace the directory's entries by those in *records*.

        A malformed record leaves the entry that is known, as in `apply_record`.
        """
        entries = [
            self._decode(record) or self._directory.find(record.key)
            for record in records
            if record.value is not None
        ]
        self._directory.replace((entry for entry in entries if entry), context)

    def apply_record(self, record: CompactedRecord, context: ReadContext) -> None:
        """Apply one record."""
        if record.value is None:
            self._directory.remove(record.key, context)
            return
        entry = self._decode(record)
        if entry is not None:
            self._directory.put(entry, context)

    def _decode(self, record: CompactedRecord) -> ServerEntry | None:
        try:
            return self._adapter.decode_server(record)
        except ValueError as error:
            fields = {"key": record.key, "offset": record.offset, "why": str(error)}
            log.warning("server entry rejected", extra=fields)
            return None
