"""Grants that servers hold and that no record of a restored log shows."""

from __future__ import annotations

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.ranges.inheritedgrants import GrantTimings, InheritedGrants

# A leader whose latest renewal before the restoration is older may have been replaced by one whose
# grants outlast those that it knows: by then, keys can have been given away by expiry.
MAX_CONTINUATION_MS = 8_000


class RestoredGrants:
    """Whether grants of former eras of the log may be valid that the leader doesn't know.

    A leader confirms the log's present era by a record, once no unknown grant can be valid.  Until
    then the ownership maps on the log may be older than the grants that servers hold.  No leader
    of a former era renews its lease once the log is restored, so that all of its grants end within
    a fixed time after any daemon sees the new era.  Times are in milliseconds of *clock*.

    A log without a confirmation was either never in use or has lost it.  Only a daemon that belongs
    to the first start of a deployment, as *is_first_start* tells, may take it for new.
    """

    def __init__(self, clock: Clock, timings: GrantTimings, is_first_start: bool) -> None:
        self._clock = clock
        self._timings = timings
        self._is_first_start = is_first_start
        self._era: int | None = None
        self._era_seen_at = 0
        self._confirmed: int | None = None
        self._has_seen_restoration = False
        self._ends_at = 0

    @property
    def is_confirmed(self) -> bool:
        """Whether the log's maps show all grants, as far as a leader of the era knows."""
        return self._era is None or self._confirmed == self._era

    @property
    def is_restored(self) -> bool:
        """Whether the log is known to be restored, and no leader has confirmed its era.

        That is known if this daemon or another one has seen the restoration, or if the log has the
        confirmation of a former era.
        """
        has_evidence = self._has_seen_restoration or self._confirmed is not None
        return has_evidence and not self.is_confirmed

    @property
    def is_doubtful(self) -> bool:
        """Whether the maps on the log may be older than the grants that servers hold.

        That is so until a leader confirms the era, if the log is restored or may be.
        """
        return self.is_restored or self._may_be_restored

    @property
    def _may_be_restored(self) -> bool:
        return not (self._is_first_start or self.is_confirmed)

    @property
    def has_former_era(self) -> bool:
        """Whether the log may have been in use before it was restored."""
        if self._era is None:
            return False
        has_evidence = self._has_seen_restoration or self._confirmed not in (None, self._era)
        return has_evidence or not self._is_first_start

    @property
    def remaining(self) -> int:
        """For how many milliseconds unknown grants may be valid, 0 if none may."""
        return max(0, self._ends_at - self._clock.now()) if self.is_doubtful else 0

    def defers_claim(self, delay: int) -> bool:
        """Return whether to leave the first term of the era to daemons that know more.

        A daemon of the first start knows that a log without a confirmation is new.  It has *delay*
        milliseconds for its claim, in which this daemon couldn't grant anything.
        """
        is_unsure = self._may_be_restored and not self.is_restored
        return is_unsure and self._clock.now() - self._era_seen_at < delay

    def record_era(self, era: int) -> None:
        """Record that a response of the log has just shown *era* for the first time."""
        self._has_seen_restoration |= self._era is not None
        self._era = era
        self._era_seen_at = self._clock.now()
        self._ends_at = InheritedGrants(self._clock, self._timings).valid_until

    def record_confirmation(self, era: int) -> None:
        """Record that a leader has confirmed *era*."""
        self._confirmed = max(era, self._confirmed or 0)

    def record_doubt(self, era: int | None) -> None:
        """Record that another daemon has seen the restoration that began *era*.

        This daemon may have started since.  It has seen the era only after the restoration, too.
        """
        if era is not None and era == self._era:
            self._has_seen_restoration = True
