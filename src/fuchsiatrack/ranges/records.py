"""Term records, and the streams and record keys of leadership and ownership on the log."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from fuchsiatrack.control.compactedlog import Stream
from fuchsiatrack.kernel.fields import decode_object, field, natural

TOPIC = "ownership"
# Term records and ownership maps, read by every daemon.
STATE_STREAM = Stream(TOPIC, 0)
# Lease renewals, read only by daemons that have lost contact with the leader.
LEASE_STREAM = Stream(TOPIC, 1)
TERM_KEY = "term"
LEASE_KEY = "lease"
# The era of the log in which a leader knew all grants, and wrote all maps.
ERA_KEY = "era"
WRITER_NAME = "leader"
# Assumed of grants where a record or notice doesn't state both times; longer than any grant.
UNKNOWN_REMAINING_MS = 60_000


def decode_remaining(body: Mapping[str, Any]) -> tuple[int, int]:
    """Return the values of `long_for` and `sending_for` in milliseconds.

    A daemon that states only `long_for` doesn't include what it inherited.
    Raise ValueError if either is malformed.
    """
    long_for = natural(body, "long_for")
    if "sending_for" not in body:
        return UNKNOWN_REMAINING_MS, UNKNOWN_REMAINING_MS
    return long_for, natural(body, "sending_for")


@dataclasses.dataclass(frozen=True)
class Term:
    """The term of one leader; `report_address` is where it receives load reports.

    Terms are numbered from 1; term 0 has no leader. A leader that has `resigned` sends no more
    grants, and its extended grants may last for another `long_for` milliseconds; leaders before it
    may send grants for another `sending_for` milliseconds.
    """

    number: int = 0
    vm: str = ""
    incarnation: str = ""
    report_address: str = ""
    resigned: bool = False
    long_for: int = 0
    sending_for: int = 0

    def encode(self) -> bytes:
        """Return the term as JSON."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, data: bytes) -> Term:
        """Return the term encoded in *data*; raise ValueError if *data* is malformed."""
        body = decode_object(data)
        return cls(
            natural(body, "number"),
            field(body, "vm", str),
            field(body, "incarnation", str),
            field(body, "report_address", str),
            field(body, "resigned", bool),
            *decode_remaining(body),
        )


@dataclasses.dataclass(frozen=True)
class EndedTerm:
    """The end of term `number`, whose leader sends no more grants; times are in milliseconds.

    Leaders before it may send grants until `sends_until`, and extended grants, its own included,
    may be valid until `valid_until`.
    """

    number: int = 0
    sends_until: int = 0
    valid_until: int = 0


def encode_era(era: int) -> bytes:
    """Return the confirmation of *era* as JSON."""
    return json.dumps({"era": era}).encode()


def decode_era(data: bytes) -> int:
    """Return the era confirmed in *data*; raise ValueError if *data* is malformed."""
    return natural(decode_object(data), "era")
