"""Interface of the client that grants key ranges to backend servers and releases them."""

from __future__ import annotations

import abc
import dataclasses

from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.kernel.errors import FuchsiatrackError


class NotDelivered(FuchsiatrackError):
    """The request certainly never reached the server."""


class WrongServer(NotDelivered):
    """Another server has the address; it rejected the request.

    *names_other* is whether its response, on a new connection, names it.
    """

    def __init__(self, message: str, names_other: bool = False) -> None:
        super().__init__(message)
        self.names_other = names_other


class OutcomeUnknown(FuchsiatrackError):
    """The request may have reached the server, or may still reach it."""


class GrantRefused(FuchsiatrackError):
    """The server has seen a greater fence for one of the keys."""


@dataclasses.dataclass(frozen=True)
class RangeGrant:
    """A grant for the keys from `first` to `last`.

    It is valid for `duration` milliseconds from its arrival at the server. `handover` is the token
    with which the previous owner released the keys, for a warm start.
    """

    first: int
    last: int
    fence: int
    duration: int
    handover: str = ""


class RangeGrantClient(abc.ABC):
    """Sends grants and releases to backend servers.

    `grant` and `release` raise NotDelivered or OutcomeUnknown. Their requests name the server, so
    that another server at its address rejects them; they raise WrongServer then.  Timeouts are in
    milliseconds; nothing is sent later than its timeout, also if this machine is suspended
    meanwhile, and what has no response by then is no longer delivered if it is still on its way.
    """

    @abc.abstractmethod
    async def grant(self, server: ServerEntry, grant: RangeGrant, timeout: int) -> None:
        """Send or renew a grant; raise GrantRefused if the server has seen a greater fence."""

    @abc.abstractmethod
    async def release(
        self, server: ServerEntry, first: int, last: int, fence: int, timeout: int
    ) -> str:
        """Have *server* stop serving the keys from *first* to *last*, and return the handover.

        The server accepts no new requests for the keys and completes the running ones first.
        """

    @abc.abstractmethod
    async def can_reach(self, address: str, timeout: int) -> bool:
        """Return whether a new connection to *address* can be opened."""

    async def close(self) -> None:
        """Close all connections."""
