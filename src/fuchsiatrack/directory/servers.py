"""The backend servers that the directory service lists."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Iterable, Mapping

from reactivex.subject import Subject

from fuchsiatrack.kernel.clock import Clock

# How long entries are kept that lapsed while the directory service was away, in milliseconds:
# servers that are alive list themselves again within about two seconds of its return.
RELIST_TIME = 2_200
# Entries kept of servers that are gone, so that keys can still be taken back from them.
FORMER_MAX = 200

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ServerIncarnation:
    """One run of a server's process; `started_at` is the Unix time of its start in milliseconds.

    A server may start again under its old id; it then knows nothing of its earlier life.
    """

    server: str
    started_at: int


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """What a backend server announces of itself; `warming_up` tells whether it is still
    warming up.
    """

    incarnation: ServerIncarnation
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warming_up: bool

    @property
    def id(self) -> str:
        """The server's id."""
        return self.incarnation.server


class ServerDirectory:
    """The listed servers by id.

    `changed` emits the id of each server whose entry has changed.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, ServerEntry] = {}
        self._by_service: dict[str, tuple[ServerEntry, ...]] = {}
        self._lapsed: dict[str, int] = {}
        self._draining_since: dict[str, int] = {}
        self._address_conflicts: dict[ServerIncarnation, str] = {}
        self._former: dict[ServerIncarnation, ServerEntry] = {}
        self.changed: Subject[str] = Subject()

    @property
    def entries(self) -> Mapping[str, ServerEntry]:
        """Every listed server by id."""
        return self._entries

    def find(self, server: str) -> ServerEntry | None:
        """Return the entry of the server with id *server*."""
        return self._entries.get(server)

    def of_service(self, service: str) -> tuple[ServerEntry, ...]:
        """Return the listed servers of *service*, by id."""
        return self._by_service.get(service, ())

    def record_address_conflict(self, entry: ServerEntry) -> None:
        """Take in that another server answers at the address of *entry*."""
        if (
            self._entries.get(entry.id) == entry
            and entry.incarnation not in self._address_conflicts
        ):
            self._address_conflicts[entry.incarnation] = entry.address
            log.warning("address is another server's", extra=_describe(entry))
            self.changed.on_next(entry.id)

    def has_address_conflict(self, entry: ServerEntry) -> bool:
        """Tell whether another server was found at the address of *entry*."""
        return self._address_conflicts.get(entry.incarnation) == entry.address

    def has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Tell whether *incarnation* is certainly over.

        That is so when the server has started again, or a later one has its address: addresses
        are given to others only after their servers have ended.
        """
        entry = self._entries.get(incarnation.server)
        if entry is not None and entry.incarnation != incarnation:
            return entry.incarnation.started_at > incarnation.started_at
        known = entry or self.last_known(incarnation)
        if known is None:
            return False
        later = (other for other in self._entries.values() if other.address == known.address)
        return any(
            other.id != incarnation.server and other.incarnation.started_at > incarnation.started_at
            for other in later
        )

    def draining_for(self, server: str) -> int:
        """Return for how long *server* has been known to leave, in milliseconds; 0 if it stays."""
        since = self._draining_since.get(server)
        return 0 if since is None else self._clock.now() - since

    def last_known(self, incarnation: ServerIncarnation) -> ServerEntry | None:
        """Return the latest entry of a server that is no longer listed."""
        return self._former.get(incarnation)

    def put(self, entry: ServerEntry) -> None:
        """Take in what a server announces."""
        self._lapsed.pop(entry.id, None)
        old = self._entries.get(entry.id)
        if old == entry:
            return
        self._entries[entry.id] = entry
        if entry.draining:
            self._draining_since.setdefault(entry.id, self._clock.now())
        else:
            self._draining_since.pop(entry.id, None)
        self._index({entry.service} | ({old.service} if old else set()))
        log.info("server listed", extra={**_describe(entry), "known_before": old is not None})
        self.changed.on_next(entry.id)

    def remove(self, server: str, after_outage: bool) -> None:
        """Take in that *server* is no longer listed.

        An entry that lapsed during an outage of the directory service (*after_outage*) is
        kept for `RELIST_TIME`, since the server may be alive.
        """
        if server not in self._entries:
            return
        if after_outage:
            self._lapsed.setdefault(server, self._clock.now() + RELIST_TIME)
            log.info("entry lapsed in an outage", extra={"server": server})
            return
        self._drop(server)

    def replace(self, entries: Iterable[ServerEntry], after_outage: bool) -> None:
        """Take in a whole listing."""
        listed = {entry.id: entry for entry in entries}
        for server in self._entries.keys() - listed.keys():
            self.remove(server, after_outage)
        for entry in listed.values():
            self.put(entry)

    def expire(self) -> None:
        """Drop the entries that lapsed in an outage and have not come back."""
        now = self._clock.now()
        for server in [name for name, until in self._lapsed.items() if until <= now]:
            self._drop(server)

    def _drop(self, server: str) -> None:
        self._lapsed.pop(server, None)
        self._draining_since.pop(server, None)
        entry = self._entries.pop(server)
        self._address_conflicts.pop(entry.incarnation, None)
        self._remember(entry)
        self._index({entry.service})
        log.info("server gone", extra={"server": server, "service": entry.service})
        self.changed.on_next(server)

    def _remember(self, entry: ServerEntry) -> None:
        self._former[entry.incarnation] = entry
        if len(self._former) > FORMER_MAX:
            del self._former[next(iter(self._former))]

    def _index(self, services: set[str]) -> None:
        for service in services:
            self._by_service[service] = tuple(
                sorted(
                    (entry for entry in self._entries.values() if entry.service == service),
                    key=lambda entry: entry.id,
                )
            )


def _describe(entry: ServerEntry) -> dict[str, object]:
    """Return the fields of a log line about *entry*."""
    return {
        "server": entry.id,
        "service": entry.service,
        "address": entry.address,
        "born": entry.incarnation.started_at,
        "leaving": entry.draining,
    }
