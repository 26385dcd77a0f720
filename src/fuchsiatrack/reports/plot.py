"""Charts of reports, written as self-contained SVG files."""

from __future__ import annotations

import pathlib

import pygal

from fuchsiatrack.reports.burn import BurnReport

WINDOWS = ("5m", "30m", "1h", "6h")


def plot_burn(report: BurnReport, path: pathlib.Path) -> None:
    """Write a bar chart of the burn rates over all callers to *path*."""
    config = pygal.Config(js=[], human_readable=True, pretty_print=False)
    chart = pygal.Bar(config, title=_title(report), y_title="burn rate (1 = budget)")
    chart.x_labels = WINDOWS
    for row in report.rows:
        if row.caller == "*":
            values = [row.rates.get(window) for window in WINDOWS]
            chart.add(f"{row.service} {row.objective}", values)
    path.write_bytes(chart.render())


def _title(report: BurnReport) -> str:
    if report.is_complete:
        return "Error budget burn rates"
    return f"Error budget burn rates, PARTIAL: no response from {', '.join(report.missing)}"
