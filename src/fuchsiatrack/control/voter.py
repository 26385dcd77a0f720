"""A voter, which supports leaders for one support lease at a time."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.kernel.clock import Clock, drift_upper_bound


@dataclasses.dataclass(frozen=True)
class Support:
    """Response to a support request.

    `earlier_support_remaining` is how long a leader of an earlier term may still rely on this
    voter's support.  `grants_remaining` is how long extended grants that leaders have announced
    may still last.  Both are in milliseconds.
    """

    granted: bool
    highest_term: int
    earlier_support_remaining: int = 0
    grants_remaining: int = 0


class Voter:
    """Supports the highest known term of each shard for one lease at a time.

    The state is kept in memory only: a restarted daemon is a new incarnation, which is not a
    voter until the log lists it.
    """

    def __init__(self, clock: Clock, support_lease: int) -> None:
        self._clock = clock
        self._support_lease = support_lease
        self._terms: dict[str, int] = {}
        self._expires_at: dict[str, int] = {}
        self._earlier_expires_at: dict[str, int] = {}
        self._grants_expire_at: dict[str, int] = {}

    def support(self, shard: str, term: int, grant_duration: int = 0) -> Support:
        """Support *term* unless a higher one is known.

        A positive *grant_duration* announces extended grants: the leader may give grants of that
        many milliseconds at any time at which this support lets it act.
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
        if grant_duration:
            expires_at = (
                now + drift_upper_bound(self._support_lease) + drift_upper_bound(grant_duration)
            )
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
        """Return whether support of *term* or a higher term has not expired."""
        if self._terms.get(shard, 0) < term:
            return False
        return self._clock.now() < self._expires_at.get(shard, 0)
