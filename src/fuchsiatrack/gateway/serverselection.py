"""Which backend server gets a request."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random

from fuchsiatrack.directory.servers import ServerDirectory, ServerEntry
from fuchsiatrack.gateway.serverstats import ServerStatsRegistry
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.ownershipcache import OwnershipCache
from fuchsiatrack.routing.errors import ErrorReason, RequestError

# Longest wait for a key that is between two owners, in milliseconds: a hand-over takes as long
# as the requests that still run at the old owner.
OWNER_WAIT = 600
# How long an owner that leaves still gets requests for its keys, in milliseconds: it serves for
# two seconds after it said so, and the move of its keys takes much less.
DRAINING_MAX = 1_500
# When a caller may come back while a key has no owner, in milliseconds.
OWNER_RETRY_AFTER = 300
# Added to the expected time of a server in another failure domain, in milliseconds for each
# kilobyte of the request and its answer, since traffic between failure domains is paid for: a
# kilobyte costs about as much as three milliseconds of an answer that counts for 300.
FOREIGN_COST_PER_KB = 3.0
# Added for the longer way, in milliseconds.
FOREIGN_COST = 2.0


@dataclasses.dataclass(frozen=True)
class SelectionRequest:
    """What a request needs of a server; `deadline` is a moment of the clock."""

    service: str
    key: int | None
    body_size: int
    deadline: int
    avoid: frozenset[str] = frozenset()


class ServerSelector(abc.ABC):
    """Chooses among the listed servers of a service."""

    @abc.abstractmethod
    async def select(self, selection_request: SelectionRequest) -> ServerEntry:
        """Return the server for the next send; raise RequestError when there is none in time."""

    @abc.abstractmethod
    def is_current(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        """Tell whether *entry*, which was chosen a while ago, may still get the request."""

    @abc.abstractmethod
    async def wait_for_change(self, selection_request: SelectionRequest, timeout: int) -> None:
        """Wait until another choice may be better, for at most *timeout* milliseconds."""


class BalancedSelector(ServerSelector):
    """The server that should answer first, for services whose servers are alike."""

    def __init__(
        self,
        directory: ServerDirectory,
        stats: ServerStatsRegistry,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._stats = stats
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng

    async def select(self, selection_request: SelectionRequest) -> ServerEntry:
        listed = self._directory.of_service(selection_request.service)
        ready = [entry for entry in listed if self._may_serve(entry)]
        usable = [entry for entry in ready if entry.id not in selection_request.avoid]
        if not usable:
            raise RequestError(ErrorReason.NO_SERVER, retry_after=OWNER_RETRY_AFTER)
        return min(usable, key=lambda entry: self._cost(entry, selection_request))

    def is_current(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        found = self._directory.find(entry.id)
        return (
            found is not None and found.incarnation == entry.incarnation and self._may_serve(found)
        )

    async def wait_for_change(self, selection_request: SelectionRequest, timeout: int) -> None:
        return

    def _may_serve(self, entry: ServerEntry) -> bool:
        return not entry.draining and not self._directory.has_address_conflict(entry)

    def _cost(self, entry: ServerEntry, selection_request: SelectionRequest) -> float:
        stats = self._stats.get(entry.id, entry.slots)
        cost = stats.expected_time(self._clock.now()) * (2.0 if entry.warming_up else 1.0)
        if entry.failure_domain != self._failure_domain:
            size = selection_request.body_size + self._stats.answer_size(selection_request.service)
            cost += FOREIGN_COST + FOREIGN_COST_PER_KB * size / 1_024
        # Daemons that know the same would otherwise all choose the same server.
        return cost * self._rng.uniform(0.85, 1.15)


class OwnerSelector(ServerSelector):
    """The owner of the request's key."""

    def __init__(
        self, directory: ServerDirectory, ownership_cache: OwnershipCache, clock: Clock
    ) -> None:
        self._directory = directory
        self._ownership_cache = ownership_cache
        self._clock = clock
        self._changed = asyncio.Event()
        ownership_cache.changed.subscribe(lambda service: self._changed.set())
        directory.changed.subscribe(lambda server: self._changed.set())

    async def select(self, selection_request: SelectionRequest) -> ServerEntry:
        if selection_request.key is None:
            raise RequestError(ErrorReason.NO_KEY)
        limit = min(
            selection_request.deadline,
            self._wait_until(selection_request.service, selection_request.key),
        )
        while True:
            entry = self._owner(selection_request.service, selection_request.key)
            if entry is not None:
                return entry
            left = limit - self._clock.now()
            if left <= 0:
                raise RequestError(ErrorReason.NO_OWNER, retry_after=OWNER_RETRY_AFTER)
            await self._wait_for_change(left)

    def is_current(self, entry: ServerEntry, selection_request: SelectionRequest) -> bool:
        return (
            selection_request.key is not None
            and self._owner(selection_request.service, selection_request.key) == entry
        )

    async def wait_for_change(self, selection_request: SelectionRequest, timeout: int) -> None:
        await self._wait_for_change(timeout)

    def _wait_until(self, service: str, key: int) -> int:
        """Return how long waiting makes sense; a move that drags on may take seconds more."""
        owned = self._ownership_cache.find(service).find(key)
        if owned is None or not owned.is_moving:
            return self._clock.now() + OWNER_WAIT
        return self._ownership_cache.moving_since(service, owned) + OWNER_WAIT

    def _owner(self, service: str, key: int) -> ServerEntry | None:
        owned = self._ownership_cache.find(service).find(key)
        if owned is None or owned.is_moving:
            return None
        entry = self._directory.find(owned.owner.server)
        if entry is None or entry.incarnation != owned.owner or entry.service != service:
            return None
        if self._directory.has_address_conflict(entry):
            return None
        return entry if self._directory.draining_for(entry.id) < DRAINING_MAX else None

    async def _wait_for_change(self, timeout: int) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(timeout / 1_000):
                await self._changed.wait()
        except TimeoutError:
            return
