"""Errors of the project, and the finding that a check reports."""

from __future__ import annotations

import dataclasses


class FuchsiatrackError(Exception):
    """Base class of every error that the project raises on purpose."""


class PlatformUnavailable(FuchsiatrackError):
    """The platform did not answer, or said that it can't serve the call now."""


class AppendRefused(FuchsiatrackError):
    """The log refused an append before it took effect."""


class RecordsExpired(FuchsiatrackError):
    """The records asked for are older than the log's retention.

    Parameters: *first*, the earliest offset that the log still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
        self.first = first


@dataclasses.dataclass(frozen=True, order=True)
class Finding:
    """One fault in a set of objects: where it is and why it is one."""

    file: str
    object: str
    field: str
    why: str

    def __str__(self) -> str:
        return f"{self.file}: {self.object}: {self.field}: {self.why}"
