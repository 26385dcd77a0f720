"""The number of daemons, by which each of them divides what all share."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)


class DaemonCount:
    """The number of daemons as the leader last counted them.

    A number that is too small lets the shares of all daemons exceed what is shared.
    """

    def __init__(self) -> None:
        self._current: int | None = None

    @property
    def current(self) -> int | None:
        """The number of daemons, None if no leader has counted them."""
        return self._current

    def record(self, daemon_count: int, is_settled: bool) -> None:
        """Record what the leader counts.

        A count that isn't settled may lack daemons, or the others may not have heard of it.  It
        replaces only a smaller one.
        """
        daemon_count = max(1, daemon_count)
        if daemon_count == self._current:
            return
        if is_settled or (self._current is not None and daemon_count > self._current):
            fields = {"daemons": daemon_count, "before": self._current}
            log.info("daemon count changed", extra=fields)
            self._current = daemon_count
