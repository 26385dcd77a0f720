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
    """The requested records are older than the log's retention.

    `first` is the earliest offset that the log still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
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
