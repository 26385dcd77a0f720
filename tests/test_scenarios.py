"""The scenario language, the comparison of journals, and matrix rows with safety checks only."""

from __future__ import annotations

import lark
import pytest

from fuchsiatrack_standins.compare import find_overlaps
from fuchsiatrack_standins.scenarios.checks import evaluate_checks
from fuchsiatrack_standins.scenarios.language import Moment, parse
from fuchsiatrack_standins.scenarios.matrix import SAFETY, Row, rows
from fuchsiatrack_standins.scenarios.runner import Environment, Runner

OCTET = 16
ROW_NAMES = (
    "before move: the leader is killed",
    "after revoke: the owner is frozen for 5 s",
    "after publish: two operators publish at once",
    "before assign: answers of appends are lost for 4 s",
    "the log is down for 8 s + the owner is frozen for 5 s",
    "all daemons are replaced at once",
)


def safety_only(row: Row, seed: int) -> str:
    """Return the row's scenario without checks that a slow machine could fail."""
    return Row(row.name, row.part, row.events, SAFETY, row.objects).text(seed)


class TestLanguage:
    TEXT = """
Scenario: one
  Given small with 3 daemons and seed 4
  When before the move, the owner is frozen for 2.5 s
  And the hot key moves
  Then no order runs twice
  And every key is served within 3 s
"""

    def test_moments_durations_and_checks_are_parsed(self):
        (scenario,) = parse(self.TEXT)
        first, second = scenario.events
        assert (scenario.objects, scenario.daemons, scenario.seed) == ("small", 3, 4)
        assert first.moment == Moment("before", "move") and first.seconds == 2.5
        assert second.kind == "hot_key_moves" and second.moment is None
        assert [check.kind for check in scenario.checks] == ["orders_once", "served_within"]

    def test_unknown_step_is_rejected_with_its_line(self):
        with pytest.raises(lark.exceptions.UnexpectedInput) as caught:
            parse(self.TEXT.replace("the hot key moves", "the hot key mooves"))
        assert caught.value.line == 5

    def test_matrix_rows_are_parsed(self):
        texts = [row.text(seed) for seed, row in enumerate(rows())]
        for text in texts[::9]:
            assert len(parse(text)) == 1


def event(kind, at, server, **more):
    fields = {"partition": "all/1", "key": "k", "request": f"{server}-{at}"}
    return {"event": kind, "at": at, "server": server, **fields, **more}


class TestComparison:
    def test_two_servers_for_one_key_are_reported(self):
        events = [event("begin", 1, "a"), event("begin", 2, "b")]
        assert len(list(find_overlaps(events))) == 1

    def test_ended_or_expired_execution_does_not_overlap(self):
        ended = [event("begin", 1, "a"), event("end", 2, "a", request="a-1")]
        expired = [event("grant", 0, "a", left=5), event("begin", 1, "a")]
        for earlier in (ended, expired):
            assert not list(find_overlaps([*earlier, event("begin", 9, "b")]))

    def test_execution_beyond_its_grant_is_reported(self):
        events = [
            event("grant", 0, "a", left=5),
            event("begin", 1, "a"),
            event("end", 500, "a", request="a-1"),
        ]
        assert len(list(find_overlaps(events))) == 1


class TestMatrixRows:
    async def test_safety_holds_on_real_processes(self):
        rows_by_name = {row.name: row for row in rows()}
        texts = [safety_only(rows_by_name[name], 900 + n) for n, name in enumerate(ROW_NAMES)]
        scenarios = [scenario for text in texts for scenario in parse(text)]
        environment = Environment(scenarios[0], OCTET)
        try:
            await environment.start()
            for scenario in scenarios:
                observation = await Runner(scenario, environment).run()
                violations = [
                    violation
                    for item in evaluate_checks(scenario, observation)
                    for violation in item.violations
                ]
                assert violations == [], scenario.name
        finally:
            await environment.deployment.close()
