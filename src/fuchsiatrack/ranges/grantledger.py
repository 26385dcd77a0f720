"""Which servers may hold which keys; nothing else decides that keys are free."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterator, Mapping

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.errors import FuchsiatrackError
from fuchsiatrack.ranges.ownership import LAST_KEY

# The clock by which a server measures a grant may run slow by this much.
CLOCK_DRIFT_PERCENT = 2


def longest_duration(duration: int) -> int:
    """Return for how many milliseconds a grant of *duration* can last if the clock runs slow."""
    return duration + -(-duration * CLOCK_DRIFT_PERCENT // 100)


class KeysNotFree(FuchsiatrackError):
    """A server other than the one to be granted keys may hold some of them."""


@dataclasses.dataclass(frozen=True)
class PossibleGrant:
    """A grant that the server with id `server` may have accepted, in any of its runs.

    It was sent to `address`, arrives at `arrives_by` or before, and is valid until `expires_at` or
    before; times are in milliseconds.  `number` tells grants of this leader apart and is 0 for
    those of earlier leaders.
    """

    server: str
    address: str
    arrives_by: int
    expires_at: int
    number: int = 0

    @property
    def is_inherited(self) -> bool:
        """Whether an earlier leader sent the grant, or may still send it."""
        return self.number == 0

    def outlasts(self, other: PossibleGrant) -> bool:
        """Return whether what is known of *other* adds nothing to what is known of this grant."""
        return (
            (self.server, self.address) == (other.server, other.address)
            and self.arrives_by >= other.arrives_by
            and self.expires_at >= other.expires_at
        )


_Grants = tuple[PossibleGrant, ...]


class GrantLedger:
    """The grants that servers may have accepted, from this leader and from earlier ones.

    A grant counts until the server has released its keys under a greater fence, or until it has
    expired at the latest time that is possible.  Grants are kept by the server's id and not by its
    run: a server that has restarted accepts what is sent to its former run.  What an entry of the
    server directory or a server's clock says frees no keys.
    Times are in milliseconds of *clock*.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        # The grants of the keys from each start to the one before the next start.
        self._starts = [0]
        self._grants: list[_Grants] = [()]

    # Queries

    def holders(self, first: int, last: int) -> Mapping[str, int]:
        """Return the ids of the servers that may hold any key from *first* to *last*.

        Each comes with the time from which it certainly holds none of them.
        """
        expiries: dict[str, int] = collections.defaultdict(int)
        now = self._clock.now()
        for grant in self._find(first, last):
            if grant.expires_at > now:
                expiries[grant.server] = max(expiries[grant.server], grant.expires_at)
        return expiries

    def free_at(self, first: int, last: int, successor: str) -> int:
        """Return the time from which no server but *successor* holds a key from *first* to *last*.

        That is now if none is known to hold any.
        """
        others = (
            expires_at
            for server, expires_at in self.holders(first, last).items()
            if server != successor
        )
        return max(others, default=self._clock.now())

    def settled_at(self, server: str, first: int, last: int) -> int:
        """Return the time from which no further grant of the keys can arrive at *server*.

        A release that is sent before it doesn't free the keys: should the server restart after
        the release, its new run would accept such a grant.
        """
        arrivals = (grant.arrives_by for grant in self._find(first, last) if grant.server == server)
        return max(arrivals, default=self._clock.now())

    # Grants

    def record_grant(
        self, server: str, address: str, first: int, last: int, arrives_by: int, duration: int
    ) -> PossibleGrant:
        """Record a grant before it is sent to *server*.

        Raise KeysNotFree if another server may hold any of the keys.
        """
        others = self.holders(first, last).keys() - {server}
        if others:
            raise KeysNotFree(
                f"{first} to {last} for {server}: {min(others)} may hold some of the keys"
            )
        grant = PossibleGrant(
            server,
            address,
            arrives_by,
            arrives_by + longest_duration(duration),
            next(self._numbers),
        )
        self._change(first, last, lambda grants: (*grants, grant))
        return grant

    def record_inherited(
        self, server: str, address: str, first: int, last: int, arrives_by: int, duration: int
    ) -> None:
        """Record that earlier leaders may have granted the keys to *server*, or may still do so."""
        expires_at = arrives_by + longest_duration(duration)
        grant = PossibleGrant(server, address, arrives_by, expires_at)
        self._change(first, last, lambda grants: (*grants, grant))

    def cap_inherited(self, arrives_by: int, expires_at: int) -> None:
        """Record that grants of earlier leaders arrive, and expire, at these times or before."""

        def cap(grant: PossibleGrant) -> PossibleGrant:
            if not grant.is_inherited:
                return grant
            return dataclasses.replace(
                grant,
                arrives_by=min(grant.arrives_by, arrives_by),
                expires_at=min(grant.expires_at, expires_at),
            )

        self._change(0, LAST_KEY, lambda grants: tuple(map(cap, grants)))

    def record_response(self, grant: PossibleGrant, first: int, last: int) -> None:
        """Record that the server has responded to *grant*, which has therefore arrived."""
        arrived = dataclasses.replace(grant, arrives_by=min(grant.arrives_by, self._clock.now()))
        self._change(
            first,
            last,
            lambda grants: tuple(
                arrived if other == grant else other
                for other in grants
                if other == grant or not arrived.outlasts(other)
            ),
        )

    def withdraw(self, grant: PossibleGrant, first: int, last: int) -> None:
        """Record that *grant* was certainly not delivered."""
        self._change(first, last, lambda grants: tuple(other for other in grants if other != grant))

    # Ends of grants

    def record_release(self, server: str, first: int, last: int, sent_at: int) -> None:
        """Record that *server* has responded to a release of the keys that was sent at *sent_at*.

        Grants that may arrive later stay: the server may have restarted after its response.
        """
        self._remove(
            first, last, lambda grant: grant.server == server and grant.arrives_by <= sent_at
        )

    def record_absence(
        self, server: str, address: str, first: int, last: int, sent_at: int
    ) -> None:
        """Record that another server responded at *address* to a request sent at *sent_at*.

        An address is given to another server only after the former one has ended.
        """
        self._remove(
            first,
            last,
            lambda grant: (grant.server, grant.address) == (server, address)
            and grant.arrives_by <= sent_at,
        )

    # Intervals of keys

    def _remove(self, first: int, last: int, is_over: Callable[[PossibleGrant], bool]) -> None:
        self._change(first, last, lambda grants: tuple(itertools.filterfalse(is_over, grants)))

    def _find(self, first: int, last: int) -> Iterator[PossibleGrant]:
        begin = bisect.bisect_right(self._starts, first) - 1
        end = bisect.bisect_right(self._starts, last)
        return itertools.chain.from_iterable(self._grants[begin:end])

    def _change(self, first: int, last: int, change: Callable[[_Grants], _Grants]) -> None:
        """Replace the grants of the keys from *first* to *last*, and drop those that expired."""
        begin, end = self._split(first), self._split(last + 1)
        now = self._clock.now()
        for index in range(begin, end):
            changed = change(self._grants[index])
            self._grants[index] = tuple(item for item in changed if item.expires_at > now)
        self._merge(max(0, begin - 1), min(end + 1, len(self._starts)))

    def _split(self, key: int) -> int:
        """Let an interval start at *key*, and return its index."""
        if key > LAST_KEY:
            return len(self._starts)
        index = bisect.bisect_right(self._starts, key) - 1
        if self._starts[index] == key:
            return index
        self._starts.insert(index + 1, key)
        self._grants.insert(index + 1, self._grants[index])
        return index + 1

    def _merge(self, begin: int, end: int) -> None:
        """Merge neighbouring intervals with the same grants."""
        pairs = list(zip(self._starts[begin:end], self._grants[begin:end], strict=True))
        kept = [
            pair for index, pair in enumerate(pairs) if index == 0 or pair[1] != pairs[index - 1][1]
        ]
        self._starts[begin:end] = [start for start, _ in kept]
        self._grants[begin:end] = [grants for _, grants in kept]
