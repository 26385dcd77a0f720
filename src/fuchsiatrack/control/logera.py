"""The era of the log service, which rises when the log comes back from a copy.

A log that was restored has lost the latest records that it had acknowledged, and gives their
offsets out again.  See docs/design/restored-log.md for what keeps its meaning across eras.
"""

from __future__ import annotations

import logging

from reactivex.subject import Subject

# The terms, fences and revisions of an era start at this multiple of its number, so that none of
# an earlier era is used again, whether or not its records are in the copy.
NUMBERS_PER_ERA = 1_000_000_000
# Fewer, since each term has many sequence numbers.
TERMS_PER_ERA = 100_000

log = logging.getLogger(__name__)


class LogEra:
    """The latest era of the log that one of its responses has shown to this daemon.

    `changed` emits each era that becomes known, also the first one.  A log service that doesn't
    tell its era has none.
    """

    def __init__(self) -> None:
        self._current: int | None = None
        self._restorations = 0
        self.changed: Subject[int] = Subject()

    @property
    def current(self) -> int | None:
        """The latest known era, or None if the log service has told none."""
        return self._current

    @property
    def restorations(self) -> int:
        """How often the era has risen since the start of this daemon."""
        return self._restorations

    @property
    def first_number(self) -> int:
        """The number above which fences and revisions of the current era are."""
        return (self._current or 0) * NUMBERS_PER_ERA

    @property
    def first_term(self) -> int:
        """The number above which terms of the current era are."""
        return (self._current or 0) * TERMS_PER_ERA

    def observe(self, era: int) -> bool:
        """Record the era in a response; return False if the response is of a former era."""
        if self._current is not None and era <= self._current:
            return era == self._current
        former, self._current = self._current, era
        if former is not None:
            self._restorations += 1
            log.warning("log restored from a copy", extra={"era": era, "former": former})
        self.changed.on_next(era)
        return True
