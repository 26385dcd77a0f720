"""The backend servers that the directory lists; it is a stream of the log service."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import logging
from collections.abc import Iterable, Iterator, Mapping

from reactivex.subject import Subject

from fuchsiatrack.control.compactedlog import ReadContext
from fuchsiatrack.directory.departurebudget import DepartureBudget
from fuchsiatrack.directory.evacuation import Evacuations
from fuchsiatrack.kernel.clock import Clock

# Entries of unlisted servers are kept so that their key ranges can still be released.
FORMER_ENTRIES_MAX = 200
# Limit on the servers that are remembered to have said that they leave.
DEPARTURES_MAX = 1_000
# How long an entry of a run that is known to be gone isn't believed after the log was restored from
# a copy: by then, a server that runs after all has written it again, and the platform has removed
# it otherwise.
DISBELIEF_MS = 10_000

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
    """The registration of a backend server; `slots` is how many requests it processes at once.

    It stays cold for `cold_for` milliseconds after it wrote the entry.
    """

    incarnation: ServerIncarnation
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warming_up: bool
    cold_for: int = dataclasses.field(default=0, compare=False)

    @property
    def id(self) -> str:
        """The id of the server."""
        return self.incarnation.server


class EntryState(enum.Enum):
    """What the directory knows of a server; the values are written to logs and metrics.

    An EXPIRED entry is missing from the log service since an outage, but still in use.  Operators
    evacuate the failure domain of an EVACUATED one, which is neither draining nor expired.
    """

    READY = "ready"
    DRAINING = "draining"
    EXPIRED = "expired"
    EVACUATED = "evacuated"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class _Departure:
    """Since when a listed server has been known to leave, and until when it may get requests.

    `state` is EXPIRED or DRAINING; times are in milliseconds.
    """

    state: EntryState
    noticed_at: int
    send_until: int


class ServerDirectory:
    """The listed backend servers.

    *budget* limits how long a server that leaves may get requests, and *evacuations* has the
    failure domains that are to get none, none by default.  `run` drops expired entries.
    `changed` emits the id of each server whose entry was added, updated or removed, or whose
    address turned out to belong to another server.
    """

    def __init__(
        self, clock: Clock, budget: DepartureBudget, evacuations: Evacuations | None = None
    ) -> None:
        self._clock = clock
        self._budget = budget
        self.evacuations = evacuations or Evacuations(clock)
        self._entries: dict[str, ServerEntry] = {}
        self._by_service: dict[str, tuple[ServerEntry, ...]] = {}
        self._departures: dict[str, _Departure] = {}
        self._expiry_scheduled = asyncio.Event()
        self._address_conflicts: dict[ServerIncarnation, str] = {}
        self._former_entries: dict[ServerIncarnation, ServerEntry] = {}
        # Until when each server that said that it leaves may get requests.
        self._announced: dict[ServerIncarnation, int] = {}
        # The latest runs that are gone, with the time of `_announced` if they had been leaving.
        self._gone: dict[ServerIncarnation, int | None] = {}
        # Entries that aren't believed, and until when.
        self._disbelieved: dict[str, tuple[ServerEntry, int]] = {}
        self.changed: Subject[str] = Subject()

    @property
    def entries(self) -> Mapping[str, ServerEntry]:
        """The entry of every listed server, by server id."""
        return self._entries

    def find(self, server: str) -> ServerEntry | None:
        """Return the entry of the server with id *server*, or None if it is not listed."""
        return self._entries.get(server)

    def is_listed(self, incarnation: ServerIncarnation) -> bool:
        """Return whether *incarnation* is listed."""
        entry = self._entries.get(incarnation.server)
        return entry is not None and entry.incarnation == incarnation

    def of_service(self, service: str) -> tuple[ServerEntry, ...]:
        """Return the listed servers of *service*, sorted by id."""
        return self._by_service.get(service, ())

    @property
    def announced_departures(self) -> tuple[ServerIncarnation, ...]:
        """The listed servers that said that they leave, latest last."""
        return tuple(filter(self.is_listed, self._announced))

    def record_leaving(self, incarnation: ServerIncarnation) -> None:
        """Record that *incarnation* said that it leaves, whatever its entry says now or later."""
        if incarnation in self._announced:
            return
        send_until = self._clock.now() + self._budget.send_time
        self._announced[incarnation] = send_until
        if len(self._announced) > DEPARTURES_MAX:
            del self._announced[next(iter(self._announced))]
        if not self.is_listed(incarnation):
            return
        server = incarnation.server
        log.info("server says that it leaves", extra={"server": server})
        known = self._departures.get(server)
        if known is not None and known.state is EntryState.EXPIRED:
            send_until = min(send_until, known.send_until)
            self._departures[server] = dataclasses.replace(known, send_until=send_until)
            self._expiry_scheduled.set()
            return
        self.put(self._entries[server], ReadContext())

    def record_address_conflict(self, entry: ServerEntry) -> None:
        """Record that another server responds at the address of *entry*."""
        if self._entries.get(entry.id) == entry and not self.has_address_conflict(entry):
            self._address_conflicts[entry.incarnation] = entry.address
            log.warning("address belongs to another server", extra=_log_fields(entry))
            self.changed.on_next(entry.id)

    def has_address_conflict(self, entry: ServerEntry) -> bool:
        """Return whether another server was found at the address of *entry*."""
        return self._address_conflicts.get(entry.incarnation) == entry.address

    def is_replaced(self, entry: ServerEntry) -> bool:
        """Return whether a later run, or another server at its address, has replaced *entry*.

        What is based on it may only cost an idempotent request a second send: entries are written
        by others, and the clocks of two VMs may differ.
        """
        current = self._entries.get(entry.id)
        if current is None:
            return False
        is_later = current.incarnation.started_at > entry.incarnation.started_at
        return is_later or self.has_address_conflict(entry)

    def accepts_requests(self, entry: ServerEntry) -> bool:
        """Return whether a request may be sent to the incarnation in *entry* now."""
        current = self._entries.get(entry.id)
        if current is None or current.incarnation != entry.incarnation:
            return False
        departure = self._departures.get(entry.id)
        in_time = departure is None or self._clock.now() < departure.send_until
        return (
            in_time
            and not self.has_address_conflict(current)
            and self.evacuations.accepts_requests(current.failure_domain)
        )

    def is_evacuated(self, entry: ServerEntry) -> bool:
        """Return whether the failure domain of *entry* is evacuated."""
        return self.evacuations.includes(entry.failure_domain)

    def state_of(self, entry: ServerEntry) -> EntryState:
        """Return the state of *entry*; GONE if the server has another incarnation or none."""
        current = self._entries.get(entry.id)
        if current is None or current.incarnation != entry.incarnation:
            return EntryState.GONE
        departure = self._departures.get(entry.id)
        if departure is not None:
            return departure.state
        return EntryState.EVACUATED if self.is_evacuated(current) else EntryState.READY

    def unavailable_for(self, server: str) -> int:
        """Return for how many milliseconds *server* has been draining, expired or evacuated."""
        departure, entry = self._departures.get(server), self._entries.get(server)
        if departure is not None:
            return self._clock.now() - departure.noticed_at
        return self.evacuations.lasting(entry.failure_domain) if entry else 0

    def count_states(self) -> Mapping[EntryState, int]:
        """Return the number of entries in each state."""
        return collections.Counter(map(self.state_of, self._entries.values()))

    def latest_entry(self, incarnation: ServerIncarnation) -> ServerEntry | None:
        """Return the latest entry of *incarnation*, even if it is no longer listed."""
        entry = self._entries.get(incarnation.server)
        if entry is not None and entry.incarnation == incarnation:
            return entry
        return self._former_entries.get(incarnation)

    def put(self, entry: ServerEntry, context: ReadContext) -> None:
        """Add or update the entry of a server."""
        self._disbelieved.pop(entry.id, None)
        self._gone.pop(entry.incarnation, None)
        if entry.incarnation in self._announced:
            entry = dataclasses.replace(entry, draining=True)
        old = self._entries.get(entry.id)
        self._update_departure(entry, old, context)
        if old == entry:
            return
        if old is not None and old.incarnation != entry.incarnation:
            self._keep_former(old)
            self._record_gone(old, None)
        self._entries[entry.id] = entry
        self._update_service_index({entry.service} | ({old.service} if old else set()))
        log.info("server listed", extra={**_log_fields(entry), "known_before": old is not None})
        self.changed.on_next(entry.id)

    def remove(self, server: str, context: ReadContext) -> None:
        """Remove the entry of *server*, which is no longer listed.

        An entry that expired during an outage of the log service is kept for a while, since the
        server may still be running.
        """
        self._disbelieved.pop(server, None)
        if server not in self._entries:
            return
        now = self._clock.now()
        send_until = self._budget.relist_deadline(context, now)
        if send_until <= now:
            self._drop(server)
            return
        known = self._departures.get(server)
        if known is not None and known.state is EntryState.EXPIRED:
            return
        if known is not None:
            send_until = min(send_until, known.send_until)
        self._departures[server] = _Departure(EntryState.EXPIRED, now, send_until)
        self._expiry_scheduled.set()
        fields = {"server": server, "kept_ms": send_until - now}
        log.info("server entry expired during a log outage", extra=fields)

    def replace(self, entries: Iterable[ServerEntry], context: ReadContext) -> None:
        """Replace all entries by *entries*; see `remove` for those that are missing.

        A log that was restored from a copy may list servers that have left, or that aren't leaving
        yet: what is known of their departure stays.
        """
        listed = {entry.id: entry for entry in entries}
        disbelieved = self._find_outdated(listed) if context.is_restored else {}
        for server in disbelieved:
            current = self._entries.get(server)
            if current is None:
                del listed[server]
            else:
                listed[server] = current
        for server in self._entries.keys() - listed.keys():
            self.remove(server, context)
        for entry in listed.values():
            self.put(entry, context)
        self._disbelieved = disbelieved
        self._expiry_scheduled.set()

    def _find_outdated(
        self, listed: Mapping[str, ServerEntry]
    ) -> dict[str, tuple[ServerEntry, int]]:
        """Return the entries of runs that are gone, and keep in mind which servers are leaving."""
        for server, departure in self._departures.items():
            if departure.state is EntryState.DRAINING:
                self._announced.setdefault(self._entries[server].incarnation, departure.send_until)
        believed_from = self._clock.now() + DISBELIEF_MS
        outdated = {
            server: (entry, believed_from)
            for server, entry in listed.items()
            if entry.incarnation in self._gone
        }
        for server, (entry, _) in outdated.items():
            log.info("entry of a former run ignored", extra={"server": server})
            send_until = self._gone[entry.incarnation]
            if send_until is not None:
                self._announced.setdefault(entry.incarnation, send_until)
        return outdated

    def expire(self) -> None:
        """Drop the entries that expired during an outage and were not registered again in time."""
        now = self._clock.now()
        for server in [name for name, drop_at in self._drop_times() if drop_at <= now]:
            self._drop(server)
        for entry, believed_from in tuple(self._disbelieved.values()):
            if believed_from <= now:
                self.put(entry, ReadContext())

    async def run(self) -> None:
        """Drop each expired entry when its time has come, until cancelled."""
        while True:
            self._expiry_scheduled.clear()
            times = [drop_at for _, drop_at in self._drop_times()]
            times += [believed_from for _, believed_from in self._disbelieved.values()]
            if not times:
                await self._expiry_scheduled.wait()
                continue
            await self._clock.sleep_until(min(times))
            self.expire()

    def _drop_times(self) -> Iterator[tuple[str, int]]:
        """Yield each expired server with the time when its entry is to be dropped."""
        for server, departure in self._departures.items():
            if departure.state is EntryState.EXPIRED:
                yield server, departure.send_until

    def _update_departure(
        self, entry: ServerEntry, old: ServerEntry | None, context: ReadContext
    ) -> None:
        """Record whether the listed server drains."""
        if not entry.draining:
            self._departures.pop(entry.id, None)
            return
        known = self._departures.get(entry.id)
        is_same_run = old is not None and old.incarnation == entry.incarnation
        now = self._clock.now()
        # A server that was not listed before may have been draining for any time.
        send_until = now if old is None else self._budget.drain_deadline(context, now)
        send_until = min(send_until, self._announced.get(entry.incarnation, send_until))
        if is_same_run and known is not None and known.state is EntryState.DRAINING:
            # The server says so in its responses as well as in its entry.
            now, send_until = known.noticed_at, min(send_until, known.send_until)
        self._departures[entry.id] = _Departure(EntryState.DRAINING, now, send_until)

    def _drop(self, server: str) -> None:
        unavailable_for = self.unavailable_for(server)
        departure = self._departures.pop(server, None)
        entry = self._entries.pop(server)
        self._record_gone(entry, departure)
        self._address_conflicts.pop(entry.incarnation, None)
        self._keep_former(entry)
        self._update_service_index({entry.service})
        fields = {"server": server, "service": entry.service, "unavailable_ms": unavailable_for}
        log.info("server gone", extra=fields)
        self.changed.on_next(server)

    def _record_gone(self, entry: ServerEntry, departure: _Departure | None) -> None:
        is_leaving = departure is not None and departure.state is EntryState.DRAINING
        self._gone[entry.incarnation] = departure.send_until if departure and is_leaving else None
        if len(self._gone) > DEPARTURES_MAX:
            del self._gone[next(iter(self._gone))]

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
