"""Resolution of keys to their owners, with waits while a key moves."""

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

# Longest wait before the route lease is checked again when the owner is known.
LEASE_RECHECK_MS = 20


class OwnerResolver:
    """Resolves the keys of one service to their owners, and counts the requests sent there.

    Times are in milliseconds.
    """

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
        self._in_flight: collections.Counter[tuple[str, int]] = collections.Counter()
        self._may_run_until: dict[tuple[str, int], int] = {}
        self._request_counts: collections.Counter[str] = collections.Counter()
        self._counted_since = clock.now()
        self._timeouts: dict[str, dict[asyncio.Timeout, int]] = {}
        replica.applied.subscribe(self._expire_reassigned)

    async def resolve(self, key: str, deadline: int) -> Target:
        """Return the owner of *key*, waiting until *deadline* for one.

        An owner that does not check grants is returned only under a valid route lease.

        Raises RequestError if there is no owner in time.
        """
        while True:
            target = self._find_target(key)
            if target and (target.checks_grants or self._lease.is_valid()):
                return target
            time_left = deadline - self._clock.now()
            if time_left <= 0:
                raise RequestError(ErrorReason.NO_OWNER, retry_after_ms=1_000)
            await self._wait_for_record(key, min(time_left, LEASE_RECHECK_MS if target else 200))

    def request_started(self, target: Target) -> None:
        """Count a send to *target* that is about to begin."""
        self._in_flight[(target.partition, target.fence)] += 1
        self._request_counts[target.partition] += 1

    def request_finished(self, target: Target, may_have_run: bool) -> None:
        """Count the end of a send that `request_started` counted.

        If it *may_have_run* at a server that does not check grants, it counts as running there
        until the longest deadline of the service has passed.
        """
        ownership = (target.partition, target.fence)
        if may_have_run and not target.checks_grants:
            self._may_run_until[ownership] = self._clock.now() + self._max_request_time()
        self._in_flight[ownership] -= 1
        if not self._in_flight[ownership]:
            del self._in_flight[ownership]

    def register_timeout(self, target: Target, timeout: asyncio.Timeout) -> None:
        """Expire *timeout*, which limits a send to *target*, once its partition is reassigned."""
        self._timeouts.setdefault(target.partition, {})[timeout] = target.fence

    def unregister_timeout(self, target: Target, timeout: asyncio.Timeout) -> None:
        """Undo `register_timeout`."""
        timeouts = self._timeouts.get(target.partition, {})
        timeouts.pop(timeout, None)
        if not timeouts:
            self._timeouts.pop(target.partition, None)

    def is_reassigned(self, target: Target) -> bool:
        """Return whether the partition of *target* was reassigned after *target* was resolved."""
        owner = self._partition_owner(target.partition)
        return owner is not None and owner.fence != target.fence

    def _max_request_time(self) -> int:
        service = self._objects().services.get(self._service)
        return service.max_deadline if service else 0

    def _expire_reassigned(self, applied: AppliedRecord) -> None:
        if not isinstance(applied.record, Assign):
            return
        now = asyncio.get_running_loop().time()
        for assignment in applied.record.placed:
            for timeout, fence in tuple(self._timeouts.get(assignment.partition, {}).items()):
                # The fence of an assignment is the offset of its Assign record.
                if fence != applied.offset and not timeout.expired():
                    timeout.reschedule(now)

    def draining_partitions(self) -> Iterator[str]:
        """Yield the partitions with requests that may still run at a former or revoked owner."""
        now = self._clock.now()
        self._may_run_until = {
            ownership: end for ownership, end in self._may_run_until.items() if end > now
        }
        for partition, fence in {*self._in_flight, *self._may_run_until}:
            owner = self._partition_owner(partition)
            if owner is None or owner.fence != fence or owner.revoked:
                yield partition

    def pop_request_rates(self) -> dict[str, float]:
        """Return the requests per second of each partition since the last call."""
        now = self._clock.now()
        elapsed = max(1, now - self._counted_since) / 1_000
        rates = {name: count / elapsed for name, count in self._request_counts.items()}
        self._request_counts.clear()
        self._counted_since = now
        return rates

    async def _wait_for_record(self, key: str, timeout: int) -> None:
        applied = self._replica.state.applied
        await self._replica.wait_for(lambda: self._replica.state.applied != applied, timeout)

    def _partition_owner(self, partition: str) -> PartitionOwner | None:
        return self._replica.state.ownership.get(partition)

    def _find_target(self, key: str) -> Target | None:
        objects, state = self._objects(), self._replica.state
        key_range = objects.range_of(self._service, key)
        if key_range is None:
            return None
        partition = state.partition_of(slot_of(key_range, key), key)
        owner = self._partition_owner(partition)
        if owner is None or owner.revoked:
            return None
        server = objects.by_kind(BackendServer).get(owner.server)
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
