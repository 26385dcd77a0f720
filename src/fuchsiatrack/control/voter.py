"""Support that a daemon gives to leaders."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.kernel.clock import Clock, drift_upper_bound


@dataclasses.dataclass(frozen=True)
class Support:
    """Answer to a request for support.

    `wait` is how long support of an earlier term may still be counted on, and `hold` how long
    grants may still last that leaders have announced, in milliseconds.
    """

    granted: bool
    highest_term: int
    wait: int = 0
    hold: int = 0


class Voter:
    """Supports, for each shard, the highest term that it knows of, for one lease at a time.

    Nothing here outlives the process: a restarted daemon is another incarnation, and no voter
    until the log lists it.
    """

    def __init__(self, clock: Clock, support_lease: int) -> None:
        self._clock = clock
        self._support_lease = support_lease
        self._terms: dict[str, int] = {}
        self._expires_at: dict[str, int] = {}
        self._earlier_expires_at: dict[str, int] = {}
        self._grants_expire_at: dict[str, int] = {}

    def support(self, shard: str, term: int, hold: int = 0) -> Support:
        """Support *term* unless a higher one is known.

        With *hold*, the leader announces grants that last so many milliseconds from any moment
        at which this support lets it act.
        """
        now = self._clock.now()
        highest = self._terms.get(shard, 0)
        if term < highest:
            return Support(False, highest)
        if term > highest:
            self._earlier_expires_at[shard] = self._expires_at.get(shard, now)
            self._terms[shard] = term
        self._expires_at[shard] = now + drift_upper_bound(self._support_lease)
        grants_remaining = max(0, self._grants_expire_at.get(shard, now) - now)
        if hold:
            expires_at = now + drift_upper_bound(self._support_lease) + drift_upper_bound(hold)
            self._grants_expire_at[shard] = max(expires_at, self._grants_expire_at.get(shard, 0))
        return Support(
            True, term, max(0, self._earlier_expires_at.get(shard, now) - now), grants_remaining
        )

    def observe_term(self, shard: str, term: int) -> None:
        """Stop supporting terms of *shard* below *term*."""
        now = self._clock.now()
        if term > self._terms.get(shard, 0):
            self._earlier_expires_at[shard] = self._expires_at.get(shard, now)
            self._terms[shard] = term

    def is_supporting(self, shard: str, term: int) -> bool:
        """Tell whether support given to *term* or a higher one is still in force."""
        if self._terms.get(shard, 0) < term:
            return False
        return self._clock.now() < self._expires_at.get(shard, 0)
