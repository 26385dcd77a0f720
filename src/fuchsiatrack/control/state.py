"""The replicated state of a shard, built by replay of its stream.

A shard is the ownership of one keyed service, or the configuration; it has one stream and one
leader.

Every daemon that applies the same records reaches the same state.  A record that refers to a
superseded term or revision, or duplicates an earlier record, changes nothing.
"""

from __future__ import annotations

import abc
import dataclasses
import functools
from typing import Any

from pydantic import TypeAdapter

from fuchsiatrack.control.records import (
    Accept,
    Assign,
    Claim,
    Daemon,
    Merge,
    Move,
    Publish,
    Record,
    RecordId,
    Reject,
    Resign,
    Snapshot,
    Split,
    Voters,
)
from fuchsiatrack.model.objectset import (
    ObjectSet,
    hot_partition,
    key_of_hot_partition,
    slot_of_hot_partition,
)

# A writer's sequence is no longer kept for deduplication this many records after its last record.
MAX_WRITER_AGE_RECORDS = 20_000
# Accepted and rejected publishes that are kept.
MAX_DECISIONS = 200


@dataclasses.dataclass(frozen=True)
class PartitionOwner:
    """The owner of a partition.

    `fence` is the offset of the record that assigned it.  `revoked` is the offset of the record
    that announced its move, 0 while it does not move; `target` is the server that it moves to.
    """

    server: str
    fence: int
    revoked: int = 0
    target: str = ""


@dataclasses.dataclass(frozen=True)
class Decision:
    """Decision on a publish; `accepted_at` is the offset of its `Accept`, 0 if it was rejected."""

    publish: int
    base: int
    operator: str
    digest: str
    accepted_at: int
    reasons: tuple[str, ...] = ()


class ReplicatedState(abc.ABC):
    """State that is built by applying the records of a stream in order.

    `applied` is the offset of the last record, void ones included.
    """

    def __init__(self) -> None:
        self.applied = 0
        self._writers: dict[str, tuple[int, int]] = {}

    def apply(self, offset: int, record: Record) -> bool:
        """Apply the record at *offset*; return False if it is void."""
        self.applied = offset
        if self._is_duplicate(offset, record.id):
            return False
        return self._apply(offset, record)

    @abc.abstractmethod
    def _apply(self, offset: int, record: Record) -> bool:
        """Apply a record that is no duplicate; return False if it is void."""

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible data for a snapshot."""

    @abc.abstractmethod
    def load(self, data: dict[str, Any], as_of: int) -> None:
        """Replace the state with snapshot *data* taken after the record at offset *as_of*."""

    def _is_duplicate(self, offset: int, record_id: RecordId) -> bool:
        last, _ = self._writers.get(record_id.writer, (0, 0))
        if record_id.sequence <= last:
            return True
        self._writers.pop(record_id.writer, None)
        self._writers[record_id.writer] = (record_id.sequence, offset)
        while next(iter(self._writers.values()))[1] < offset - MAX_WRITER_AGE_RECORDS:
            del self._writers[next(iter(self._writers))]
        return False


@dataclasses.dataclass
class ShardData:
    """The part of a shard's state that snapshots contain."""

    term: int = 0
    leader: Daemon | None = None
    resigned: bool = False
    after_resignation: bool = False
    is_first_term: bool = False
    voters: tuple[Daemon, ...] = ()
    vm_version: int = 0
    ownership: dict[str, PartitionOwner] = dataclasses.field(default_factory=dict)
    revision: int = 0
    documents: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    pending: dict[int, Publish] = dataclasses.field(default_factory=dict)
    decisions: list[Decision] = dataclasses.field(default_factory=list)
    writers: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)


_ADAPTER = TypeAdapter(ShardData)


class ShardState(ReplicatedState):
    """Term, voters, ownership and configuration of one shard."""

    def __init__(self) -> None:
        super().__init__()
        self._data = ShardData()
        self._hot_keys: dict[str, frozenset[str]] = {}
        self.objects = ObjectSet()

    @property
    def term(self) -> int:
        """The current term, 0 before the first claim."""
        return self._data.term

    @property
    def leader(self) -> Daemon | None:
        """The daemon that holds the term."""
        return self._data.leader

    @property
    def resigned(self) -> bool:
        """Whether the leader has resigned the term."""
        return self._data.resigned

    @property
    def follows_resignation(self) -> bool:
        """Whether the leader before the current one had resigned its term."""
        return self._data.after_resignation

    @property
    def is_first_term(self) -> bool:
        """Whether the current leader is the shard's first."""
        return self._data.is_first_term

    @property
    def voters(self) -> tuple[Daemon, ...]:
        """The daemons whose support lets a leader act."""
        return self._data.voters

    @property
    def vm_version(self) -> int:
        """Version of the VM list that the voters were chosen from."""
        return self._data.vm_version

    @property
    def ownership(self) -> dict[str, PartitionOwner]:
        """The owner of each assigned partition; callers must not modify it."""
        return self._data.ownership

    @property
    def revision(self) -> int:
        """The revision in force, which is the offset of the accepted publish; 0 for none."""
        return self._data.revision

    @property
    def pending(self) -> dict[int, Publish]:
        """Publishes without a decision, by offset."""
        return self._data.pending

    @property
    def decisions(self) -> list[Decision]:
        """Decisions on the latest publishes, oldest first."""
        return self._data.decisions

    def decision_on(self, publish: int) -> Decision | None:
        """Return the decision on the publish at offset *publish*, or None."""
        return next((item for item in self.decisions if item.publish == publish), None)

    def hot_keys(self, slot: str) -> frozenset[str]:
        """Return the keys of *slot* that have partitions of their own."""
        return self._hot_keys.get(slot, frozenset())

    def partition_of(self, slot: str, key: str) -> str:
        """Return the partition of *key*, which hashes to *slot*."""
        return hot_partition(slot, key) if key in self.hot_keys(slot) else slot

    def dump(self) -> dict[str, Any]:
        self._data.writers = dict(self._writers)
        return _ADAPTER.dump_python(self._data, mode="json")

    def load(self, data: dict[str, Any], as_of: int) -> None:
        self._data = _ADAPTER.validate_python(data)
        self._writers = dict(self._data.writers)
        self.applied = as_of
        self.objects = ObjectSet.from_documents(self._data.documents)
        self._index_hot_keys()

    def _apply(self, offset: int, record: Record) -> bool:
        return self._apply_record(record, offset)

    @functools.singledispatchmethod
    def _apply_record(self, record: Record, offset: int) -> bool:
        return False

    @_apply_record.register
    def _(self, record: Claim, offset: int) -> bool:
        if record.supersedes != self.term:
            return False
        self._data.after_resignation = self._data.resigned
        self._data.is_first_term = record.supersedes == 0
        self._data.term = offset
        self._data.leader = record.daemon
        self._data.resigned = False
        if not self._data.voters:
            self._data.voters = record.voters
            self._data.vm_version = record.vm_version
        return True

    @_apply_record.register
    def _(self, record: Voters, offset: int) -> bool:
        if record.term != self.term or not record.voters:
            return False
        self._data.voters = record.voters
        self._data.vm_version = record.vm_version
        return True

    @_apply_record.register
    def _(self, record: Resign, offset: int) -> bool:
        if record.term != self.term:
            return False
        self._data.resigned = True
        return True

    @_apply_record.register
    def _(self, record: Assign, offset: int) -> bool:
        if record.term != self.term:
            return False
        assignable = [item for item in record.placed if self._may_assign(item.partition)]
        for item in assignable:
            self._data.ownership[item.partition] = PartitionOwner(item.server, offset)
        return bool(assignable)

    @_apply_record.register
    def _(self, record: Move, offset: int) -> bool:
        if record.term != self.term:
            return False
        moving = [item for item in record.placed if item.partition in self.ownership]
        for item in moving:
            owner = self.ownership[item.partition]
            self._data.ownership[item.partition] = dataclasses.replace(
                owner, revoked=offset, target=item.server
            )
        return bool(moving)

    @_apply_record.register
    def _(self, record: Split, offset: int) -> bool:
        owner = self.ownership.get(record.slot)
        partition = hot_partition(record.slot, record.key)
        if record.term != self.term or owner is None or owner.revoked:
            return False
        if partition in self.ownership:
            return False
        self._data.ownership[partition] = PartitionOwner(owner.server, offset)
        self._data.ownership[record.slot] = PartitionOwner(owner.server, offset)
        self._index_hot_keys()
        return True

    @_apply_record.register
    def _(self, record: Merge, offset: int) -> bool:
        slot = slot_of_hot_partition(record.partition)
        key_owner, slot_owner = self.ownership.get(record.partition), self.ownership.get(slot)
        if (
            record.term != self.term
            or key_owner is None
            or slot_owner is None
            or slot == record.partition
        ):
            return False
        if key_owner.server != slot_owner.server or key_owner.revoked or slot_owner.revoked:
            return False
        del self._data.ownership[record.partition]
        self._data.ownership[slot] = PartitionOwner(slot_owner.server, offset)
        self._index_hot_keys()
        return True

    @_apply_record.register
    def _(self, record: Publish, offset: int) -> bool:
        self._data.pending[offset] = record
        return True

    @_apply_record.register
    def _(self, record: Accept, offset: int) -> bool:
        publish = self.pending.get(record.publish)
        if record.term != self.term or publish is None or publish.base != self.revision:
            return False
        self._decide(record.publish, offset, ())
        self._data.revision = record.publish
        self._data.documents = publish.documents
        self.objects = ObjectSet.from_documents(publish.documents)
        return True

    @_apply_record.register
    def _(self, record: Reject, offset: int) -> bool:
        if record.term != self.term or record.publish not in self.pending:
            return False
        self._decide(record.publish, 0, record.reasons)
        return True

    @_apply_record.register
    def _(self, record: Snapshot, offset: int) -> bool:
        return True

    def _may_assign(self, partition: str) -> bool:
        owner = self.ownership.get(partition)
        if owner is None:
            return not key_of_hot_partition(partition)
        return bool(owner.revoked)

    def _decide(self, publish: int, accepted_at: int, reasons: tuple[str, ...]) -> None:
        record = self._data.pending.pop(publish)
        decision = Decision(
            publish, record.base, record.operator, record.digest, accepted_at, reasons
        )
        self._data.decisions = [*self.decisions, decision][-MAX_DECISIONS:]

    def _index_hot_keys(self) -> None:
        keys_by_slot: dict[str, set[str]] = {}
        for partition in self.ownership:
            if key := key_of_hot_partition(partition):
                keys_by_slot.setdefault(slot_of_hot_partition(partition), set()).add(key)
        self._hot_keys = {slot: frozenset(keys) for slot, keys in keys_by_slot.items()}
