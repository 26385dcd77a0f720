"""Ownership maps, which assign the key ranges of a service to backend servers."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import json
from collections.abc import Iterable
from typing import Any

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.kernel.fields import decode_object, describe, field, natural

# Keys are the integers from 0 to LAST_KEY.
LAST_KEY = 65_535


@dataclasses.dataclass(frozen=True)
class KeyInterval:
    """The keys from `first` to `last`."""

    first: int
    last: int


@dataclasses.dataclass(frozen=True)
class OwnedRange:
    """A range of keys from `first` to `last`, and its owner.

    While `successor` is set, the range is moving there, and its grant to the successor will have
    `next_fence`. `handover` is the token with which the previous owner released the range.
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
        """Whether the range is moving to a successor."""
        return self.successor is not None

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether any key from *first* to *last* is in the range."""
        return self.first <= last and first <= self.last


@dataclasses.dataclass(frozen=True)
class OwnershipMap:
    """The ranges of one service in key order; they cover all keys, or there are none.

    `fence` is the greatest fence used so far, and `revision` counts the changes of the map. Methods
    that return a changed map leave its `revision` at 0; the caller sets it by `with_revision`.
    """

    ranges: tuple[OwnedRange, ...] = ()
    fence: int = 0
    revision: int = 0

    def find(self, key: int) -> OwnedRange | None:
        """Return the range that contains *key*, or None."""
        index = bisect.bisect_right(self.ranges, key, key=lambda item: item.first) - 1
        return self.ranges[index] if index >= 0 else None

    def owned_by(self, incarnation: ServerIncarnation) -> tuple[OwnedRange, ...]:
        """Return the ranges owned by *incarnation*, including those that are moving away."""
        return tuple(item for item in self.ranges if item.owner == incarnation)

    def start_move(self, first: int, last: int, successor: ServerIncarnation) -> OwnershipMap:
        """Return a map in which the keys from *first* to *last* are moving to *successor*.

        Ranges that are already moving, or belong to *successor*, stay unchanged.
        """
        fence = self.fence + 1
        ranges = []
        for item in self.ranges:
            if not item.overlaps(first, last) or item.is_moving or item.owner == successor:
                ranges.append(item)
                continue
            before, moved, after = _split(item, first, last)
            ranges += before
            ranges.append(dataclasses.replace(moved, successor=successor, next_fence=fence))
            ranges += after
        return OwnershipMap(tuple(ranges), fence)

    def redirect(self, first: int, successor: ServerIncarnation) -> OwnershipMap:
        """Return a map in which the moving range that starts at *first* moves to *successor*."""
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
        """Return a map in which *moved* belongs to its successor.

        Raise ValueError if *moved* is not moving.
        """
        if moved.successor is None:
            raise ValueError(f"range {moved.first} to {moved.last} is not moving")
        finished = OwnedRange(moved.first, moved.last, moved.successor, moved.next_fence, handover)
        ranges = tuple(finished if item == moved else item for item in self.ranges)
        return OwnershipMap(ranges, self.fence)

    def raise_fence(self, item: OwnedRange) -> OwnershipMap:
        """Return a map in which *item* has a greater fence and the same owner."""
        fence = self.fence + 1
        raised = dataclasses.replace(item, fence=fence)
        ranges = tuple(raised if other == item else other for other in self.ranges)
        return OwnershipMap(ranges, fence)

    def start_above(self, number: int) -> OwnershipMap:
        """Return a map whose next fence and revision are above *number*."""
        fence, revision = max(self.fence, number), max(self.revision, number)
        return dataclasses.replace(self, fence=fence, revision=revision)

    def restart(self) -> OwnershipMap:
        """Return a map in which no range is moving and all have a new fence."""
        fence = self.fence + 1
        ranges = tuple(OwnedRange(item.first, item.last, item.owner, fence) for item in self.ranges)
        return OwnershipMap(ranges, fence, self.revision)

    def merge_neighbours(self) -> OwnershipMap:
        """Return a map in which adjacent ranges of the same owner are merged.

        A merged range keeps the greater of both fences and no handover. The fence of a key grows
        with each new owner, so the greater one is also above those that earlier owners had for any
        of the keys, and grants continue without a new fence.
        """
        ranges: list[OwnedRange] = []
        for item in self.ranges:
            previous = ranges[-1] if ranges else None
            if (
                previous
                and previous.owner == item.owner
                and not (previous.is_moving or item.is_moving)
            ):
                fence = max(previous.fence, item.fence)
                ranges[-1] = OwnedRange(previous.first, item.last, item.owner, fence)
            else:
                ranges.append(item)
        return OwnershipMap(tuple(ranges), self.fence) if len(ranges) < len(self.ranges) else self

    def changed_keys(self, earlier: OwnershipMap) -> tuple[KeyInterval, ...]:
        """Return the intervals of keys whose ranges differ from those of *earlier*, in order."""
        unchanged = set(earlier.ranges)
        return tuple(
            KeyInterval(item.first, item.last) for item in self.ranges if item not in unchanged
        )

    def overlapping(self, intervals: Iterable[KeyInterval]) -> tuple[OwnedRange, ...]:
        """Return the ranges that have keys in any of *intervals*, in key order."""
        wanted = tuple(intervals)
        return tuple(
            item
            for item in self.ranges
            if any(item.overlaps(interval.first, interval.last) for interval in wanted)
        )

    def replace_ranges(
        self, ranges: Iterable[OwnedRange], fence: int, revision: int
    ) -> OwnershipMap:
        """Return a map in which *ranges* replace those that have any of their keys.

        Raise ValueError if the ranges to replace have other keys as well.
        """
        added = tuple(ranges)
        intervals = sorted((item.first, item.last) for item in added)
        kept = tuple(item for item in self.ranges if not _overlaps_any(item, intervals))
        replaced = OwnershipMap(
            tuple(sorted((*kept, *added), key=lambda item: item.first)), fence, revision
        )
        if not replaced.covers_all_keys:
            raise ValueError(f"ranges do not fit into revision {self.revision} (got {intervals})")
        return replaced

    @property
    def covers_all_keys(self) -> bool:
        """Whether each key is in exactly one range."""
        ends = [-1, *(item.last for item in self.ranges)]
        starts = [*(item.first for item in self.ranges), LAST_KEY + 1]
        return all(end + 1 == start for end, start in zip(ends, starts, strict=True))

    def with_revision(self, revision: int) -> OwnershipMap:
        """Return the same map with *revision*."""
        return dataclasses.replace(self, revision=revision)

    def encode(self) -> bytes:
        """Return the map as JSON."""
        rows = [encode_range(item) for item in self.ranges]
        body = {"fence": self.fence, "revision": self.revision, "ranges": rows}
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> OwnershipMap:
        """Return the map encoded in *data*; raise ValueError if *data* is malformed."""
        body = decode_object(data)
        ranges = tuple(decode_range(row) for row in field(body, "ranges", list))
        return cls(ranges, natural(body, "fence"), natural(body, "revision"))


def divide_evenly(incarnations: Iterable[ServerIncarnation], fence: int) -> OwnershipMap:
    """Return a map that gives each of *incarnations* an equal share of the keys under *fence*.

    Raise ValueError if there are none.
    """
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


def _split(
    item: OwnedRange, first: int, last: int
) -> tuple[list[OwnedRange], OwnedRange, list[OwnedRange]]:
    """Return the parts of *item* before, inside and after the keys from *first* to *last*."""
    start, end = max(item.first, first), min(item.last, last)
    before = [dataclasses.replace(item, last=start - 1)] if item.first < start else []
    after = [dataclasses.replace(item, first=end + 1)] if item.last > end else []
    return before, dataclasses.replace(item, first=start, last=end), after


def _overlaps_any(item: OwnedRange, intervals: list[tuple[int, int]]) -> bool:
    """Return whether *item* has keys in any of *intervals*, which are sorted and disjoint."""
    index = bisect.bisect_right(intervals, item.last, key=lambda interval: interval[0]) - 1
    return index >= 0 and intervals[index][1] >= item.first


# Types of the values that encode a range.
_ROW_TYPES = (int, int, str, int, int, str, str, int, int)


def encode_range(item: OwnedRange) -> list:
    """Return *item* as a list of JSON values."""
    successor = [item.successor.server, item.successor.started_at] if item.successor else ["", 0]
    return [
        item.first,
        item.last,
        item.owner.server,
        item.owner.started_at,
        item.fence,
        item.handover,
        *successor,
        item.next_fence,
    ]


def decode_range(row: Any) -> OwnedRange:
    """Return the range encoded in *row*; raise ValueError if it encodes none."""
    if not isinstance(row, list) or tuple(map(type, row)) != _ROW_TYPES:
        raise ValueError(f"not a range: {describe(row)}")
    first, last, owner, started_at, fence, handover, successor, next_started_at, next_fence = row
    if not 0 <= first <= last <= LAST_KEY:
        raise ValueError(f"not a range of keys: {first} to {last}")
    return OwnedRange(
        first,
        last,
        ServerIncarnation(owner, started_at),
        fence,
        handover,
        ServerIncarnation(successor, next_started_at) if successor else None,
        next_fence,
    )
