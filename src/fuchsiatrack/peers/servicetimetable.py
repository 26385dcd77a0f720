"""The service times that all daemons have observed, which the leader adds to acknowledgements.

One of many daemons hears of a server once in seconds, all together some times a second.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fuchsiatrack.kernel.clock import Clock

# Times of servers with fewer responses are not sent.
MIN_RESPONSES = 4
# Weight of one response in the moving average.
SMOOTHING_FACTOR = 0.04
# Shortest time between two tables to the same daemon.
MIN_PERIOD_MS = 3_000
# Bounds what the leader sends of tables to all daemons together, in bytes per second, as its link
# may be narrow.
MAX_BYTES_PER_S = 50_000
# Size of one row in an acknowledgement, roughly.
ROW_BYTES = 20
# Keeps an acknowledgement below the largest datagram.
MAX_ROWS = 1_000


class ServiceTimeTable:
    """Moving averages of usual service times, without slowdowns, by server id, in milliseconds.

    *is_listed* tells whether a server is still listed.
    """

    def __init__(self, clock: Clock, is_listed: Callable[[str], bool]) -> None:
        self._clock = clock
        self._is_listed = is_listed
        # Number of responses and mean time.
        self._rows: dict[str, tuple[int, float]] = {}
        self._sent_at: dict[str, int] = {}

    def add(self, server: str, responses: int, mean: float) -> None:
        """Add *responses* of *server* with a *mean* time in milliseconds."""
        if responses <= 0:
            return
        known, old = self._rows.get(server, (0, mean))
        weight = max(1 - (1 - SMOOTHING_FACTOR) ** responses, responses / (known + responses))
        self._rows[server] = known + responses, old + weight * (mean - old)

    def due_for(self, vm: str, daemon_count: int) -> Mapping[str, int]:
        """Return the times to send to *vm* now, empty if it got a table not long ago.

        They are rounded to milliseconds.
        """
        now = self._clock.now()
        bytes_per_round = len(self._rows) * ROW_BYTES * daemon_count
        period = max(MIN_PERIOD_MS, bytes_per_round * 1_000 // MAX_BYTES_PER_S)
        if vm in self._sent_at and now - self._sent_at[vm] < period:
            return {}
        self._rows = {name: row for name, row in self._rows.items() if self._is_listed(name)}
        known = [
            (name, mean) for name, (count, mean) in self._rows.items() if count >= MIN_RESPONSES
        ]
        if known:
            self._sent_at[vm] = now
        return {name: round(mean) for name, mean in known[:MAX_ROWS]}
