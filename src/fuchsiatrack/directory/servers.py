"""The backend servers that the directory lists; it is a stream of the log service."""

from __future__ import annotations

import collections
import dataclasses
import enum
import logging
from collections.abc import Iterable, Mapping

from reactivex.subject import Subject

from fuchsiatrack.kernel.clock import Clock

# Running servers register again within about 2 s after the log service comes back.
RELIST_TIMEOUT_MS = 2_200
# Entries of unlisted servers are kept so that their key ranges can still be released.
FORMER_ENTRIES_MAX = 200

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ServerIncarnation:
    """One run of a server process; `started_at` is its start as Unix time in milliseconds.

    A server may restart under the same id, without any state of its earlier incarnation.
    """

    server: str
    started_at: int


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """The registration of a backend server; `slots` is how many requests it processes at once."""

    incarnation: ServerIncarnation
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warming_up: bool

    @property
    def id(self) -> str:
        """The id of the server."""
        return self.incarnation.server


class EntryState(enum.Enum):
    """What the directory knows of a server; the values are written to logs and metrics.

    An EXPIRED entry is missing from the log service since an outage, but still in use.
    """

    READY = "ready"
    DRAINING = "draining"
    EXPIRED = "expired"
    GONE = "gone"


class ServerDirectory:
    """The listed backend servers.

    `changed` emits the id of each server whose entry was added, updated or removed, or whose
    address turned out to belong to another server.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, ServerEntry] = {}
        self._by_service: dict[str, tuple[ServerEntry, ...]] = {}
        self._drop_times: dict[str, int] = {}
        self._expired_since: dict[str, int] = {}
        self._draining_since: dict[str, int] = {}
        self._address_conflicts: dict[ServerIncarnation, str] = {}
        self._former_entries: dict[ServerIncarnation, ServerEntry] = {}
        self.changed: Subject[str] = Subject()

    @property
    def entries(self) -> Mapping[str, ServerEntry]:
        """The entry of every listed server, by server id."""
        return self._entries

    def find(self, server: str) -> ServerEntry | None:
        """Return the entry of the server with id *server*, or None if it is not listed."""
        return self._entries.get(server)

    def of_service(self, service: str) -> tuple[ServerEntry, ...]:
        """Return the listed servers of *service*, sorted by id."""
        return self._by_service.get(service, ())

    def record_address_conflict(self, entry: ServerEntry) -> None:
        """Record that another server responds at the address of *entry*."""
        if (
            self._entries.get(entry.id) == entry
            and entry.incarnation not in self._address_conflicts
        ):
            self._address_conflicts[entry.incarnation] = entry.address
            log.warning("address belongs to another server", extra=_log_fields(entry))
            self.changed.on_next(entry.id)

    def has_address_conflict(self, entry: ServerEntry) -> bool:
        """Return whether another server was found at the address of *entry*."""
        return self._address_conflicts.get(entry.incarnation) == entry.address

    def has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Return whether *incarnation* has certainly ended.

        It has when the server was restarted, or when a server started later has its address:
        an address is reused only after its server has ended.
        """
        entry = self._entries.get(incarnation.server)
        if entry is not None and entry.incarnation != incarnation:
            return entry.incarnation.started_at > incarnation.started_at
        known = entry or self.last_known(incarnation)
        if known is None:
            return False
        same_address = (other for other in self._entries.values() if other.address == known.address)
        return any(
            other.id != incarnation.server and other.incarnation.started_at > incarnation.started_at
            for other in same_address
        )

    def draining_for(self, server: str) -> int:
        """Return for how many milliseconds *server* has been draining, 0 if it is not."""
        since = self._draining_since.get(server)
        return 0 if since is None else self._clock.now() - since

    def state_of(self, entry: ServerEntry) -> EntryState:
        """Return the state of *entry*; GONE if the server has another incarnation or none."""
        current = self._entries.get(entry.id)
        if current is None or current.incarnation != entry.incarnation:
            return EntryState.GONE
        if entry.id in self._expired_since:
            return EntryState.EXPIRED
        return EntryState.DRAINING if current.draining else EntryState.READY

    def unavailable_for(self, server: str) -> int:
        """Return for how many milliseconds *server* has been draining or expired, 0 if neither."""
        since = (self._draining_since.get(server), self._expired_since.get(server))
        return max((self._clock.now() - start for start in since if start is not None), default=0)

    def count_states(self) -> Mapping[EntryState, int]:
        """Return the number of entries in each state."""
        return collections.Counter(map(self.state_of, self._entries.values()))

    def last_known(self, incarnation: ServerIncarnation) -> ServerEntry | None:
        """Return the last entry of *incarnation*, which is no longer listed, or None."""
        return self._former_entries.get(incarnation)

    def put(self, entry: ServerEntry) -> None:
        """Add or update the entry of a server."""
        self._drop_times.pop(entry.id, None)
        self._expired_since.pop(entry.id, None)
        old = self._entries.get(entry.id)
        if old == entry:
            return
        self._entries[entry.id] = entry
        if entry.draining:
            self._draining_since.setdefault(entry.id, self._clock.now())
        else:
            self._draining_since.pop(entry.id, None)
        self._update_service_index({entry.service} | ({old.service} if old else set()))
        log.info("server listed", extra={**_log_fields(entry), "known_before": old is not None})
        self.changed.on_next(entry.id)

    def remove(self, server: str, after_outage: bool) -> None:
        """Remove the entry of *server*, which is no longer listed.

        With *after_outage*, the entry expired during an outage of the log service. It is then
        kept for `RELIST_TIMEOUT_MS`, since the server may still be running.
        """
        if server not in self._entries:
            return
        if after_outage:
            now = self._clock.now()
            self._expired_since.setdefault(server, now)
            self._drop_times.setdefault(server, now + RELIST_TIMEOUT_MS)
            log.info("server entry expired during a log outage", extra={"server": server})
            return
        self._drop(server)

    def replace(self, entries: Iterable[ServerEntry], after_outage: bool) -> None:
        """Replace all entries by *entries*; see `remove` for *after_outage*."""
        listed = {entry.id: entry for entry in entries}
        for server in self._entries.keys() - listed.keys():
            self.remove(server, after_outage)
        for entry in listed.values():
            self.put(entry)

    def expire(self) -> None:
        """Drop the entries that expired during an outage and were not registered again in time."""
        now = self._clock.now()
        for server in [name for name, drop_time in self._drop_times.items() if drop_time <= now]:
            self._drop(server)

    def _drop(self, server: str) -> None:
        unavailable_for = self.unavailable_for(server)
        self._drop_times.pop(server, None)
        self._expired_since.pop(server, None)
        self._draining_since.pop(server, None)
        entry = self._entries.pop(server)
        self._address_conflicts.pop(entry.incarnation, None)
        self._keep_former(entry)
        self._update_service_index({entry.service})
        fields = {"server": server, "service": entry.service, "unavailable_ms": unavailable_for}
        log.info("server gone", extra=fields)
        self.changed.on_next(server)

    def _keep_former(self, entry: ServerEntry) -> None:
        self._former_entries[entry.incarnation] = entry
        if len(self._former_entries) > FORMER_ENTRIES_MAX:
            del self._former_entries[next(iter(self._former_entries))]

    def _update_service_index(self, services: set[str]) -> None:
        for service in services:
            self._by_service[service] = tuple(
                sorted(
                    (entry for entry in self._entries.values() if entry.service == service),
                    key=lambda entry: entry.id,
                )
            )


def _log_fields(entry: ServerEntry) -> dict[str, object]:
    """Return the `extra` fields of log messages about *entry*."""
    return {
        "server": entry.id,
        "service": entry.service,
        "address": entry.address,
        "born": entry.incarnation.started_at,
        "leaving": entry.draining,
    }
