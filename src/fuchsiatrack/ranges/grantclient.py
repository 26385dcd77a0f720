"""Contract of giving key ranges to backend servers and taking them back."""

from __future__ import annotations

import abc
import dataclasses

from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.kernel.errors import FuchsiatrackError


class NotDelivered(FuchsiatrackError):
    """The call certainly never reached the server."""


class WrongServer(NotDelivered):
    """Another server has the address, and did nothing."""


class OutcomeUnknown(FuchsiatrackError):
    """The call may have reached the server, now or later."""


class GrantRefused(FuchsiatrackError):
    """The server has seen a greater fence on one of the keys."""


@dataclasses.dataclass(frozen=True)
class RangeGrant:
    """Keys that a server may serve for `duration` milliseconds from the call's arrival."""

    first: int
    last: int
    fence: int
    duration: int
    handover: str = ""


class RangeGrantClient(abc.ABC):
    """Calls the backend servers; `grant` and `release` raise NotDelivered or OutcomeUnknown.

    Both name the server, so that another one which has its address now does nothing; they raise
    WrongServer then.  *timeout* is in milliseconds.
    """

    @abc.abstractmethod
    async def grant(self, server: ServerEntry, grant: RangeGrant, timeout: int) -> None:
        """Grant or renew; raise GrantRefused when the server has seen a greater fence."""

    @abc.abstractmethod
    async def release(
        self, server: ServerEntry, first: int, last: int, fence: int, timeout: int
    ) -> str:
        """Stop new work on the keys, wait for running work, and return the handover token."""

    @abc.abstractmethod
    async def can_reach(self, address: str, timeout: int) -> bool:
        """Tell whether a new connection to the server can be opened."""

    async def close(self) -> None:
        """Give back connections."""
