"""The retry budget of a service, and the delay before a request is sent again."""

from __future__ import annotations

import random

RESENDS_PER_REQUEST_RATIO = 0.1
BUDGET_MAX_SENDS = 50.0
BACKOFF_FIRST_MS = 10
BACKOFF_MAX_MS = 500


class RetryBudget:
    """A token bucket that allows one resend for every ten requests of a service."""

    def __init__(self) -> None:
        self._tokens = BUDGET_MAX_SENDS / 5

    def deposit(self) -> None:
        """Add the share of one request to the budget."""
        self._tokens = min(BUDGET_MAX_SENDS, self._tokens + RESENDS_PER_REQUEST_RATIO)

    def try_acquire(self) -> bool:
        """Take one resend from the budget; return False if less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff(sends: int, rng: random.Random) -> int:
    """Return the delay in milliseconds before send number *sends* + 1, with full jitter."""
    return int(rng.uniform(0, min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2**sends))) + 1
