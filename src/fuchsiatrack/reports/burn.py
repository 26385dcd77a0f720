"""The burn report: how fast services use up their error budgets, over all daemons."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

# An alarm requires both windows of a pair to reach their alarm rate; a high rate in only
# one window is not taken for an actual burn and raises no alarm.
WINDOW_PAIRS = (("5m", "1h"), ("30m", "6h"))
ALARM_BURN_RATES = {"5m": 14.4, "1h": 14.4, "30m": 6.0, "6h": 6.0}
BUDGET_WINDOW = "6h"
ALL_CALLERS = "*"


@dataclasses.dataclass(frozen=True)
class BurnRow:
    """Burn rates of one objective.

    A rate of 1.0 uses up a window's error budget exactly within that window.  `rates` maps a
    window's name to its burn rate, None if nothing was measured.  `budget_left` is the remaining
    share of the error budget of `BUDGET_WINDOW`, negative if overspent.
    """

    service: str
    caller: str
    objective: str
    target: float
    rates: Mapping[str, float | None]
    budget_left: float | None

    @property
    def has_alarm(self) -> bool:
        """Whether both windows of a pair have reached their alarm rates."""
        return any(
            all((self.rates.get(name) or 0.0) >= ALARM_BURN_RATES[name] for name in pair)
            for pair in WINDOW_PAIRS
        )


@dataclasses.dataclass(frozen=True)
class BurnReport:
    """Rows of all services; `missing` names the daemons that did not respond."""

    rows: tuple[BurnRow, ...]
    answered: tuple[str, ...]
    missing: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether the sums include the measurements of every daemon."""
        return not self.missing


def build(responses: Iterable[tuple[str, Any]]) -> BurnReport:
    """Return the burn report over all daemons.

    *responses* are pairs of a daemon's name and the body of its ``/levels`` response, None if it
    did not respond.
    """
    pairs = list(responses)
    bodies = [body for _, body in pairs if body is not None]
    objectives: dict[str, Any] = {}
    for body in bodies:
        objectives |= body["objectives"]
    rows = [*_request_rows(bodies, objectives), *_availability_rows(bodies, objectives)]
    return BurnReport(
        tuple(sorted(rows, key=lambda row: (row.service, row.objective, row.caller))),
        tuple(name for name, body in pairs if body is not None),
        tuple(name for name, body in pairs if body is None),
    )


def _request_rows(bodies: list[Any], objectives: Mapping[str, Any]) -> Iterable[BurnRow]:
    totals: dict[tuple[str, str], dict[str, list[int]]] = collections.defaultdict(dict)
    for body in bodies:
        for window, sums in body["windows"].items():
            for level in sums["levels"]:
                for caller in (level["caller"], ALL_CALLERS):
                    counts = totals[(level["service"], caller)].setdefault(window, [0, 0])
                    counts[0] += level["sent"]
                    counts[1] += level["sent"] - level["good"]
    for (service, caller), windows in totals.items():
        if service in objectives:
            target = objectives[service]["answered"]
            yield _create_row(service, caller, "answered", target, windows)


def _availability_rows(bodies: list[Any], objectives: Mapping[str, Any]) -> Iterable[BurnRow]:
    totals: dict[str, dict[str, list[int]]] = collections.defaultdict(dict)
    for body in bodies:
        for window, sums in body["windows"].items():
            for availability in sums["keys"]:
                counts = totals[availability["service"]].setdefault(window, [0, 0])
                counts[0] += availability["watched"]
                counts[1] += availability["unavailable"]
    for service, windows in totals.items():
        if service in objectives:
            target = objectives[service]["available"]
            yield _create_row(service, ALL_CALLERS, "available", target, windows)


def _create_row(
    service: str, caller: str, objective: str, target: float, windows: Mapping[str, list[int]]
) -> BurnRow:
    rates = {name: _burn_rate(counts, target) for name, counts in windows.items()}
    budget_spent = rates.get(BUDGET_WINDOW)
    budget_left = None if budget_spent is None else 1 - budget_spent
    return BurnRow(service, caller, objective, target, rates, budget_left)


def _burn_rate(counts: list[int], target: float) -> float | None:
    total, bad = counts
    return None if total == 0 else (bad / total) / (1 - target)
