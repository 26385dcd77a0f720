"""Bounds on the grants of earlier leaders."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.grantledger import longest_duration
from fuchsiatrack.ranges.records import EndedTerm


@dataclasses.dataclass(frozen=True)
class GrantTimings:
    """How leaders send grants, in milliseconds.

    A leader sends grants for `lease` after its latest renewal at most, a grant arrives within
    `timeout` or not at all, and is valid for `usual` or, while the lease is at risk, `extended`.
    """

    lease: int
    timeout: int
    usual: int
    extended: int


class InheritedGrants:
    """Until when grants of earlier leaders arrive and are valid, as known in the present term.

    An earlier leader counts as sending until its lease has certainly ended.  Times are in
    milliseconds of *clock*.
    """

    def __init__(self, clock: Clock, timings: GrantTimings) -> None:
        self._clock = clock
        self._timings = timings
        self._arrive_by = clock.now() + timings.lease + timings.timeout
        self._valid_until = self._arrive_by + longest_duration(timings.extended)

    @property
    def arrive_by(self) -> int:
        """The time after which no grant of an earlier leader arrives."""
        return self._arrive_by

    @property
    def valid_until(self) -> int:
        """The time after which no grant of an earlier leader is valid."""
        return self._valid_until

    @property
    def sending_remaining(self) -> int:
        """For how many milliseconds earlier leaders may still send grants."""
        return max(0, self._arrive_by - self._clock.now())

    @property
    def valid_remaining(self) -> int:
        """For how many milliseconds grants of earlier leaders may still be valid."""
        return max(0, self._valid_until - self._clock.now())

    def clear(self) -> None:
        """Record that no earlier leader has sent a grant."""
        self._arrive_by = self._valid_until = self._clock.now()

    def cap(self, previous: EndedTerm) -> None:
        """Record that the leader of the previous term has stopped."""
        now, timings = self._clock.now(), self._timings
        # What it sent last may still be on its way.
        arrive_by = now + timings.timeout
        valid_until = arrive_by + longest_duration(timings.usual)
        self._arrive_by = min(self._arrive_by, max(previous.sends_until, arrive_by))
        self._valid_until = min(self._valid_until, max(previous.valid_until, valid_until))
