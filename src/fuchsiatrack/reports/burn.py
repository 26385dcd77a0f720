"""The report on service-level burn, from what all daemons measured."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

# Pairs of windows that are looked at together: a burn is real when both show it.
WINDOW_PAIRS = (("5m", "1h"), ("30m", "6h"))
ALARM_RATES = {"5m": 14.4, "1h": 14.4, "30m": 6.0, "6h": 6.0}
BUDGET_WINDOW = "6h"
ALL_CALLERS = "*"


@dataclasses.dataclass(frozen=True)
class BurnRow:
    """Burn of one objective: 1.0 uses up the budget exactly over the objective's period.

    `rates` maps a window to its burn rate, None where nothing was measured.  `budget_left` is
    the share of the longest window's budget that is left, below 0 when overspent.
    """

    service: str
    caller: str
    objective: str
    target: float
    rates: Mapping[str, float | None]
    budget_left: float | None

    @property
    def alarm(self) -> bool:
        """Whether both windows of a pair burn faster than their alarm rate."""
        return any(
            all((self.rates.get(name) or 0.0) >= ALARM_RATES[name] for name in pair)
            for pair in WINDOW_PAIRS
        )


@dataclasses.dataclass(frozen=True)
class BurnReport:
    """Rows of all services; `missing` names the daemons that did not answer."""

    rows: tuple[BurnRow, ...]
    answered: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def is_whole(self) -> bool:
        """Whether every daemon's measurements are in the sums."""
        return not self.missing


def build(replies: Iterable[tuple[str, Any]]) -> BurnReport:
    """Return the report on *replies*, pairs of a daemon's name and what it measured or None."""
    known = list(replies)
    bodies = [body for _, body in known if body is not None]
    objectives: dict[str, Any] = {}
    for body in bodies:
        objectives |= body["objectives"]
    rows = [*_answer_rows(bodies, objectives), *_key_rows(bodies, objectives)]
    return BurnReport(
        tuple(sorted(rows, key=lambda row: (row.service, row.objective, row.caller))),
        tuple(name for name, body in known if body is not None),
        tuple(name for name, body in known if body is None),
    )


def _answer_rows(bodies: list[Any], objectives: Mapping[str, Any]) -> Iterable[BurnRow]:
    shares: dict[tuple[str, str], dict[str, list[int]]] = collections.defaultdict(dict)
    for body in bodies:
        for window, sums in body["windows"].items():
            for level in sums["levels"]:
                for caller in (level["caller"], ALL_CALLERS):
                    counts = shares[(level["service"], caller)].setdefault(window, [0, 0])
                    counts[0] += level["sent"]
                    counts[1] += level["sent"] - level["good"]
    for (service, caller), windows in shares.items():
        if service in objectives:
            target = objectives[service]["answered"]
            yield _row(service, caller, "answered", target, windows)


def _key_rows(bodies: list[Any], objectives: Mapping[str, Any]) -> Iterable[BurnRow]:
    shares: dict[str, dict[str, list[int]]] = collections.defaultdict(dict)
    for body in bodies:
        for window, sums in body["windows"].items():
            for time in sums["keys"]:
                counts = shares[time["service"]].setdefault(window, [0, 0])
                counts[0] += time["watched"]
                counts[1] += time["unavailable"]
    for service, windows in shares.items():
        if service in objectives:
            target = objectives[service]["available"]
            yield _row(service, ALL_CALLERS, "available", target, windows)


def _row(
    service: str, caller: str, objective: str, target: float, windows: Mapping[str, list[int]]
) -> BurnRow:
    rates = {name: _rate(counts, target) for name, counts in windows.items()}
    spent = rates.get(BUDGET_WINDOW)
    left = None if spent is None else 1 - spent
    return BurnRow(service, caller, objective, target, rates, left)


def _rate(counts: list[int], target: float) -> float | None:
    total, bad = counts
    return None if total == 0 else (bad / total) / (1 - target)
