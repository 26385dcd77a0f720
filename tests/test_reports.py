"""Tests of the burn report: sums over daemons, burn rates, alarms and missing responses."""

from __future__ import annotations

import pytest

from fuchsiatrack.reports import burn
from fuchsiatrack.reports.plot import plot_burn

OBJECTIVES = {"poles": {"answered": 0.99, "within": 250, "available": 0.999}}


def levels_body(sent, good, unavailable=0):
    window = {
        "levels": [{"service": "poles", "caller": "crew", "sent": sent, "good": good}],
        "keys": [{"service": "poles", "watched": 1_000_000, "unavailable": unavailable}],
    }
    return {"objectives": OBJECTIVES, "windows": dict.fromkeys(("5m", "30m", "1h", "6h"), window)}


def find_row(report, caller="crew", objective="answered"):
    return next(r for r in report.rows if r.caller == caller and r.objective == objective)


class TestBurn:
    def test_rate_of_one_uses_the_budget_up_exactly(self):
        report = burn.build(
            [("entry-1", levels_body(1_000, 990)), ("entry-2", levels_body(1_000, 990))]
        )
        assert find_row(report).rates["1h"] == pytest.approx(1.0)
        assert find_row(report).budget_left == pytest.approx(0.0)

    def test_alarm_needs_both_windows(self):
        healthy = levels_body(1_000, 1_000)
        failing = levels_body(1_000, 500)
        mixed = {**healthy, "windows": {**healthy["windows"], "5m": failing["windows"]["5m"]}}
        assert not find_row(burn.build([("entry-1", mixed)])).has_alarm
        assert find_row(burn.build([("entry-1", failing)])).has_alarm

    def test_unavailable_keys_count_against_availability(self):
        report = burn.build([("entry-1", levels_body(10, 10, unavailable=2_000))])
        assert find_row(report, "*", "available").rates["6h"] == pytest.approx(2.0)

    def test_missing_daemon_is_named_and_the_sum_is_partial(self, tmp_path):
        report = burn.build([("entry-1", levels_body(10, 10)), ("entry-2", None)])
        assert report.missing == ("entry-2",) and not report.is_complete
        plot_burn(report, tmp_path / "burn.svg")
        assert b"PARTIAL" in (tmp_path / "burn.svg").read_bytes()

    def test_rate_is_none_without_measurements(self):
        assert find_row(burn.build([("entry-1", levels_body(0, 0))])).rates["5m"] is None
