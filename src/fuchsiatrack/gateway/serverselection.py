"""Selection of the backend server for a request."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random
from collections.abc import Callable, Sequence

from fuchsiatrack.decisions.placement import Candidate, assumed_service_times, place
from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry, ServerIncarnation
from fuchsiatrack.gateway.serverstats import (
    INITIAL_SERVICE_TIME_MS,
    ServerStats,
    ServerStatsRegistry,
    mean_load,
)
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.ownershipcache import OwnershipCache
from fuchsiatrack.routing.errors import ErrorReason, RequestError

# Longest wait for a key that is moving between owners: a move takes as long as the requests that
# are still running at the old owner.
OWNER_WAIT_MS = 600
# Sent to callers while a key has no owner or a service has no server.
UNAVAILABLE_RETRY_AFTER_MS = 300


@dataclasses.dataclass(frozen=True)
class SelectionRequest:
    """Requirements of a request.

    `deadline` is a time of this daemon's clock, in milliseconds; `body_size` is in bytes.
    """

    service: str
    key: int | None
    body_size: int
    deadline: int
    excluded_servers: frozenset[str] = frozenset()


class ServerSelector(abc.ABC):
    """Selects among the listed servers of a service."""

    @abc.abstractmethod
    async def select(self, selection_request: SelectionRequest) -> ServerEntry:
        """Return the server for the next send; raise RequestError if none is found in time."""

    @abc.abstractmethod
    def is_current(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        """Return whether *entry*, selected earlier, may still get the request."""

    @abc.abstractmethod
    def is_lost(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        """Return whether *entry*, to which the request was sent, won't respond any more."""

    @abc.abstractmethod
    async def wait_for_change(self, selection_request: SelectionRequest, timeout: int) -> None:
        """Wait until another server may be the better choice, up to *timeout* milliseconds."""


class BalancedSelector(ServerSelector):
    """Places requests of services without keys by what is known of the servers.

    *limit_delay* returns for how long a server is known to take no request, in milliseconds, and
    *queue_length* how many requests of this daemon wait for it.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        stats: ServerStatsRegistry,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
        limit_delay: Callable[[ServerIncarnation], int],
        queue_length: Callable[[str], int] = lambda server: 0,
    ) -> None:
        self._limit_delay = limit_delay
        self._queue_length = queue_length
        self._directory = directory
        self._stats = stats
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng

    async def select(self, selection_request: SelectionRequest) -> ServerEntry:
        listed = self._directory.of_service(selection_request.service)
        available = [entry for entry in listed if is_available(self._directory, entry)]
        candidates = [
            entry for entry in available if entry.id not in selection_request.excluded_servers
        ]
        if not candidates:
            raise RequestError(ErrorReason.NO_SERVER, retry_after_ms=UNAVAILABLE_RETRY_AFTER_MS)
        known = [self._stats.get(entry.id, entry.slots) for entry in candidates]
        placement = place(self._describe_all(candidates, known), self._rng)
        return next(entry for entry in candidates if entry.id == placement.server)

    def is_current(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        current = self._directory.find(entry.id)
        return (
            current is not None
            and current.incarnation == entry.incarnation
            and is_available(self._directory, current)
        )

    def is_lost(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        return self._directory.is_replaced(entry)

    async def wait_for_change(self, selection_request: SelectionRequest, timeout: int) -> None:
        return

    def describe(self, entries: Sequence[ServerEntry]) -> list[Candidate]:
        """Return what is known of *entries*, which are of one service; change nothing."""
        return self._describe_all(entries, [self._stats.peek(e.id, e.slots) for e in entries])

    def _describe_all(
        self, entries: Sequence[ServerEntry], known: Sequence[ServerStats]
    ) -> list[Candidate]:
        """Return what is *known* of the servers of *entries*, which are of one service."""
        now = self._clock.now()
        usual_load = mean_load(stats.load for stats in known)
        service_times = assumed_service_times(
            [stats.observed_times for stats in known], INITIAL_SERVICE_TIME_MS
        )
        return [
            self._describe(entry, stats, service_time, usual_load * stats.slots, now)
            for entry, stats, service_time in zip(entries, known, service_times, strict=True)
        ]

    def _describe(
        self, entry: ServerEntry, stats: ServerStats, service_time: float, usual: float, now: int
    ) -> Candidate:
        return Candidate(
            server=entry.id,
            slots=stats.slots,
            service_time=service_time,
            requests=stats.estimated_requests(now, usual) + self._queue_length(entry.id),
            slowdown=stats.slowdown(now),
            failure_share=stats.failure_share(now),
            delay=self._limit_delay(entry.incarnation),
            is_warming_up=entry.warming_up,
            is_remote=entry.failure_domain != self._failure_domain,
            load_age=stats.load_age(now),
        )


class OwnerSelector(ServerSelector):
    """Selects the owner of the request's key."""

    def __init__(
        self, directory: ServerDirectory, ownership_cache: OwnershipCache, clock: Clock
    ) -> None:
        self._directory = directory
        self._ownership_cache = ownership_cache
        self._clock = clock
        self._changed = asyncio.Event()
        ownership_cache.changed.subscribe(lambda service: self._changed.set())
        directory.changed.subscribe(lambda server: self._changed.set())
        directory.evacuations.changed.subscribe(lambda domain: self._changed.set())

    async def select(self, selection_request: SelectionRequest) -> ServerEntry:
        if selection_request.key is None:
            raise RequestError(ErrorReason.NO_KEY)
        wait_deadline = min(
            selection_request.deadline,
            self.wait_deadline(selection_request.service, selection_request.key),
        )
        while True:
            entry = self.find_owner(selection_request.service, selection_request.key)
            if entry is not None:
                return entry
            if not self.has_available_server(selection_request.service):
                raise RequestError(ErrorReason.NO_SERVER, retry_after_ms=UNAVAILABLE_RETRY_AFTER_MS)
            remaining = wait_deadline - self._clock.now()
            if remaining <= 0:
                raise RequestError(ErrorReason.NO_OWNER, retry_after_ms=UNAVAILABLE_RETRY_AFTER_MS)
            await self._wait_for_change(remaining)

    def is_current(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        return (
            selection_request.key is not None
            and self.find_owner(selection_request.service, selection_request.key) == entry
        )

    def is_lost(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        """Return whether *entry* has been replaced, or another server owns the key by now.

        A server responds to what it runs before it gives up the key.
        """
        if self._directory.is_replaced(entry):
            return True
        owned_range = self._ownership_cache.find(selection_request.service).find(
            selection_request.key
        )
        is_settled = owned_range is not None and not owned_range.is_moving
        return is_settled and owned_range.owner.server != entry.id

    async def wait_for_change(self, selection_request: SelectionRequest, timeout: int) -> None:
        await self._wait_for_change(timeout)

    def wait_deadline(self, service: str, key: int) -> int:
        """Return the time until which to wait for an owner.

        A move that has already taken longer than `OWNER_WAIT_MS` may take seconds more.
        """
        owned_range = self._ownership_cache.find(service).find(key)
        if owned_range is None or not owned_range.is_moving:
            return self._clock.now() + OWNER_WAIT_MS
        return self._ownership_cache.moving_since(service, owned_range) + OWNER_WAIT_MS

    def find_owner(self, service: str, key: int) -> ServerEntry | None:
        """Return the server to which requests for *key* may go now, None if there is none."""
        owned_range = self._ownership_cache.find(service).find(key)
        if owned_range is None or owned_range.is_moving:
            return None
        entry = self._directory.find(owned_range.owner.server)
        if entry is None or entry.incarnation != owned_range.owner or entry.service != service:
            return None
        if self._directory.is_evacuated(entry) and not self.has_available_server(service):
            # Its keys can't move.
            return None
        return entry if self._directory.accepts_requests(entry) else None

    def has_available_server(self, service: str) -> bool:
        """Return whether any server may become the owner of keys of *service*."""
        listed = self._directory.of_service(service)
        return any(is_available(self._directory, entry) for entry in listed)

    async def _wait_for_change(self, timeout: int) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(timeout / 1_000):
                await self._changed.wait()
        except TimeoutError:
            return


def is_available(directory: ServerDirectory, entry: ServerEntry) -> bool:
    """Return whether *entry* may get requests without a key, or become the owner of keys."""
    return (
        not entry.draining
        and not directory.is_evacuated(entry)
        and directory.accepts_requests(entry)
    )
