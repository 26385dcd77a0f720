"""Judging what was seen while a scenario ran."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from fuchsiatrack_standins.compare import Comparison
from fuchsiatrack_standins.scenarios.language import Check, Scenario
from fuchsiatrack_standins.scenarios.runner import Observation


@dataclasses.dataclass(frozen=True)
class Judgement:
    """Whether a check held, and what speaks against it."""

    check: Check
    faults: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether the check held."""
        return not self.faults


def judge(scenario: Scenario, seen: Observation) -> list[Judgement]:
    """Return a judgement for each check of *scenario*; a moment not reached fails the first."""
    assert seen.comparison
    results = [
        Judgement(check, _JUDGES[check.kind](check, seen, seen.comparison))
        for check in scenario.checks
    ]
    missed = [f"never came: {moment}" for moment in seen.not_reached]
    if not seen.converged:
        missed.append("did not converge")
    if missed:
        results.insert(0, Judgement(Check("played"), tuple(missed)))
    return results


def _served_within(check: Check, seen: Observation, found: Comparison) -> tuple[str, ...]:
    slow = [item for item in seen.served if item.waited > check.seconds * 1_000]
    return tuple(
        f"key {item.key} was served after {item.waited:.0f} ms"
        f" at {(item.since - seen.started) / 1_000:.1f} s"
        for item in slow
    )


def _accepted_in_force(check: Check, seen: Observation, found: Comparison) -> tuple[str, ...]:
    last = {number: revision for _, number, revision in seen.in_force}
    newest = max(seen.accepted, default=0)
    return tuple(
        f"daemon {number} has revision {revision}, accepted was {newest}"
        for number, revision in last.items()
        if revision < newest and number in _latest_numbers(seen)
    )


def _latest_numbers(seen: Observation) -> set[int]:
    end = max((at for at, _, _ in seen.in_force), default=0.0)
    return {number for at, number, _ in seen.in_force if at > end - 1_500}


def _no_revert(check: Check, seen: Observation, found: Comparison) -> tuple[str, ...]:
    highest: dict[int, int] = {}
    faults = []
    for _, number, revision in seen.in_force:
        if 0 < revision < highest.get(number, 0):
            faults.append(f"daemon {number} went from {highest[number]} to {revision}")
        highest[number] = max(highest.get(number, 0), revision)
    return tuple(faults)


def _none_cut(check: Check, seen: Observation, found: Comparison) -> tuple[str, ...]:
    return (f"{found.unsure} requests may have run",) if found.unsure else ()


def _clean_stops(check: Check, seen: Observation, found: Comparison) -> tuple[str, ...]:
    return tuple(f"exit code {code}" for code in seen.exits if code)


_Judge = Callable[[Check, Observation, Comparison], tuple[str, ...]]
_JUDGES: dict[str, _Judge] = {
    "one_owner": lambda check, seen, found: found.overlaps,
    "fences_grow": lambda check, seen, found: found.fences,
    "orders_once": lambda check, seen, found: found.doubled,
    "refusals_true": lambda check, seen, found: found.ran_though_refused,
    "answers_whole": lambda check, seen, found: found.lost,
    "accepted_in_force": _accepted_in_force,
    "no_revert": _no_revert,
    "served_within": _served_within,
    "none_cut": _none_cut,
    "clean_stops": _clean_stops,
}
