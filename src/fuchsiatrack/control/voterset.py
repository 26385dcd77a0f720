"""Selection of the voters of a shard."""

from __future__ import annotations

from collections.abc import Iterable

from fuchsiatrack.control.records import Daemon

MAX_VOTERS = 5


def majority(voters: tuple[Daemon, ...]) -> int:
    """Return the smallest number of *voters* that is more than half of them."""
    return len(voters) // 2 + 1


def choose_voters(kept: tuple[Daemon, ...], reachable: Iterable[Daemon]) -> tuple[Daemon, ...]:
    """Return *kept* with voters added from *reachable*, up to `MAX_VOTERS`.

    Candidates from the least represented failure domains come first.  If any are added, the
    number of voters is odd.
    """
    chosen = list(kept)
    candidates = [daemon for daemon in reachable if daemon not in chosen]
    while candidates and len(chosen) < MAX_VOTERS:
        used_domains = [daemon.failure_domain for daemon in chosen]
        best = min(
            candidates, key=lambda daemon: (used_domains.count(daemon.failure_domain), daemon.vm)
        )
        candidates.remove(best)
        chosen.append(best)
    if len(chosen) % 2 == 0 and len(chosen) > len(kept):
        chosen.pop()
    return tuple(chosen)
