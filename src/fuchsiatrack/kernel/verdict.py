"""Whether a request may have run on a backend server."""

from __future__ import annotations

import enum

VERDICT_HEADER = "Fuchsiatrack-Verdict"
REASON_HEADER = "Fuchsiatrack-Reason"


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    `NOT_RUN` and `RAN` need proof; without any the verdict is `MAY_HAVE_RUN`.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"

    @property
    def is_safe_to_retry(self) -> bool:
        """Whether a request that is not idempotent may be sent again."""
        return self is Verdict.NOT_RUN
