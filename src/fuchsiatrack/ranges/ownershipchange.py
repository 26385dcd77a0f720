"""Changes of ownership maps, which are much smaller than the maps."""

from __future__ import annotations

import collections
import dataclasses

from fuchsiatrack.ranges.ownership import KeyInterval, OwnedRange, OwnershipMap

# A change covers this many revisions, so that a daemon that missed fewer datagrams in a row needs
# no read of the log.
COVERED_REVISIONS = 3


@dataclasses.dataclass(frozen=True)
class OwnershipChange:
    """What changed from any of the revisions `base` to `revision` - 1 up to `revision`.

    `ranges` are the ranges of `revision` whose keys changed since `base`; `fence` is its greatest
    fence.
    """

    base: int
    revision: int
    fence: int
    ranges: tuple[OwnedRange, ...]

    def apply(self, ownership: OwnershipMap) -> OwnershipMap:
        """Return *ownership* with this change.

        Raise ValueError if the change doesn't cover the revision of *ownership*.
        """
        if not self.base <= ownership.revision <= self.revision:
            raise ValueError(
                f"change covers revisions {self.base} to {self.revision} "
                f"(got {ownership.revision})"
            )
        return ownership.replace_ranges(self.ranges, self.fence, self.revision)


class OwnershipHistory:
    """The latest changes of one ownership map, kept by the leader."""

    def __init__(self) -> None:
        self._steps: collections.deque[tuple[int, tuple[KeyInterval, ...]]] = collections.deque(
            maxlen=COVERED_REVISIONS
        )

    def record(self, earlier: OwnershipMap, current: OwnershipMap) -> OwnershipChange | None:
        """Record that *current* replaced *earlier*, and return the change to send.

        Return None if *earlier* is empty or not the revision before, so that only the whole map
        will do.
        """
        if not earlier.ranges or current.revision != earlier.revision + 1:
            self._steps.clear()
            return None
        if self._steps and self._steps[-1][0] + 1 != earlier.revision:
            self._steps.clear()
        self._steps.append((earlier.revision, current.changed_keys(earlier)))
        intervals = (interval for _, changed in self._steps for interval in changed)
        return OwnershipChange(
            self._steps[0][0], current.revision, current.fence, current.overlapping(intervals)
        )
