"""The failure domains that operators evacuate, whose servers are to get no requests."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from reactivex.subject import Subject

from fuchsiatrack.control.compactedlog import ReadContext
from fuchsiatrack.kernel.clock import Clock

# Share of the time that the platform allows in which owners of keys still get requests.  The rest
# is for a read that was lost and repeated, and for requests on their way.
SEND_TIME_RATIO = 0.5
# How long an evacuation that a log restored from a copy lacks goes on: by then, operators have
# written it again unless they had taken it back.
RESTORED_HOLD_MS = 10_000


@dataclasses.dataclass(frozen=True)
class EvacuationBudget:
    """Divides the time that the platform allows; in milliseconds.

    `bound` is the time from the acknowledgement of an evacuation by the log service to the last
    request that may arrive at a server there, 0 if it isn't known.
    """

    bound: int = 0

    def send_deadline(self, context: ReadContext, now: int) -> int:
        """Return until when owners of keys may get requests in a domain that was read just now.

        After an interruption the evacuation may be as old as the last read before it.
        """
        send_time = int(self.bound * SEND_TIME_RATIO)
        read_at = min(now, context.caught_up_at) if context.is_backlog else now
        return read_at + send_time


@dataclasses.dataclass(frozen=True)
class _Evacuation:
    """When an evacuation was read, and until when owners of keys may get requests."""

    noticed_at: int
    send_until: int


class Evacuations:
    """The evacuated failure domains.

    A server there gets no new requests, except that one which owns keys of a service gets theirs
    until the keys have moved, but not for longer than *budget* allows.  `changed` emits the name of
    each domain whose evacuation begins or ends.
    """

    def __init__(self, clock: Clock, budget: EvacuationBudget | None = None) -> None:
        self._clock = clock
        self._budget = budget or EvacuationBudget()
        self._evacuations: dict[str, _Evacuation] = {}
        # When evacuations that a restored log lacks end.
        self._held: dict[str, int] = {}
        self.changed: Subject[str] = Subject()

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return frozenset(self._evacuations)

    def includes(self, domain: str) -> bool:
        """Return whether *domain* is evacuated."""
        return domain in self._evacuations

    def accepts_requests(self, domain: str) -> bool:
        """Return whether owners of keys in *domain* may get requests for them now."""
        evacuation = self._evacuations.get(domain)
        return evacuation is None or self._clock.now() < evacuation.send_until

    def lasting(self, domain: str) -> int:
        """Return for how many milliseconds *domain* has been evacuated, 0 if it isn't."""
        evacuation = self._evacuations.get(domain)
        return self._clock.now() - evacuation.noticed_at if evacuation else 0

    def begin(self, domain: str, context: ReadContext) -> None:
        """Evacuate *domain*, which was read just now."""
        self._begin(domain, self._budget.send_deadline(context, self._clock.now()))

    def end(self, domain: str) -> None:
        """Take the evacuation of *domain* back, if there is one."""
        self._held.pop(domain, None)
        if self._evacuations.pop(domain, None) is not None:
            self.changed.on_next(domain)

    def replace(self, domains: Iterable[str], context: ReadContext) -> None:
        """Evacuate just *domains*.

        Evacuations that weren't known may have begun at any time before.  Those that a log which
        was restored from a copy lacks go on for `RESTORED_HOLD_MS`; see `expire`.
        """
        listed, now = frozenset(domains), self._clock.now()
        for domain in self.domains - listed:
            if context.is_restored:
                self._held[domain] = now + RESTORED_HOLD_MS
            elif domain not in self._held:
                self.end(domain)
        for domain in sorted(listed):
            self._begin(domain, self._clock.now())

    def expire(self) -> None:
        """End the evacuations that weren't written again in time after a restoration."""
        now = self._clock.now()
        for domain in [name for name, ends_at in self._held.items() if ends_at <= now]:
            self.end(domain)

    def _begin(self, domain: str, send_until: int) -> None:
        self._held.pop(domain, None)
        if domain not in self._evacuations:
            self._evacuations[domain] = _Evacuation(self._clock.now(), send_until)
            self.changed.on_next(domain)
