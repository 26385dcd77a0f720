"""The records that the system keeps on the platform's log.

A record that builds on something superseded is void; `fuchsiatrack.control.state` decides.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import pydantic
from pydantic import Field, TypeAdapter

_record = pydantic.dataclasses.dataclass(frozen=True)


@_record
class RecordId:
    """Identity of a record: repeats of one append carry the same id."""

    writer: str
    sequence: int


@_record
class Daemon:
    """One run of a daemon process; `incarnation` differs between any two runs."""

    vm: str
    incarnation: str
    failure_domain: str
    address: str
    peer_port: int


@_record
class Claim:
    """Asks to lead after term `supersedes`; its own offset is the new term.

    `voters` takes effect only when the stream has none yet.
    """

    kind: Literal["claim"]
    id: RecordId
    supersedes: int
    daemon: Daemon
    voters: tuple[Daemon, ...]
    vm_version: int


@_record
class Voters:
    """Replaces the voters; `vm_version` is the VM list by which they were chosen."""

    kind: Literal["voters"]
    id: RecordId
    term: int
    voters: tuple[Daemon, ...]
    vm_version: int


@_record
class Resign:
    """Ends a term whose leader has stopped to act."""

    kind: Literal["resign"]
    id: RecordId
    term: int


@_record
class PartitionAssignment:
    """A partition and the backend server that it goes to."""

    partition: str
    server: str


@_record
class Assign:
    """Gives partitions to servers; the record's offset is their fence."""

    kind: Literal["assign"]
    id: RecordId
    term: int
    placed: tuple[PartitionAssignment, ...]


@_record
class Move:
    """Announces that partitions leave their owners; its offset fences the old owners."""

    kind: Literal["move"]
    id: RecordId
    term: int
    placed: tuple[PartitionAssignment, ...]


@_record
class Split:
    """Gives the key its own partition, with the owner of its slot."""

    kind: Literal["split"]
    id: RecordId
    term: int
    slot: str
    key: str


@_record
class Merge:
    """Returns a key to its slot, when both have one owner."""

    kind: Literal["merge"]
    id: RecordId
    term: int
    partition: str


@_record
class Publish:
    """A whole set of objects that an operator wants in force after revision `base`."""

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
    """Refuses the publish at offset `publish`."""

    kind: Literal["reject"]
    id: RecordId
    term: int
    publish: int
    reasons: tuple[str, ...]


@_record
class Attempt:
    """One order's intention to run: `attempt` tells two tries of one order id apart.

    `fence` is that of the partition's owner at the time, 0 in a service that is not keyed.
    """

    caller: str
    order: str
    attempt: str
    fence: int = 0


@_record
class Orders:
    """Attempts that begin, and attempts that are proved not to have run."""

    kind: Literal["orders"]
    id: RecordId
    begun: tuple[Attempt, ...]
    freed: tuple[Attempt, ...]


@_record
class Snapshot:
    """The whole state after the record at offset `as_of`."""

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
    """Return the record that *data* holds; raise ValueError when it is not one."""
    return _ADAPTER.validate_json(data)
