"""Settings of a gateway daemon, whatever file they were read from."""

from __future__ import annotations

import dataclasses


class SettingsError(Exception):
    """The settings can't be used; the message names the field and the offending value."""


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An IP address with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """What one daemon needs to know of itself and its surroundings; times in milliseconds.

    `max_hold` is the longest grant that backend servers take.  Further sends of requests may be
    `retry_ratio` x requests + `retry_fixed` in any `retry_window`, over all daemons.  A stop
    lasts `stop_grace` at most.  `expected_daemons` is how many daemons share the limits until
    the leader has counted them.
    """

    vm: str
    failure_domain: str
    callers: Endpoint
    readiness: Endpoint
    reports: Endpoint
    log_service: Endpoint
    metrics_port: int
    max_hold: int
    stop_grace: int
    retry_ratio: float
    retry_fixed: float
    retry_window: int
    expected_daemons: int
