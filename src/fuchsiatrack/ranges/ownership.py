"""The assignment of a service's key ranges to backend servers."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import json
from collections.abc import Iterable

from fuchsiatrack.directory.servers import ServerIncarnation

# Keys are the integers from 0 to LAST_KEY.
LAST_KEY = 65_535


@dataclasses.dataclass(frozen=True)
class OwnedRange:
    """The keys from `first` to `last` and their owner.

    While `successor` is set the range is leaving its owner, and `fence` of the successor's grant
    will be `next_fence`.  `handover` is the token that the previous owner gave up the range with.
    """

    first: int
    last: int
    owner: ServerIncarnation
    fence: int
    handover: str = ""
    successor: ServerIncarnation | None = None
    next_fence: int = 0

    @property
    def size(self) -> int:
        """The number of keys."""
        return self.last - self.first + 1

    @property
    def is_moving(self) -> bool:
        """Whether the range is leaving its owner."""
        return self.successor is not None

    def overlaps(self, first: int, last: int) -> bool:
        """Tell whether any key from *first* to *last* is in the range."""
        return self.first <= last and first <= self.last


@dataclasses.dataclass(frozen=True)
class OwnershipMap:
    """All ranges of one service in order of their keys; together they hold every key, or none.

    `fence` is the greatest one used, `revision` counts the changes.
    """

    ranges: tuple[OwnedRange, ...] = ()
    fence: int = 0
    revision: int = 0

    def find(self, key: int) -> OwnedRange | None:
        """Return the range that holds *key*."""
        index = bisect.bisect_right(self.ranges, key, key=lambda item: item.first) - 1
        return self.ranges[index] if index >= 0 else None

    def of(self, incarnation: ServerIncarnation) -> tuple[OwnedRange, ...]:
        """Return the ranges that *incarnation* owns or is leaving."""
        return tuple(item for item in self.ranges if item.owner == incarnation)

    def start_move(self, first: int, last: int, successor: ServerIncarnation) -> OwnershipMap:
        """Return a map in which the keys from *first* to *last* have begun to move.

        Ranges that are already moving keep their successor.
        """
        fence = self.fence + 1
        ranges = []
        for item in self.ranges:
            if not item.overlaps(first, last) or item.is_moving or item.owner == successor:
                ranges.append(item)
                continue
            before, moved, after = _cut(item, first, last)
            ranges += before
            ranges.append(dataclasses.replace(moved, successor=successor, next_fence=fence))
            ranges += after
        return OwnershipMap(tuple(ranges), fence)

    def redirect(self, first: int, successor: ServerIncarnation) -> OwnershipMap:
        """Return a map in which the moving range that starts at *first* goes to *successor*."""
        ranges = tuple(
            (
                dataclasses.replace(item, successor=successor)
                if item.first == first and item.is_moving
                else item
            )
            for item in self.ranges
        )
        return OwnershipMap(ranges, self.fence)

    def finish_move(self, moved: OwnedRange, handover: str) -> OwnershipMap:
        """Return a map in which *moved* belongs to its successor."""
        if moved.successor is None:
            raise ValueError(f"range {moved.first} to {moved.last} is not moving")
        done = OwnedRange(moved.first, moved.last, moved.successor, moved.next_fence, handover)
        ranges = tuple(done if item == moved else item for item in self.ranges)
        return OwnershipMap(ranges, self.fence)

    def renew_fence(self, item: OwnedRange) -> OwnershipMap:
        """Return a map in which *item* keeps its owner under a new fence."""
        fence = self.fence + 1
        renewed = dataclasses.replace(item, fence=fence)
        ranges = tuple(renewed if other == item else other for other in self.ranges)
        return OwnershipMap(ranges, fence)

    def merge_neighbours(self) -> OwnershipMap:
        """Return a map in which ranges of one owner that touch are one.

        The greater fence of the two is above every other owner's, since no two owners ever get
        the same one, so grants go on under fences that are already used.
        """
        ranges: list[OwnedRange] = []
        for item in self.ranges:
            before = ranges[-1] if ranges else None
            if before and before.owner == item.owner and not (before.is_moving or item.is_moving):
                fence = max(before.fence, item.fence)
                ranges[-1] = OwnedRange(before.first, item.last, item.owner, fence)
            else:
                ranges.append(item)
        return OwnershipMap(tuple(ranges), self.fence) if len(ranges) < len(self.ranges) else self

    def with_revision(self, revision: int) -> OwnershipMap:
        """Return the same map as change number *revision*."""
        return dataclasses.replace(self, revision=revision)

    def encode(self) -> bytes:
        """Return the map as JSON."""
        rows = [
            [
                item.first,
                item.last,
                item.owner.server,
                item.owner.started_at,
                item.fence,
                item.handover,
                *(
                    [item.successor.server, item.successor.started_at]
                    if item.successor
                    else ["", 0]
                ),
                item.next_fence,
            ]
            for item in self.ranges
        ]
        body = {"fence": self.fence, "revision": self.revision, "ranges": rows}
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> OwnershipMap:
        """Return the map that `encode` wrote; raise ValueError for anything else."""
        try:
            body = json.loads(data)
            ranges = tuple(_decode_row(row) for row in body["ranges"])
            return cls(ranges, int(body["fence"]), int(body["revision"]))
        except (KeyError, TypeError) as error:
            raise ValueError(f"not an ownership map: {error!r}") from error


def divide_evenly(incarnations: Iterable[ServerIncarnation], fence: int) -> OwnershipMap:
    """Return a map that gives each of *incarnations* an equal share of the keys."""
    owners = tuple(incarnations)
    if not owners:
        raise ValueError("no server to own the keys")
    bounds = [(LAST_KEY + 1) * index // len(owners) for index in range(len(owners) + 1)]
    pairs = itertools.pairwise(bounds)
    ranges = tuple(
        OwnedRange(first, end - 1, owner, fence)
        for owner, (first, end) in zip(owners, pairs, strict=True)
    )
    return OwnershipMap(ranges, fence)


def _cut(
    item: OwnedRange, first: int, last: int
) -> tuple[list[OwnedRange], OwnedRange, list[OwnedRange]]:
    """Split *item* into the parts before, inside and after the keys from *first* to *last*."""
    start, end = max(item.first, first), min(item.last, last)
    before = [dataclasses.replace(item, last=start - 1)] if item.first < start else []
    after = [dataclasses.replace(item, first=end + 1)] if item.last > end else []
    return before, dataclasses.replace(item, first=start, last=end), after


def _decode_row(row: list) -> OwnedRange:
    first, last, owner, started_at, fence, handover, successor, next_started_at, next_fence = row
    return OwnedRange(
        first,
        last,
        ServerIncarnation(owner, started_at),
        fence,
        handover,
        ServerIncarnation(successor, next_started_at) if successor else None,
        next_fence,
    )
