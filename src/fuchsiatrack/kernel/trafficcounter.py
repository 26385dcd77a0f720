"""Counts of the bytes sent and received by purpose and failure domain."""

from __future__ import annotations

import enum

from fuchsiatrack.kernel.metrics import Metrics


class TrafficPurpose(enum.Enum):
    """What bytes are transferred for; the values are part of metric names."""

    REQUEST = "request"
    GRANT = "grant"
    LOAD_REPORT = "load_report"
    ACKNOWLEDGEMENT = "acknowledgement"
    OWNERSHIP = "ownership"
    PERMIT = "permit"
    LOG = "log"


class TrafficCounter:
    """Counts bytes, apart for peers of *failure_domain* and of others, to which traffic is charged.

    The counters are named `bytes.PURPOSE.DIRECTION.DOMAIN`, where DIRECTION is `sent` or
    `received`, and DOMAIN is `same`, `other` or, if the peer's failure domain isn't known,
    `unknown`.
    """

    def __init__(self, metrics: Metrics, failure_domain: str) -> None:
        self._metrics = metrics
        self._failure_domain = failure_domain

    def add(self, purpose: TrafficPurpose, peer_domain: str, sent: int, received: int) -> None:
        """Count bytes of a peer in *peer_domain*, which is empty if it isn't known."""
        domain = self._relation(peer_domain)
        self._metrics.count(f"bytes.{purpose.value}.sent.{domain}", sent)
        self._metrics.count(f"bytes.{purpose.value}.received.{domain}", received)

    def _relation(self, peer_domain: str) -> str:
        if not peer_domain:
            return "unknown"
        return "same" if peer_domain == self._failure_domain else "other"
