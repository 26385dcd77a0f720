"""How often a request may be sent again, and after what pause."""

from __future__ import annotations

import random

BUDGET_SHARE = 0.1
BUDGET_MAX = 50.0
BACKOFF_FIRST = 10
BACKOFF_MAX = 500


class RetryBudget:
    """Allows one more send for every ten first sends of a service."""

    def __init__(self) -> None:
        self._tokens = BUDGET_MAX / 5

    def deposit(self) -> None:
        """Count a first send."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_SHARE)

    def try_acquire(self) -> bool:
        """Take leave for one more send; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff(attempt: int, rng: random.Random) -> int:
    """Return the pause before send number *attempt* + 1, in milliseconds, with full jitter."""
    return int(rng.uniform(0, min(BACKOFF_MAX, BACKOFF_FIRST * 2**attempt))) + 1
