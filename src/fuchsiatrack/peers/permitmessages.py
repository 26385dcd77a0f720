"""Datagrams by which daemons ask the leader for permits and tell each other of limits.

Leaders of builds before retry permits don't answer requests for them.
"""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Iterable
from typing import Any

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.fields import decode_object, decoding, describe, field, natural
from fuchsiatrack.limits.issuer import Permit
from fuchsiatrack.limits.registry import LimitNotice

REQUEST_PREFIX = b'{"permit_request"'
RETRY_REQUEST_PREFIX = b'{"retry_request"'
RESPONSE_PREFIX = b'{"permit_response"'


def encode_notices(notices: Iterable[LimitNotice]) -> list[list[Any]]:
    """Return *notices* for JSON, as rows of server, start, rate and age."""
    return [[item.server.server, item.server.started_at, item.rate, item.age] for item in notices]


def decode_notices(rows: Iterable[Any]) -> tuple[LimitNotice, ...]:
    """Return the notices in *rows*; raise ValueError if a row is malformed."""
    with decoding("limit notices"):
        return tuple(
            LimitNotice(
                ServerIncarnation(str(server), int(started_at)),
                None if rate is None else _decode_rate(rate),
                max(0, int(age)),
            )
            for server, started_at, rate, age in rows
        )


def _decode_rate(value: Any) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < math.inf:
        raise ValueError(f"not a rate: {describe(value)}")
    return float(value)


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """A request for one permit to send to the server of `notice` within `max_delay` ms.

    `number` identifies the request at its sender, and `notice` is what it knows of the limit.  A
    smaller `priority` is more urgent; daemons before 5 December 2026 send none.  `own_rate` is the
    limit that the sender keeps there of its own accord, in requests per second, None if there is
    none; daemons before 7 December 2026 send none.
    """

    number: int
    max_delay: int
    notice: LimitNotice
    priority: int = 0
    own_rate: float | None = None

    def encode(self) -> bytes:
        """Return the request as JSON."""
        # The first key must stay first: `ReportProtocol` identifies the message by it.
        body = {
            "permit_request": self.number,
            "max_delay": self.max_delay,
            "limits": encode_notices([self.notice]),
            "priority": self.priority,
        }
        if self.own_rate is not None:
            body["own_rate"] = self.own_rate
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> PermitRequest:
        """Return the request encoded in *data*; raise ValueError if it encodes none."""
        body = decode_object(data)
        with decoding("a permit request"):
            [notice] = decode_notices(body["limits"])
            return cls(
                int(body["permit_request"]),
                int(body["max_delay"]),
                notice,
                int(body.get("priority", 0)),
                None if body.get("own_rate") is None else _decode_rate(body["own_rate"]),
            )


@dataclasses.dataclass(frozen=True)
class RetryPermitRequest:
    """A request for one permit to send a retry to `service`, from its fixed allowance.

    `number` identifies the request at its sender, among its permit requests of all kinds.
    """

    number: int
    service: str

    def encode(self) -> bytes:
        """Return the request as JSON."""
        # The first key must stay first: `ReportProtocol` identifies the message by it.
        body = {"retry_request": self.number, "service": self.service}
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> RetryPermitRequest:
        """Return the request encoded in *data*; raise ValueError if it encodes none."""
        body = decode_object(data)
        return cls(natural(body, "retry_request"), field(body, "service", str))


@dataclasses.dataclass(frozen=True)
class PermitResponse:
    """The leader's decision on the permit request with `number`."""

    number: int
    permit: Permit

    def encode(self) -> bytes:
        """Return the response as JSON."""
        # The first key must stay first: `ReportProtocol` identifies the message by it.
        body = {
            "permit_response": self.number,
            "granted": self.permit.granted,
            "delay": self.permit.delay,
        }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> PermitResponse:
        """Return the response encoded in *data*; raise ValueError if it encodes none."""
        body = decode_object(data)
        with decoding("a permit response"):
            permit = Permit(bool(body["granted"]), max(0, int(body["delay"])))
            return cls(int(body["permit_response"]), permit)
