"""Finding the owner of a key, and waiting through a move."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Iterator

from fuchsiatrack.control.records import Assign
from fuchsiatrack.control.replica import AppliedRecord, StateReplica
from fuchsiatrack.control.routelease import RouteLeaseClient
from fuchsiatrack.control.state import PartitionOwner, ShardState
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.objects import BackendServer
from fuchsiatrack.model.objectset import ObjectSet, slot_of
from fuchsiatrack.routing.connectionpool import Target
from fuchsiatrack.routing.errors import ErrorReason, RequestError

LEASE_WAIT = 20


class OwnerResolver:
    """Knows where the keys of one service are.  Times are in milliseconds."""

    def __init__(
        self,
        service: str,
        objects: Callable[[], ObjectSet],
        replica: StateReplica[ShardState],
        lease: RouteLeaseClient,
        clock: Clock,
    ) -> None:
        self._service = service
        self._objects = objects
        self._replica = replica
        self._lease = lease
        self._clock = clock
        self._running: collections.Counter[tuple[str, int]] = collections.Counter()
        self._doubts: dict[tuple[str, int], int] = {}
        self._sent: collections.Counter[str] = collections.Counter()
        self._sent_since = clock.now()
        self._scopes: dict[str, dict[asyncio.Timeout, int]] = {}
        replica.applied.subscribe(self._end_superseded)

    async def locate(self, key: str, deadline: int) -> Target:
        """Return the owner of *key*, waiting until *deadline* for one.

        Raises RequestError.
        """
        while True:
            target = self._find(key)
            if target and (target.checks_grants or self._lease.is_valid()):
                return target
            left = deadline - self._clock.now()
            if left <= 0:
                raise RequestError(ErrorReason.NO_OWNER, retry_after=1_000)
            await self._wait(key, min(left, LEASE_WAIT if target else 200))

    def request_started(self, target: Target) -> None:
        """Count a request that is being sent to *target*."""
        self._running[(target.partition, target.fence)] += 1
        self._sent[target.partition] += 1

    def request_finished(self, target: Target, unsure: bool) -> None:
        """Count the end of a request that `request_started` counted.

        One that ended *unsure* at a server that does not check grants may still be running there.
        """
        counted = (target.partition, target.fence)
        if unsure and not target.checks_grants:
            self._doubts[counted] = self._clock.now() + self._settle_time()
        self._running[counted] -= 1
        if not self._running[counted]:
            del self._running[counted]

    def watch(self, target: Target, scope: asyncio.Timeout) -> None:
        """End the attempt *scope* as soon as its partition has another owner."""
        self._scopes.setdefault(target.partition, {})[scope] = target.fence

    def unwatch(self, target: Target, scope: asyncio.Timeout) -> None:
        """Forget an attempt that `watch` took in."""
        watched = self._scopes.get(target.partition, {})
        watched.pop(scope, None)
        if not watched:
            self._scopes.pop(target.partition, None)

    def is_superseded(self, target: Target) -> bool:
        """Tell whether the partition of *target* has been given anew since it was chosen."""
        owner = self._owner(target.partition)
        return owner is not None and owner.fence != target.fence

    def _settle_time(self) -> int:
        service = self._objects().services.get(self._service)
        return service.max_deadline if service else 0

    def _end_superseded(self, applied: AppliedRecord) -> None:
        if not isinstance(applied.record, Assign):
            return
        now = asyncio.get_running_loop().time()
        for placed in applied.record.placed:
            for scope, fence in tuple(self._scopes.get(placed.partition, {}).items()):
                if fence != applied.offset and not scope.expired():
                    scope.reschedule(now)

    def draining_partitions(self) -> Iterator[str]:
        """Yield partitions with requests in flight to an owner that is leaving or has left."""
        now = self._clock.now()
        self._doubts = {counted: end for counted, end in self._doubts.items() if end > now}
        for partition, fence in {*self._running, *self._doubts}:
            owner = self._owner(partition)
            if owner is None or owner.fence != fence or owner.revoked:
                yield partition

    def pop_request_rates(self) -> dict[str, float]:
        """Return the requests a second by partition since the last call."""
        now = self._clock.now()
        elapsed = max(1, now - self._sent_since) / 1_000
        load = {name: count / elapsed for name, count in self._sent.items()}
        self._sent.clear()
        self._sent_since = now
        return load

    async def _wait(self, key: str, timeout: int) -> None:
        applied = self._replica.state.applied
        await self._replica.wait_for(lambda: self._replica.state.applied != applied, timeout)

    def _owner(self, partition: str) -> PartitionOwner | None:
        return self._replica.state.ownership.get(partition)

    def _find(self, key: str) -> Target | None:
        objects, state = self._objects(), self._replica.state
        key_range = objects.range_of(self._service, key)
        if key_range is None:
            return None
        partition = state.partition_of(slot_of(key_range, key), key)
        owner = self._owner(partition)
        if owner is None or owner.revoked:
            return None
        server = objects.of(BackendServer).get(owner.server)
        if server is None:
            return None
        return Target(
            server.name,
            server.address,
            server.connections,
            partition,
            owner.fence,
            server.checks_grants,
        )
