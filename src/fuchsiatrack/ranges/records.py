"""Records of leadership on the log, and the streams that they stand on."""

from __future__ import annotations

import dataclasses
import json

from fuchsiatrack.control.compactedlog import Stream

TOPIC = "ownership"
# Claims and ownership maps, which every daemon follows.
STATE_STREAM = Stream(TOPIC, 0)
# Renewals, which only a daemon that misses the leader reads.
LEASE_STREAM = Stream(TOPIC, 1)
TERM_KEY = "term"
LEASE_KEY = "lease"
WRITER_NAME = "leader"


@dataclasses.dataclass(frozen=True)
class Term:
    """One leader's time in office; `report_address` is where it takes load reports.

    Terms are numbered from 1; term 0 has no leader.  A leader that has `resigned` sends nothing
    more, and tells for how many milliseconds long grants may last.
    """

    number: int = 0
    vm: str = ""
    incarnation: str = ""
    report_address: str = ""
    resigned: bool = False
    long_for: int = 0

    def encode(self) -> bytes:
        """Return the term as JSON."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> Term:
        """Return the term that `encode` wrote; raise ValueError for anything else."""
        try:
            return cls(**json.loads(data))
        except TypeError as error:
            raise ValueError(f"not a term: {error}") from error
