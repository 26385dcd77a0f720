"""The configuration in force and the listed servers, updated from the log."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

from reactivex.subject import Subject

from fuchsiatrack.control.compactedlog import CompactedRecord, ReadContext
from fuchsiatrack.control.readdelay import ReadDelay
from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry
from fuchsiatrack.gateway.adapter import PlatformAdapter
from fuchsiatrack.model.routes import RouteTable

log = logging.getLogger(__name__)


class ConfigurationHolder:
    """Holds the newest configuration, which an older one never replaces.

    A configuration that may come into force later than *apply_time* milliseconds after its
    acknowledgement, by *read_delay*, is reported in the log.  Without a delay none is.
    `changed` emits each configuration that comes into force.
    """

    def __init__(
        self, adapter: PlatformAdapter, apply_time: int = 0, read_delay: ReadDelay | None = None
    ) -> None:
        self._adapter = adapter
        self._apply_time = apply_time
        self._read_delay = read_delay
        self._current: RouteTable | None = None
        # Bound on the delay of the configuration in force, in milliseconds, 0 if it isn't known.
        self.delay_bound = 0
        self.changed: Subject[RouteTable] = Subject()

    @property
    def current(self) -> RouteTable | None:
        """The configuration in force, or None before the first one."""
        return self._current

    def apply_records(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Apply the valid record with the greatest version.

        The others aren't decoded further, which takes long for large configurations.
        """
        for version, record in self._latest_first(records):
            if self._current is not None and version <= self._current.version:
                fields = {"version": version, "in_force": self._current.version}
                log.info("older configuration ignored", extra=fields)
                return
            if self._apply(record):
                return

    def _latest_first(
        self, records: Iterable[CompactedRecord]
    ) -> list[tuple[int, CompactedRecord]]:
        """Return the configurations among *records* with their versions, the greatest first."""
        versions = []
        for record in records:
            try:
                version = self._adapter.decode_configuration_version(record)
            except ValueError as error:
                self._record_rejected(record, error)
                continue
            if version is not None:
                versions.append((version, record))
        return sorted(versions, key=lambda item: item[0], reverse=True)

    def _apply(self, record: CompactedRecord) -> bool:
        """Bring the configuration in *record* into force; return whether it is valid."""
        try:
            table = self._adapter.decode_configuration(record)
        except ValueError as error:
            self._record_rejected(record, error)
            return False
        self._current = table
        fields = {"version": table.version, "offset": record.offset, "routes": len(table.routes)}
        log.info("configuration in force", extra=fields)
        self._check_delay(table, len(record.value or b""))
        if table.errors:
            fields = {"version": table.version, "count": len(table.errors), "why": table.errors[0]}
            log.warning("configuration has malformed parts", extra=fields)
        self.changed.on_next(table)
        return True

    def _check_delay(self, table: RouteTable, size: int) -> None:
        """Report a configuration of *size* bytes that this daemon's link may bring too late."""
        if self._read_delay is None:
            return
        self.delay_bound = self._read_delay.bound(size)
        if self.delay_bound > self._apply_time:
            fields = {
                "version": table.version,
                "bytes": size,
                "delay_ms": self.delay_bound,
                "allowed_ms": self._apply_time,
            }
            log.warning("configuration may come into force too late", extra=fields)

    def _record_rejected(self, record: CompactedRecord, error: ValueError) -> None:
        fields = {"offset": record.offset, "why": str(error)}
        log.warning("configuration rejected", extra=fields)


class EvacuationUpdater:
    """Updates the evacuated failure domains of *directory* from the stream of configurations."""

    def __init__(self, adapter: PlatformAdapter, directory: ServerDirectory) -> None:
        self._adapter = adapter
        self._directory = directory
        self._evacuations = directory.evacuations

    def apply_snapshot(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Evacuate the domains in *records* and no others; see `Evacuations.replace`."""
        before = {domain: self._evacuations.lasting(domain) for domain in self._evacuations.domains}
        decoded = self._decode(records)
        for domain, record in decoded.items():
            if record.value is None:
                self._evacuations.end(domain)
        listed = [domain for domain, record in decoded.items() if record.value is not None]
        self._evacuations.replace(listed, context)
        self._report(before)

    def apply_records(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Apply the newest record of each domain in *records*."""
        before = {domain: self._evacuations.lasting(domain) for domain in self._evacuations.domains}
        for domain, record in self._decode(records).items():
            if record.value is None:
                self._evacuations.end(domain)
            else:
                self._evacuations.begin(domain, context)
        self._report(before)

    def expire(self) -> None:
        """End the evacuations that weren't written again in time; see `Evacuations.expire`."""
        before = {domain: self._evacuations.lasting(domain) for domain in self._evacuations.domains}
        self._evacuations.expire()
        self._report(before)

    def _decode(self, records: Iterable[CompactedRecord]) -> dict[str, CompactedRecord]:
        """Return the newest record of each domain that *records* name."""
        newest = {}
        for record in records:
            try:
                domain = self._adapter.decode_evacuation(record)
            except ValueError as error:
                fields = {"offset": record.offset, "why": str(error)}
                log.warning("evacuation rejected", extra=fields)
                continue
            if domain is not None:
                newest[domain] = record
        return newest

    def _report(self, before: Mapping[str, int]) -> None:
        """Report what has begun or ended; *before* has how long each domain was evacuated."""
        now = self._evacuations.domains
        for domain in sorted(now - before.keys()):
            log.warning("evacuation began", extra=self._log_fields(domain))
        for domain in sorted(before.keys() - now):
            fields = {**self._log_fields(domain), "lasted_ms": before[domain]}
            log.warning("evacuation ended", extra=fields)

    def _log_fields(self, domain: str) -> dict[str, object]:
        entries = self._directory.entries.values()
        inside = [entry.service for entry in entries if entry.failure_domain == domain]
        outside = {entry.service for entry in entries if not self._directory.is_evacuated(entry)}
        return {
            "domain": domain,
            "servers": len(inside),
            "services": len(set(inside)),
            "services_without_server": len(set(inside) - outside),
        }


class DirectoryUpdater:
    """Updates the directory from the records in which servers register themselves.

    *record_entry* is called with each valid entry before the directory has it.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        directory: ServerDirectory,
        record_entry: Callable[[ServerEntry], None] = lambda entry: None,
    ) -> None:
        self._adapter = adapter
        self._directory = directory
        self._record_entry = record_entry

    def apply_snapshot(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Replace the directory's entries by those in *records*.

        A malformed record leaves the entry that is known, as in `apply_records`.
        """
        entries = [
            self._decode(record) or self._directory.find(record.key)
            for record in records
            if record.value is not None
        ]
        self._directory.replace((entry for entry in entries if entry), context)

    def apply_records(self, records: tuple[CompactedRecord, ...], context: ReadContext) -> None:
        """Apply *records* in their order."""
        for record in records:
            self._apply(record, context)

    def _apply(self, record: CompactedRecord, context: ReadContext) -> None:
        if record.value is None:
            self._directory.remove(record.key, context)
            return
        entry = self._decode(record)
        if entry is not None:
            self._directory.put(entry, context)

    def _decode(self, record: CompactedRecord) -> ServerEntry | None:
        try:
            entry = self._adapter.decode_server(record)
        except ValueError as error:
            fields = {"key": record.key, "offset": record.offset, "why": str(error)}
            log.warning("server entry rejected", extra=fields)
            return None
        self._record_entry(entry)
        return entry
