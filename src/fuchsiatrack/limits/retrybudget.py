"""This daemon's permits for retries, within a budget that all daemons share."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Callable

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.metrics import Metrics
from fuchsiatrack.limits.retryratio import RetryBudgetSettings, RetryRatio

# The rest of the allowed ratio covers retries that arrive in another window than they were sent.
USED_RATIO_SHARE = 0.8
# A retry is sent within this time after its permit was acquired, or needs another one.
PERMIT_LIFETIME_MS = 500
# The leader isn't asked again for this long after it had no permit.
DENIAL_MEMORY_MS = 500


@dataclasses.dataclass(frozen=True)
class RetryPermit:
    """This daemon's permission to send one retry of a request for `service` before `expires_at`.

    `term` is that of the leader which issued it, None if it follows from this daemon's own
    requests.  Times are of this daemon's clock, in milliseconds.
    """

    service: str
    acquired_at: int
    term: int | None = None

    @property
    def expires_at(self) -> int:
        """The time from which on the permit can't be used any more."""
        return self.acquired_at + PERMIT_LIFETIME_MS


class RetryPermitChannel(abc.ABC):
    """Way to the leader, which issues the fixed part of all services' retry budgets."""

    @property
    @abc.abstractmethod
    def term(self) -> int:
        """The number of the latest term that this daemon knows."""

    @abc.abstractmethod
    async def request_retry(self, service: str) -> bool:
        """Return whether the leader permits a retry; False if no leader decides in time."""


class RetryBudget:
    """Acquires a permit for each retry of this daemon.

    Each daemon applies the ratio to its own requests; the leader issues the fixed part by demand.
    Nobody uses the fixed part without a leader, as a daemon doesn't know what the others use.
    *find_settings* returns the settings in force.
    """

    def __init__(
        self,
        find_settings: Callable[[], RetryBudgetSettings],
        channel: RetryPermitChannel,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._find_settings = find_settings
        self._channel = channel
        self._clock = clock
        self._metrics = metrics
        self._ratios: dict[str, RetryRatio] = {}
        self._unused: dict[str, list[RetryPermit]] = {}
        self._denied_until: dict[str, int] = {}

    def record_request(self, service: str) -> None:
        """Count a request of a caller for *service*."""
        window = self._find_settings().window
        self._ratio(service).record_request(window, self._clock.now())

    async def acquire(self, service: str) -> RetryPermit | None:
        """Return a permit for one retry, None if the budget has none left now."""
        permit = self._acquire_own(service) or self._take_unused(service)
        if permit is None:
            permit = await self._request_from_leader(service)
        self._metrics.count(_metric_name(permit))
        return permit

    def is_valid(self, permit: RetryPermit) -> bool:
        """Return whether a retry with *permit* may be sent now."""
        is_current = permit.term is None or permit.term == self._channel.term
        return is_current and self._clock.now() < permit.expires_at

    def put_back(self, permit: RetryPermit) -> None:
        """Return a permit whose retry was not sent."""
        if permit.term is None:
            self._ratio(permit.service).put_back(permit.acquired_at)
        elif self.is_valid(permit):
            self._unused.setdefault(permit.service, []).append(permit)

    def _acquire_own(self, service: str) -> RetryPermit | None:
        settings, now = self._find_settings(), self._clock.now()
        ratio = settings.ratio * USED_RATIO_SHARE
        if not self._ratio(service).try_acquire(ratio, settings.window, now):
            return None
        return RetryPermit(service, now)

    def _take_unused(self, service: str) -> RetryPermit | None:
        valid = [permit for permit in self._unused.pop(service, ()) if self.is_valid(permit)]
        if not valid:
            return None
        self._unused[service] = valid[1:]
        return valid[0]

    async def _request_from_leader(self, service: str) -> RetryPermit | None:
        if self._clock.now() < self._denied_until.get(service, 0):
            return None
        term = self._channel.term
        is_granted = await self._channel.request_retry(service)
        now = self._clock.now()
        if not is_granted:
            self._denied_until[service] = now + DENIAL_MEMORY_MS
            return None
        return RetryPermit(service, now, term)

    def _ratio(self, service: str) -> RetryRatio:
        return self._ratios.setdefault(service, RetryRatio())


def _metric_name(permit: RetryPermit | None) -> str:
    if permit is None:
        return "retries.denied"
    return "retries.by_requests" if permit.term is None else "retries.by_leader"
