"""Evaluation of a scenario's checks against what was observed during its run."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from fuchsiatrack_standins.compare import Comparison
from fuchsiatrack_standins.scenarios.language import Check, Scenario
from fuchsiatrack_standins.scenarios.runner import Observation


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Result of one check: the violations that were found, none if it passed."""

    check: Check
    violations: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether no violation was found."""
        return not self.violations


def evaluate_checks(scenario: Scenario, observation: Observation) -> list[CheckResult]:
    """Return the result of each check of *scenario*.

    A failed result with the check kind "played" comes first if the run was incomplete: a moment was
    not reached, or the daemons did not converge.
    """
    assert observation.comparison
    results = [
        CheckResult(check, _EVALUATORS[check.kind](check, observation, observation.comparison))
        for check in scenario.checks
    ]
    failures = [f"moment not reached: {moment}" for moment in observation.missed_moments]
    if not observation.converged:
        failures.append("daemons did not converge")
    if failures:
        results.insert(0, CheckResult(Check("played"), tuple(failures)))
    return results


def _served_within(
    check: Check, observation: Observation, comparison: Comparison
) -> tuple[str, ...]:
    late_reads = [read for read in observation.reads if read.latency_ms > check.seconds * 1_000]
    return tuple(
        f"key {read.key} was served after {read.latency_ms:.0f} ms"
        f" at {(read.started_at_ms - observation.started_at_ms) / 1_000:.1f} s"
        for read in late_reads
    )


def _accepted_in_force(
    check: Check, observation: Observation, comparison: Comparison
) -> tuple[str, ...]:
    latest = {number: revision for _, number, revision in observation.revisions_in_force}
    newest = max(observation.accepted_revisions, default=0)
    return tuple(
        f"daemon {number} is at revision {revision}; the newest accepted one is {newest}"
        for number, revision in latest.items()
        if revision < newest and number in _current_daemons(observation)
    )


def _current_daemons(observation: Observation) -> set[int]:
    """Return the daemons whose revision was read in the last 1.5 s of the observation."""
    newest_at = max((at for at, _, _ in observation.revisions_in_force), default=0.0)
    return {number for at, number, _ in observation.revisions_in_force if at > newest_at - 1_500}


def _no_revert(check: Check, observation: Observation, comparison: Comparison) -> tuple[str, ...]:
    highest: dict[int, int] = {}
    violations = []
    for _, number, revision in observation.revisions_in_force:
        if 0 < revision < highest.get(number, 0):
            violations.append(
                f"daemon {number} reverted from revision {highest[number]} to {revision}"
            )
        highest[number] = max(highest.get(number, 0), revision)
    return tuple(violations)


def _none_cut(check: Check, observation: Observation, comparison: Comparison) -> tuple[str, ...]:
    return (f"{comparison.may_have_run} requests may have run",) if comparison.may_have_run else ()


def _clean_stops(check: Check, observation: Observation, comparison: Comparison) -> tuple[str, ...]:
    return tuple(f"exit code {code}" for code in observation.exit_codes if code)


_Evaluator = Callable[[Check, Observation, Comparison], tuple[str, ...]]
_EVALUATORS: dict[str, _Evaluator] = {
    "one_owner": lambda check, observation, comparison: comparison.overlaps,
    "fences_grow": lambda check, observation, comparison: comparison.falling_fences,
    "orders_once": lambda check, observation, comparison: comparison.duplicate_orders,
    "refusals_true": lambda check, observation, comparison: comparison.executed_refusals,
    "answers_whole": lambda check, observation, comparison: comparison.lost_calls,
    "accepted_in_force": _accepted_in_force,
    "no_revert": _no_revert,
    "served_within": _served_within,
    "none_cut": _none_cut,
    "clean_stops": _clean_stops,
}
