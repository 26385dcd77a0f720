"""Records that the system appends to the platform's log.

A record that refers to a superseded term or revision is void; see `fuchsiatrack.control.state`.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import pydantic
from pydantic import Field, TypeAdapter

_record = pydantic.dataclasses.dataclass(frozen=True)


@_record
class RecordId:
    """Identity of a record; retries of one append carry the same id."""

    writer: str
    sequence: int


@_record
class Daemon:
    """One incarnation of a daemon process; `incarnation` is unique to it."""

    vm: str
    incarnation: str
    failure_domain: str
    address: str
    peer_port: int


@_record
class Claim:
    """Claims the leadership after term `supersedes`; the record's offset is the new term.

    `voters` takes effect only if the stream has no voters yet.
    """

    kind: Literal["claim"]
    id: RecordId
    supersedes: int
    daemon: Daemon
    voters: tuple[Daemon, ...]
    vm_version: int


@_record
class Voters:
    """Replaces the voters; `vm_version` is the version of the VM list they were chosen from."""

    kind: Literal["voters"]
    id: RecordId
    term: int
    voters: tuple[Daemon, ...]
    vm_version: int


@_record
class Resign:
    """Ends a term whose leader has stopped acting."""

    kind: Literal["resign"]
    id: RecordId
    term: int


@_record
class PartitionAssignment:
    """A partition and the backend server that it is assigned to."""

    partition: str
    server: str


@_record
class Assign:
    """Assigns partitions to servers; the record's offset is their fence."""

    kind: Literal["assign"]
    id: RecordId
    term: int
    placed: tuple[PartitionAssignment, ...]


@_record
class Move:
    """Announces that partitions leave their owners; the record's offset fences the old owners."""

    kind: Literal["move"]
    id: RecordId
    term: int
    placed: tuple[PartitionAssignment, ...]


@_record
class Split:
    """Moves a key into a partition of its own, at the owner of its slot."""

    kind: Literal["split"]
    id: RecordId
    term: int
    slot: str
    key: str


@_record
class Merge:
    """Merges a key's own partition back into its slot; both need the same owner."""

    kind: Literal["merge"]
    id: RecordId
    term: int
    partition: str


@_record
class Publish:
    """A whole set of objects that an operator publishes to replace revision `base`."""

    kind: Literal["publish"]
    id: RecordId
    base: int
    documents: list[dict[str, Any]]
    digest: str
    operator: str


@_record
class Accept:
    """Puts the publish at offset `publish` in force."""

    kind: Literal["accept"]
    id: RecordId
    term: int
    publish: int


@_record
class Reject:
    """Rejects the publish at offset `publish`."""

    kind: Literal["reject"]
    id: RecordId
    term: int
    publish: int
    reasons: tuple[str, ...]


@_record
class Attempt:
    """One attempt to run an order; `attempt` distinguishes the attempts of one order id.

    `fence` is that of the partition's owner at the time, 0 for a service that is not keyed.
    """

    caller: str
    order: str
    attempt: str
    fence: int = 0


@_record
class Orders:
    """Attempts that begin, and attempts that are proven not to have run."""

    kind: Literal["orders"]
    id: RecordId
    begun: tuple[Attempt, ...]
    freed: tuple[Attempt, ...]


@_record
class Snapshot:
    """The whole replicated state after the record at offset `as_of`."""

    kind: Literal["snapshot"]
    id: RecordId
    as_of: int
    state: dict[str, Any]


Record = (
    Claim
    | Voters
    | Resign
    | Assign
    | Move
    | Split
    | Merge
    | Publish
    | Accept
    | Reject
    | Orders
    | Snapshot
)
_ADAPTER: TypeAdapter[Record] = TypeAdapter(Annotated[Record, Field(discriminator="kind")])


def encode(record: Record) -> bytes:
    """Return the record as JSON."""
    return _ADAPTER.dump_json(record)


def decode(data: bytes) -> Record:
    """Return the record encoded in *data*; raise ValueError if it is malformed."""
    return _ADAPTER.validate_json(data)
