"""Errors of the project, and the findings of a check."""

from __future__ import annotations

import dataclasses


class FuchsiatrackError(Exception):
    """Base class of the errors that the project defines."""


class PlatformUnavailable(FuchsiatrackError):
    """The platform did not respond, or reported that it can't serve the call now."""


class AppendRefused(FuchsiatrackError):
    """The log service rejected an append, which had no effect."""


class PlatformBusy(PlatformUnavailable):
    """A service of the platform rejected a call for now."""


class RecordsExpired(FuchsiatrackError):
    """The log doesn't have the requested offset.

    `first` is the earliest offset that the log still holds.  If that isn't behind the requested
    offset, the log ends before it.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"the log holds records from offset {first} on")
        self.first = first


@dataclasses.dataclass(frozen=True, order=True)
class Finding:
    """One fault in a set of configuration objects: its place and, as `why`, its reason."""

    file: str
    object: str
    field: str
    why: str

    def __str__(self) -> str:
        return f"{self.file}: {self.object}: {self.field}: {self.why}"
