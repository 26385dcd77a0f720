"""Servers that several daemons failed to reach, as far as the leader hears."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.limits.registry import LimitNotice

# Failures of different daemons this close to each other confirm one another.
CONFIRMATION_MS = 2_000
# One daemon that fails to reach a server may be cut off itself.
CONFIRMING_DAEMONS = 2


class FailureTally:
    """The latest failure of each daemon to reach each server.

    Answers a server that restarts under its id: few of many daemons notice, and the others send it
    their full share until its new entry arrives.  Times are arguments, in milliseconds.
    """

    def __init__(self) -> None:
        self._failed_at: dict[ServerIncarnation, dict[str, int]] = {}

    def record(self, vm: str, notices: Iterable[LimitNotice], now: int) -> None:
        """Record what *vm* reports; the age of a notice is the time since the failure."""
        for notice in notices:
            failed_at = now - notice.age
            if notice.age < CONFIRMATION_MS:
                self._failed_at.setdefault(notice.server, {})[vm] = failed_at

    def confirmed(self, now: int) -> tuple[LimitNotice, ...]:
        """Return the servers that enough daemons failed to reach, and forget older failures."""
        self._failed_at = {
            server: recent
            for server, by_vm in self._failed_at.items()
            if (recent := {vm: at for vm, at in by_vm.items() if now - at < CONFIRMATION_MS})
        }
        return tuple(
            LimitNotice(server, None, now - max(by_vm.values()))
            for server, by_vm in self._failed_at.items()
            if len(by_vm) >= CONFIRMING_DAEMONS
        )
