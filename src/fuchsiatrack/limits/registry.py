"""The request rates to which all daemons together limit themselves at backend servers."""

from __future__ import annotations

import abc
import dataclasses
import logging
from collections.abc import Callable, Iterable, Iterator, Mapping

from fuchsiatrack.directory.servers import ServerIncarnation

# A limit that has ended is remembered for this long: other daemons are told of the end, so that
# none restores it, and plans don't return keys needlessly, since it may soon be set again.
END_MEMORY_MS = 15_000
# A server that is no longer listed is remembered for this long: its entry may be missing for a few
# seconds while it runs on, and daemons that had forgotten its limit would exceed it at its return.
UNLISTED_MEMORY_MS = 15_000
# Lower limits count as this one, so that their end is noticed.
RATE_MIN_PER_S = 0.1

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class LimitNotice:
    """What one daemon tells others of the limit of `server`.

    `rate` is in requests per second, None if the server sets no limit.  `age` is the time since a
    response stated it, in milliseconds, since the daemons' clocks differ.
    """

    server: ServerIncarnation
    rate: float | None
    age: int


@dataclasses.dataclass(frozen=True)
class _Observation:
    """The latest statement of a server, at `observed_at` by this daemon's clock.

    `last_rate` is `rate`, or the one before the limit ended; None if it isn't known.
    """

    rate: float | None
    observed_at: int
    last_rate: float | None


class OwnLimits(abc.ABC):
    """Limits that daemons keep at servers which don't state them; in requests per second."""

    @property
    @abc.abstractmethod
    def rates(self) -> Mapping[ServerIncarnation, float]:
        """The limits in force, by server."""

    @abc.abstractmethod
    def rate(self, server: ServerIncarnation) -> float | None:
        """Return the limit at *server*, None if there is none."""


class LimitRegistry:
    """The latest statement of each server that sets a limit or has recently ended one.

    *is_listed* tells whether a server is still in the directory.  Others are neither recorded nor
    reported, since daemons would remind each other of them for ever.  Where *own_limits* has a
    lower limit than a server, it holds.
    """

    def __init__(
        self,
        is_listed: Callable[[ServerIncarnation], bool],
        own_limits: OwnLimits | None = None,
    ) -> None:
        self._is_listed = is_listed
        self._own_limits = own_limits
        self._observations: dict[ServerIncarnation, _Observation] = {}
        self._unlisted_since: dict[ServerIncarnation, int] = {}

    @property
    def rates(self) -> dict[ServerIncarnation, float]:
        """The limits in force, in requests per second, by listed server."""
        rates = {
            server: max(item.rate, RATE_MIN_PER_S)
            for server, item in self._listed()
            if item.rate is not None
        }
        own_rates = self._own_limits.rates if self._own_limits is not None else {}
        for server, rate in own_rates.items():
            if self._is_listed(server):
                rates[server] = min(rate, rates.get(server, rate))
        return rates

    @property
    def recent_limits(self) -> dict[ServerIncarnation, float]:
        """The last limits of servers that ended them within `END_MEMORY_MS`, latest end first."""
        ended = [
            (server, item)
            for server, item in self._listed()
            if item.rate is None and item.last_rate is not None
        ]
        ended.sort(key=lambda row: row[1].observed_at, reverse=True)
        return {server: max(item.last_rate, RATE_MIN_PER_S) for server, item in ended}

    def find(self, server: ServerIncarnation) -> float | None:
        """Return the limit of *server* in requests per second, None if it sets none."""
        observation = self._observations.get(server)
        stated = observation.rate if observation is not None else None
        if stated is not None:
            stated = max(stated, RATE_MIN_PER_S)
        return lower_rate(stated, self.find_own(server))

    def find_own(self, server: ServerIncarnation) -> float | None:
        """Return the limit that daemons keep at *server* of their own accord, None if there is
        none.
        """
        return self._own_limits.rate(server) if self._own_limits is not None else None

    def notices(self, now: int) -> tuple[LimitNotice, ...]:
        """Return what to tell other daemons."""
        return tuple(
            LimitNotice(server, item.rate, now - item.observed_at)
            for server, item in self._listed()
        )

    def record_response(
        self, server: ServerIncarnation, rate: float | None, sent_at: int, now: int
    ) -> None:
        """Record what a response received *now* stated, to a request sent at *sent_at*.

        Responses may overtake each other, so that one without a limit ends only a limit that was
        observed before its request was sent.
        """
        known = self._observations.get(server)
        if rate is None and (known is None or known.rate is None or sent_at <= known.observed_at):
            return
        self._put(server, rate, now)

    def merge(self, notices: Iterable[LimitNotice], now: int) -> None:
        """Record what another daemon observed, where that is later than what is known."""
        for notice in notices:
            known = self._observations.get(notice.server)
            observed_at = now - notice.age
            if known is None and notice.rate is None:
                continue
            if known is None or known.observed_at < observed_at:
                self._put(notice.server, notice.rate, observed_at)

    def resolve(self, notice: LimitNotice, now: int) -> float | None:
        """Merge *notice* and return the limit of its server, in requests per second.

        Nothing is recorded of a server that isn't listed here; the notice counts for it, since the
        daemon that sent the notice may have read the directory later.
        """
        self.merge([notice], now)
        if notice.server in self._observations or notice.rate is None:
            return self.find(notice.server)
        return lower_rate(max(notice.rate, RATE_MIN_PER_S), self.find_own(notice.server))

    def drop_outdated(self, now: int) -> None:
        """Drop servers that have not been listed for some time, and limits that ended before."""
        self._unlisted_since = {
            server: self._unlisted_since.get(server, now)
            for server in self._observations
            if not self._is_listed(server)
        }
        self._observations = {
            server: item
            for server, item in self._observations.items()
            if now - self._unlisted_since.get(server, now) < UNLISTED_MEMORY_MS
            and (item.rate is not None or now - item.observed_at < END_MEMORY_MS)
        }

    def _listed(self) -> Iterator[tuple[ServerIncarnation, _Observation]]:
        for server, item in self._observations.items():
            if self._is_listed(server):
                yield server, item

    def _put(self, server: ServerIncarnation, rate: float | None, observed_at: int) -> None:
        if not self._is_listed(server):
            return
        before = self._observations.get(server)
        before_rate = before.rate if before is not None else None
        last_rate = before.last_rate if before is not None else None
        last_rate = last_rate if rate is None else rate
        self._observations[server] = _Observation(rate, observed_at, last_rate)
        if before_rate != rate:
            fields = {"server": server.server, "rate_per_s": rate, "before_per_s": before_rate}
            log.info("server limit changed", extra=fields)


def lower_rate(first: float | None, second: float | None) -> float | None:
    """Return the lower of two limits, of which None is none."""
    rates = [rate for rate in (first, second) if rate is not None]
    return min(rates, default=None)
