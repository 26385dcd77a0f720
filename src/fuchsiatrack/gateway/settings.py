"""Settings of a gateway daemon, independent of their file format."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.coldstart.terms import ColdBound
from fuchsiatrack.limits.retryratio import RetryBudgetSettings

# Assumed where the settings don't tell.
MAX_RECORD_BYTES = 262_144
# For the head of a response, and the length and key of the record.
READ_OVERHEAD_BYTES = 1_024


class SettingsError(Exception):
    """The settings are unusable; the message names the field and the offending value."""


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An IP address with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one daemon; times in milliseconds.

    A server may get requests for `drain` after the log service acknowledged that it leaves; a
    daemon has to keep that once its path to the log service has been undisturbed for `contact`.
    `max_hold` is the longest grant that backend servers accept.  A graceful stop takes at most
    `stop_grace`.  A configuration has to be in force `config_apply` after its acknowledgement, on a
    link of `link_rate` bytes per millisecond, 0 if unknown.  `max_record_size` is the size in bytes
    of the largest record of the log service.  The platform kills a process that uses more than
    `memory` bytes, and it may have `descriptors` open; 0 if unknown.  `cold_bound` limits the
    requests to cold servers.  Servers of a failure domain get no requests from `evacuation` after
    the log service acknowledged that it is evacuated; 0 allows no time.  `is_first_start` tells
    that the whole deployment starts for the first time, so that nothing can be on the log yet.
    """

    vm: str
    failure_domain: str
    callers: Endpoint
    readiness: Endpoint
    reports: Endpoint
    log_service: Endpoint
    metrics_port: int
    drain: int
    contact: int
    max_hold: int
    stop_grace: int
    retry_budget: RetryBudgetSettings
    config_apply: int = 2_000
    link_rate: float = 0.0
    max_record_size: int = MAX_RECORD_BYTES
    memory: int = 0
    cold_bound: ColdBound = ColdBound()
    evacuation: int = 0
    descriptors: int = 0
    is_first_start: bool = False

    @property
    def max_read_size(self) -> int:
        """Size in bytes of the longest response to a read of the log: a little above one record."""
        return self.max_record_size + READ_OVERHEAD_BYTES
