"""Settings of `fuchsiatrackd`, read from one YAML file and validated before any port is opened.

`gateway` has its own settings.
"""

from __future__ import annotations

import ipaddress
import pathlib
from typing import Annotated, Any

import pydantic
import pydantic_core
from expression import Error, Ok, Result
from pydantic import ConfigDict, Field, TypeAdapter

from fuchsiatrack.kernel.documents import read_documents

_STRICT = ConfigDict(extra="forbid", strict=True)


def _validate_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _validate_url(value: str) -> str:
    scheme, _, rest = value.partition("://")
    host = rest.partition("/")[0].rpartition(":")[0]
    if scheme != "http":
        raise ValueError("expected http://IP:PORT")
    _validate_ip(host)
    return value.rstrip("/")


IPAddress = Annotated[str, pydantic.AfterValidator(_validate_ip)]
URL = Annotated[str, pydantic.AfterValidator(_validate_url)]
Port = Annotated[int, Field(ge=1, le=65_535)]
Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]


@pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)
class ListenSettings:
    """Address of this VM and the ports of the daemon's three listeners."""

    address: IPAddress
    caller_port: Port = 8080
    operator_port: Port = 8081
    peer_port: Port = 8082


@pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)
class PlatformSettings:
    """URLs of the platform's log and VM list, and the plug-ins that access them."""

    log_url: URL
    vm_list_url: URL
    log: str = "http"
    vm_list: str = "http"


@pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)
class TimingSettings:
    """Durations of the control protocol, in milliseconds.

    `support_lease` is how long a voter supports a leader after its last call, and bounds how long
    a lost leader is still followed.  `support_period` is the period of these calls, and their
    timeout.

    `grant_lease` is the duration of a grant to a backend server, and of a daemon's route lease.  It
    bounds how long a lost server's keys stay without an owner.  `grant_period` is the period of
    renewals.  `hold_lease` is the duration of grants while the log is unavailable.
    `grant_timeout` limits each call to a backend server: a grant, a revoke or a health check.

    `vm_poll` is the delay between two reads of the VM list.  `log_timeout` limits each append to
    the log and each read of the VM list.  `log_wait` is how long a read of the log waits for new
    records.

    A daemon that stops reports not ready for `leave_notice` before it closes its listener, so that
    the load balancer sees it, and then waits up to `shutdown_grace` for requests in flight.

    A snapshot is due `snapshot_period` after the one before, or earlier, after as many records as
    `Settings.snapshot_records`; the period must be well below the log's retention.
    """

    support_lease: Milliseconds = 900
    support_period: Milliseconds = 250
    grant_lease: Milliseconds = 2_000
    grant_period: Milliseconds = 400
    hold_lease: Milliseconds = 20_000
    grant_timeout: Milliseconds = 500
    vm_poll: Milliseconds = 1_000
    log_timeout: Milliseconds = 2_000
    log_wait: Milliseconds = 1_000
    shutdown_grace: Milliseconds = 300_000
    leave_notice: Milliseconds = 1_000
    snapshot_period: Milliseconds = 300_000


@pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)
class RequestSettings:
    """Limits of callers' requests; sizes in bytes, times in milliseconds."""

    max_header: Annotated[int, Field(ge=1_024, le=65_536)] = 16_384
    max_body: Annotated[int, Field(ge=1, le=1 << 34)] = 1 << 30
    body_idle_timeout: Milliseconds = 10_000
    max_daemons: Annotated[int, Field(ge=1, le=1_000)] = 10


@pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)
class StatsdSettings:
    """Address of the statsd collector."""

    address: IPAddress
    port: Port = 8125


@pydantic.dataclasses.dataclass(frozen=True, config=_STRICT)
class Settings:
    """Contents of a daemon's settings file.

    The daemon keeps within `memory_mb` of the VM's memory, in megabytes, whatever callers do.
    """

    vm: Name
    failure_domain: Name
    incarnation: Annotated[str, Field(pattern=r"^[A-Za-z0-9-]{1,40}$")]
    listen: ListenSettings
    platform: PlatformSettings
    timings: TimingSettings = TimingSettings()
    requests: RequestSettings = RequestSettings()
    statsd: StatsdSettings | None = None
    memory_mb: Annotated[int, Field(ge=100, le=1_000_000)] = 256
    snapshot_records: Annotated[int, Field(ge=10, le=1_000_000)] = 500
    event_loop: Annotated[str, Field(pattern="^(asyncio|uvloop)$")] = "uvloop"
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"

    @property
    def memory_bytes(self) -> int:
        """`memory_mb` in bytes."""
        return self.memory_mb * 1_000_000


_ADAPTER = TypeAdapter(Settings)


def load_settings(path: pathlib.Path) -> Result[Settings, list[str]]:
    """Return the valid settings in *path*, or one line for each fault.

    A line has the form ``FILE: FIELD: why (got VALUE)``.
    """
    result = read_documents(path)
    if result.is_error():
        return Error([f"{path}: {result.error}"])
    if len(result.ok) != 1:
        return Error([f"{path}: expected one document (got {len(result.ok)})"])
    return _validate_document(path, result.ok[0]).bind(
        lambda settings: _validate_timings(path, settings)
    )


def _validate_document(path: pathlib.Path, document: Any) -> Result[Settings, list[str]]:
    try:
        # Strict mode accepts mappings for data classes only from JSON, and converts no strings.
        return Ok(_ADAPTER.validate_json(pydantic_core.to_json(document)))
    except pydantic.ValidationError as error:
        return Error([f"{path}: {describe_error(item)}" for item in error.errors()])
    except ValueError as error:
        return Error([f"{path}: document: {error}"])


def describe_error(item: Any) -> str:
    """Return ``FIELD: why (got VALUE)`` for one error that pydantic reports."""
    field = ".".join(str(part) for part in item["loc"]) or "document"
    value = repr(item["input"])
    return f"{field}: {item['msg']} (got {value[:80]})"


def _validate_timings(path: pathlib.Path, settings: Settings) -> Result[Settings, list[str]]:
    timings = settings.timings
    rules = (
        ("support_period", timings.support_period * 2, "support_lease", timings.support_lease),
        ("grant_period", timings.grant_period * 2, "grant_lease", timings.grant_lease),
        ("support_lease", timings.support_lease, "grant_lease", timings.grant_lease),
    )
    faults = [
        f"{path}: timings.{name}: must be less than {limit_name}, a period less than half of it"
        f" (got {getattr(timings, name)} and {limit})"
        for name, needed, limit_name, limit in rules
        if needed >= limit
    ]
    return Error(faults) if faults else Ok(settings)
