"""Servers that asked this daemon to send nothing for a while."""

from __future__ import annotations

from fuchsiatrack.directory.servers import ServerIncarnation


class ServerBackoff:
    """Until when each server wants no requests of this daemon; times in milliseconds.

    A server that turns a request away may name a time for which it wants nothing more from the
    daemon that sent it.  What has been asked for holds for the server's incarnation, also while its
    entry is missing from the directory.  Times are arguments.
    """

    def __init__(self) -> None:
        self._ends: dict[ServerIncarnation, int] = {}

    @property
    def count(self) -> int:
        """How many servers have asked for a time that has not been dropped."""
        return len(self._ends)

    def record(self, server: ServerIncarnation, duration: int, now: int) -> None:
        """Record that *server* wants nothing for *duration* milliseconds."""
        self._ends[server] = max(self._ends.get(server, 0), now + duration)

    def remaining(self, server: ServerIncarnation, now: int) -> int:
        """Return for how long *server* wants no request, in milliseconds."""
        return max(0, self._ends.get(server, 0) - now)

    def drop_outdated(self, now: int) -> None:
        """Drop the times that have ended."""
        self._ends = {server: end for server, end in self._ends.items() if end > now}
