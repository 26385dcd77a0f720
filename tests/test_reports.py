"""The burn report: sums over daemons, rates, alarms, and partial answers."""

from __future__ import annotations

import pytest

from fuchsiatrack.reports import burn
from fuchsiatrack.reports.plot import plot_burn

OBJECTIVES = {"poles": {"answered": 0.99, "within": 250, "available": 0.999}}


def body(sent, good, unavailable=0):
    window = {
        "levels": [{"service": "poles", "caller": "crew", "sent": sent, "good": good}],
        "keys": [{"service": "poles", "watched": 1_000_000, "unavailable": unavailable}],
    }
    return {"objectives": OBJECTIVES, "windows": dict.fromkeys(("5m", "30m", "1h", "6h"), window)}


def row(report, caller="crew", objective="answered"):
    return next(r for r in report.rows if r.caller == caller and r.objective == objective)


class TestBurn:
    def test_rate_of_one_uses_the_budget_up_exactly(self):
        report = burn.build([("entry-1", body(1_000, 990)), ("entry-2", body(1_000, 990))])
        assert row(report).rates["1h"] == pytest.approx(1.0)
        assert row(report).budget_left == pytest.approx(0.0)

    def test_alarm_needs_both_windows(self):
        quiet = body(1_000, 1_000)
        loud = body(1_000, 500)
        mixed = {**quiet, "windows": {**quiet["windows"], "5m": loud["windows"]["5m"]}}
        assert not row(burn.build([("entry-1", mixed)])).alarm
        assert row(burn.build([("entry-1", loud)])).alarm

    def test_unavailable_keys_burn(self):
        report = burn.build([("entry-1", body(10, 10, unavailable=2_000))])
        assert row(report, "*", "available").rates["6h"] == pytest.approx(2.0)

    def test_missing_daemon_is_named_and_the_sum_is_partial(self, tmp_path):
        report = burn.build([("entry-1", body(10, 10)), ("entry-2", None)])
        assert report.missing == ("entry-2",) and not report.is_whole
        plot_burn(report, tmp_path / "burn.svg")
        assert b"PARTIAL" in (tmp_path / "burn.svg").read_bytes()

    def test_no_measurement_is_no_rate(self):
        assert row(burn.build([("entry-1", body(0, 0))])).rates["5m"] is None
