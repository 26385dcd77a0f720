"""Order in which keys leave servers whose failure domain is evacuated."""

from __future__ import annotations

from collections.abc import Collection

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.ranges.load import KeyRates
from fuchsiatrack.ranges.ownership import OwnershipMap
from fuchsiatrack.ranges.planner import PlannedMove


def first_moves(
    moves: tuple[PlannedMove, ...],
    ownership: OwnershipMap,
    rates: KeyRates,
    leaving: Collection[ServerIncarnation],
    receivers: Collection[ServerIncarnation],
) -> tuple[PlannedMove, ...]:
    """Return those of *moves* that are to start now.

    The *leaving* servers still serve the keys that haven't begun to move, so that at most as many
    ranges move at a time as there are *receivers*, the busiest first: requests that wait for all
    moves would reach the receivers all at once.  Keys of receivers move only once the last move
    from the leaving servers has started.
    """
    moving, waiting, others = 0, [], []
    for item in ownership.ranges:
        moving += item.is_moving and item.owner in leaving
    for move in moves:
        item = ownership.find(move.first)
        is_waiting = item is not None and not item.is_moving and item.owner in leaving
        (waiting if is_waiting else others).append(move)
    allowed = max(0, len(receivers) - moving)
    if len(waiting) <= allowed:
        return moves
    waiting.sort(key=lambda move: rates.between(move.first, move.last), reverse=True)
    forced = [move for move in others if _must_move(move, ownership, receivers)]
    return (*forced, *waiting[:allowed])


def _must_move(
    move: PlannedMove, ownership: OwnershipMap, receivers: Collection[ServerIncarnation]
) -> bool:
    item = ownership.find(move.first)
    return item is None or (item.successor or item.owner) not in receivers
