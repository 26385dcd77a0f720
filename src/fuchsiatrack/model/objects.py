"""Named objects that operators publish; they refer to one another by name."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import pydantic
from pydantic import ConfigDict, Field

from fuchsiatrack.kernel.settings import Name

_STRICT = ConfigDict(extra="forbid", strict=True)
# A duration in milliseconds.
Deadline = Annotated[int, Field(ge=10, le=3_600_000)]
Share = Annotated[float, Field(gt=0, lt=1)]
Weight = Annotated[float, Field(ge=0, le=1_000)]

_strict_dataclass = pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or not 1 <= int(port) <= 65_535:
        raise ValueError("expected IP:PORT")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


@_strict_dataclass
class FailureDomain:
    """A group of VMs that can fail together."""

    kind: Literal["FailureDomain"]
    name: Name
    region: Name = "main"


@_strict_dataclass
class Objectives:
    """Service-level objectives of a service.

    `answered` is the share of requests that get their response `within` so many milliseconds,
    and `available` the share of time during which a key has an owner; both are between 0 and 1.
    """

    answered: Share = 0.99
    within: Deadline = 500
    available: Share = 0.999


@_strict_dataclass
class Service:
    """A service that backend servers provide to callers.

    A keyed service has key ranges, and one owner for each partition of them.  `deduplicates`
    states that its servers run an order id at most once and return the same response to its
    repeats.  Deadlines are in milliseconds, sizes in bytes.
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


@_strict_dataclass
class KeyRange:
    """The keys from `first` (inclusive) to `last` (exclusive); "" stands for no bound.

    A hash of the key divides the range into `slots` partitions.
    """

    kind: Literal["KeyRange"]
    name: Name
    service: Name
    placement: Name
    first: str = ""
    last: str = ""
    slots: Annotated[int, Field(ge=1, le=16_384)] = 16


@_strict_dataclass
class HotKey:
    """A key with its own partition; `server` names the owner, "" leaves it to the policy."""

    key: Annotated[str, Field(min_length=1, max_length=256)]
    server: str = ""


@_strict_dataclass
class CostWeights:
    """Weight of each measure in the cost by which placements are compared.

    `unavailable` is the time for which partitions have no owner, in partition seconds per minute;
    `churn` is the number of moves per minute; `imbalance` is the load of the busiest server over
    the mean, minus 1.
    """

    unavailable: Weight = 1.0
    churn: Weight = 1.0
    imbalance: Weight = 1.0


@_strict_dataclass
class Placement:
    """Rules that assign the partitions of key ranges to backend servers.

    `failure_domains` restricts the servers; empty means all.  `moves_per_minute` limits the
    moves that are not forced; a move is forced if its server is lost, draining, removed, no longer
    eligible or has a new address.
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


@_strict_dataclass
class Caller:
    """A sender of requests and the services that it may use.

    Only the SHA-256 of its token is published, in hexadecimal.
    """

    kind: Literal["Caller"]
    name: Name
    token_sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$")]
    services: tuple[Name, ...]


@_strict_dataclass
class Limit:
    """Limits on the requests of one caller to one service, over all daemons together."""

    kind: Literal["Limit"]
    name: Name
    caller: Name
    service: Name
    requests_per_second: Annotated[float, Field(gt=0, le=1e7)]
    burst: Annotated[int, Field(ge=1, le=10_000_000)] = 100
    in_flight: Annotated[int, Field(ge=1, le=10_000_000)] = 1_000


@_strict_dataclass
class BackendServer:
    """One instance of a service.

    `checks_grants` is false for a server that runs every request without checking its grant.
    `connections` limits the connections from all daemons together.  `vm` is the server's name
    in the platform's VM list; "" stands for `name`.  `slots` is the capacity by which
    placement and load balancing weigh servers (not the `slots` of a KeyRange).
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
