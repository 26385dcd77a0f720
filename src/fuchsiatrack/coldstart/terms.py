"""What a service and the settings say of cold servers, and the rate that follows."""

from __future__ import annotations

import dataclasses

from fuchsiatrack.limits.permits import UNLED_SHARE_RATIO
from fuchsiatrack.limits.ratelimiter import TURN_LIFETIME_MS

# Turns that one limiter gives out in any second at a rate of 1, beside the first one.
TURNS_PER_RATE = 1 + TURN_LIFETIME_MS / 1_000


@dataclasses.dataclass(frozen=True)
class ColdStartTerms:
    """How long a server of one service stays cold, in milliseconds, and what it tolerates.

    `rate` is in requests per second.  Raises ValueError unless both are above 0.
    """

    duration: int
    rate: float

    def __post_init__(self) -> None:
        if self.duration <= 0 or self.rate <= 0:
            raise ValueError(f"cold start: expected a time and a rate above 0 (got {self})")


@dataclasses.dataclass(frozen=True)
class ColdBound:
    """The most requests that may reach a cold server: `overage` x rate + `slack` in any second.

    Raises ValueError for a negative part.
    """

    overage: float = 1.0
    slack: float = 0.0

    def __post_init__(self) -> None:
        if self.overage < 0 or self.slack < 0:
            raise ValueError(f"cold bound: expected no negative part (got {self})")

    def allowed(self, terms: ColdStartTerms) -> float:
        """Return how many requests may reach a server of *terms* in any second."""
        return self.overage * terms.rate + self.slack

    def planned_rate(self, terms: ColdStartTerms) -> float:
        """Return the rate of permits, in requests per second, that keeps the bound in the worst
        case: a leader, whose first turns come after its predecessor's last ones, and the daemons
        that it doesn't reach with their own shares.

        It is at most what the server tolerates.  Where the bound leaves no room for this, it is in
        proportion to the bound.
        """
        allowed = self.allowed(terms)
        worst_per_rate = (1 + UNLED_SHARE_RATIO) * TURNS_PER_RATE
        planned = max(allowed - 1, allowed / 2) / worst_per_rate
        return min(terms.rate, planned)
