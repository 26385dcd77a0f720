"""Which servers count as cold."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Iterable

from fuchsiatrack.coldstart.terms import ColdBound, ColdStartTerms
from fuchsiatrack.directory.servers import ServerEntry, ServerIncarnation
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.limits.registry import LimitNotice, OwnLimits

# A server that is no longer listed is remembered for this long, as its entry may be missing for a
# few seconds while it runs on.
UNLISTED_MEMORY_MS = 15_000
# Failures are reported for this long, so that a lost datagram matters little.
REPORTED_FAILURE_MS = 1_000
# Longest time from the last failure that is confirmed to the start of the server, while requests
# go on to show whether it is up.
CONFIRMED_START_MS = 1_000

log = logging.getLogger(__name__)


@dataclasses.dataclass
class _Observations:
    """What is known of one server; times of this daemon's clock, in milliseconds.

    The server says that it is cold until `cold_until`.  It may have restarted since `failed_at`,
    and a request that was sent later was answered first at `answered_at`.  `confirmed_at` is when
    other daemons failed to reach it, as the leader says.
    """

    service: str
    seen_at: int
    cold_until: int = 0
    failed_at: int | None = None
    answered_at: int | None = None
    confirmed_at: int | None = None
    is_cold: bool = False


class ColdServers(OwnLimits):
    """The servers that are cold, or may be.

    Answers servers that join or return and are sent their full share, or all that has waited for
    them, while they take only a little.  A server counts as cold

    - for as long as its entry or a response says, counted from when that was read, since it was
      written earlier;
    - from a failure to reach it, as it may have restarted under its id and its new entry arrives
      later, until it has answered and then been up for the whole time that a start takes;
    - for that time and a little more after several other daemons failed to reach it.

    *find_terms* returns what holds for a service, None if its servers are never limited for being
    cold, and *find_bound* the bound of the settings.
    """

    def __init__(
        self,
        find_terms: Callable[[str], ColdStartTerms | None],
        find_bound: Callable[[], ColdBound],
        clock: Clock,
    ) -> None:
        self._find_terms = find_terms
        self._find_bound = find_bound
        self._clock = clock
        self._servers: dict[ServerIncarnation, _Observations] = {}

    @property
    def rates(self) -> dict[ServerIncarnation, float]:
        """The rates of all cold servers, in requests per second."""
        rates = {server: self.rate(server) for server in self._servers}
        return {server: rate for server, rate in rates.items() if rate is not None}

    def rate(self, server: ServerIncarnation) -> float | None:
        """Return the requests per second for *server* from all daemons, None if it isn't cold."""
        known = self._servers.get(server)
        if known is None:
            return None
        terms = self._find_terms(known.service)
        if terms is None or self._cold_for(known, terms) <= 0:
            return None
        return self._find_bound().planned_rate(terms)

    def notices(self) -> tuple[LimitNotice, ...]:
        """Return the servers that this daemon failed to reach lately, with the ages of that."""
        now = self._clock.now()
        return tuple(
            LimitNotice(server, None, now - known.failed_at)
            for server, known in self._servers.items()
            if known.failed_at is not None and now - known.failed_at < REPORTED_FAILURE_MS
        )

    def merge(
        self,
        notices: Iterable[LimitNotice],
        find_entry: Callable[[ServerIncarnation], ServerEntry | None],
    ) -> None:
        """Record the servers that several daemons failed to reach, as the leader says."""
        for notice in notices:
            entry = find_entry(notice.server)
            if entry is None or self._find_terms(entry.service) is None:
                continue
            known = self._observations(entry)
            confirmed_at = self._clock.now() - notice.age
            known.confirmed_at = max(known.confirmed_at or confirmed_at, confirmed_at)
            self._log_change(entry.incarnation, known, "confirmed")

    def record_entry(self, entry: ServerEntry) -> None:
        """Record what an entry that was just read says, whether or not it changes anything."""
        self._record_cold_for(entry, entry.cold_for)

    def record_failure(self, entry: ServerEntry) -> None:
        """Record that the server of *entry* was not reached, or broke off before it answered."""
        if self._find_terms(entry.service) is None:
            return
        known = self._observations(entry)
        known.failed_at, known.answered_at = self._clock.now(), None
        self._log_change(entry.incarnation, known, "unreachable")

    def record_response(
        self, entry: ServerEntry, sent_at: int, cold_for: int | None = None
    ) -> None:
        """Record that the server of *entry* answered a request that was sent at *sent_at*.

        *cold_for* is for how many milliseconds the server says that it stays cold, None if it
        doesn't say.
        """
        known = self._servers.get(entry.incarnation)
        if known is not None and known.failed_at is not None and sent_at > known.failed_at:
            if cold_for is not None:
                known.failed_at = None
            elif known.answered_at is None:
                known.answered_at = self._clock.now()
        if cold_for is not None:
            self._record_cold_for(entry, cold_for)

    def drop_outdated(self, is_listed: Callable[[ServerIncarnation], bool]) -> None:
        """Drop servers that are warm, or have not been listed for some time."""
        now = self._clock.now()
        for server, known in list(self._servers.items()):
            if is_listed(server):
                known.seen_at = now
            self._log_change(server, known, "time")
            if not known.is_cold or now - known.seen_at >= UNLISTED_MEMORY_MS:
                del self._servers[server]

    def _record_cold_for(self, entry: ServerEntry, cold_for: int) -> None:
        if cold_for <= 0 and entry.incarnation not in self._servers:
            return
        known = self._observations(entry)
        known.cold_until = max(known.cold_until, self._clock.now() + cold_for)
        self._log_change(entry.incarnation, known, "entry")

    def _observations(self, entry: ServerEntry) -> _Observations:
        now = self._clock.now()
        known = self._servers.setdefault(entry.incarnation, _Observations(entry.service, now))
        known.service, known.seen_at = entry.service, now
        return known

    def _cold_for(self, known: _Observations, terms: ColdStartTerms) -> int:
        """Return for how long the server of *known* stays cold, in milliseconds."""
        now = self._clock.now()
        cold_until = known.cold_until
        if known.failed_at is not None:
            up_since = now if known.answered_at is None else known.answered_at
            cold_until = max(cold_until, up_since + terms.duration)
        if known.confirmed_at is not None:
            confirmed_until = known.confirmed_at + CONFIRMED_START_MS + terms.duration
            cold_until = max(cold_until, confirmed_until)
        return cold_until - now

    def _log_change(self, server: ServerIncarnation, known: _Observations, why: str) -> None:
        terms = self._find_terms(known.service)
        cold_for = 0 if terms is None else max(0, self._cold_for(known, terms))
        if known.is_cold != (cold_for > 0):
            known.is_cold = cold_for > 0
            message = "server counts as cold" if known.is_cold else "server counts as warm"
            fields = {"server": server.server, "service": known.service, "why": why}
            log.info(message, extra={**fields, "cold_ms": cold_for})
