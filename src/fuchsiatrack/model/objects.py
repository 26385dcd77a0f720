"""The named objects that operators publish; they refer to one another by name."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import pydantic
from pydantic import ConfigDict, Field

from fuchsiatrack.kernel.settings import Name

_STRICT = ConfigDict(extra="forbid", strict=True)
Deadline = Annotated[int, Field(ge=10, le=3_600_000)]
Share = Annotated[float, Field(gt=0, lt=1)]
Weight = Annotated[float, Field(ge=0, le=1_000)]

_object = pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or not 1 <= int(port) <= 65_535:
        raise ValueError("expected IP:PORT")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


@_object
class FailureDomain:
    """A group of VMs that can be lost together."""

    kind: Literal["FailureDomain"]
    name: Name
    region: Name = "main"


@_object
class Objectives:
    """What a service promises: shares between 0 and 1, times in milliseconds."""

    answered: Share = 0.99
    within: Deadline = 500
    available: Share = 0.999


@_object
class Service:
    """Work that backend servers do for callers.

    A keyed service has key ranges, and one owner for each partition of them.  `deduplicates`
    says that its servers run an order id at most once and repeat the answer.  Deadlines are in
    milliseconds, sizes in bytes.
    """

    kind: Literal["Service"]
    name: Name
    keyed: bool = False
    deduplicates: bool = False
    default_deadline: Deadline = 5_000
    max_deadline: Deadline = 60_000
    max_body: Annotated[int, Field(ge=0, le=1 << 34)] = 1 << 26
    balancing: Name = "two-choices-latency"
    objectives: Objectives = Objectives()


@_object
class KeyRange:
    """The keys from `first` up to but not including `last`; "" stands for no bound.

    The range is cut into `slots` partitions by a hash of the key.
    """

    kind: Literal["KeyRange"]
    name: Name
    service: Name
    placement: Name
    first: str = ""
    last: str = ""
    slots: Annotated[int, Field(ge=1, le=16_384)] = 16


@_object
class HotKey:
    """A key with a partition of its own; `server` names its owner, "" lets the policy choose."""

    key: Annotated[str, Field(min_length=1, max_length=256)]
    server: str = ""


@_object
class CostWeights:
    """Cost of each measure when placements are compared."""

    unavailable: Weight = 1.0
    churn: Weight = 1.0
    imbalance: Weight = 1.0


@_object
class Placement:
    """How the partitions of key ranges are spread over backend servers.

    `failure_domains` restricts the servers; empty means all.  `moves_per_minute` bounds the
    moves that are not forced by a lost or leaving server.
    """

    kind: Literal["Placement"]
    name: Name
    service: Name
    policy: Name = "bounded-load"
    failure_domains: tuple[Name, ...] = ()
    min_servers: Annotated[int, Field(ge=1, le=10_000)] = 1
    weights: CostWeights = CostWeights()
    moves_per_minute: Annotated[int, Field(ge=0, le=100_000)] = 60
    hot_keys: tuple[HotKey, ...] = ()


@_object
class Caller:
    """Who may send requests; only the SHA-256 of the token is published, in hexadecimal."""

    kind: Literal["Caller"]
    name: Name
    token_sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$")]
    services: tuple[Name, ...]


@_object
class Limit:
    """Bounds on what one caller may ask of one service, over all daemons together."""

    kind: Literal["Limit"]
    name: Name
    caller: Name
    service: Name
    requests_per_second: Annotated[float, Field(gt=0, le=1e7)]
    burst: Annotated[int, Field(ge=1, le=10_000_000)] = 100
    in_flight: Annotated[int, Field(ge=1, le=10_000_000)] = 1_000


@_object
class BackendServer:
    """One instance of a service.

    `checks_grants` is false for a server that obeys whoever sends to it.  `connections` bounds
    the connections from all daemons together.  `vm` is its name in the platform's VM list.
    """

    kind: Literal["BackendServer"]
    name: Name
    service: Name
    failure_domain: Name
    address: Address
    vm: str = ""
    checks_grants: bool = True
    slots: Annotated[int, Field(ge=1, le=10_000)] = 4
    connections: Annotated[int, Field(ge=1, le=100_000)] = 110

    @property
    def vm_name(self) -> str:
        """The server's name in the VM list."""
        return self.vm or self.name


NamedObject = Annotated[
    FailureDomain | Service | KeyRange | Placement | Caller | Limit | BackendServer,
    Field(discriminator="kind"),
]
KINDS: dict[str, type] = {
    kind.__name__: kind
    for kind in (FailureDomain, Service, KeyRange, Placement, Caller, Limit, BackendServer)
}
