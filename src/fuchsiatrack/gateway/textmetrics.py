"""Counters, gauges and latency histograms in text format."""

from __future__ import annotations

import bisect
import collections

from fuchsiatrack.kernel.metrics import Metrics

# Upper bounds of the histogram buckets.
BUCKET_BOUNDS_MS = (5, 10, 20, 50, 100, 150, 200, 300, 400, 600, 800, 1_200, 2_000, 5_000)


class Histogram:
    """Counts of durations by bucket, and their sum in milliseconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.total = 0.0

    def add(self, duration: float) -> None:
        """Count one *duration*, in milliseconds."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_MS, duration)] += 1
        self.total += duration


class TextMetrics(Metrics):
    """Keeps measurements in memory and renders them as text, one per line."""

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, by: int = 1) -> None:
        self._counters[name] += by

    def gauge(self, name: str, value: float) -> None:
        self._gauges[name] = value

    def time(self, name: str, duration: float) -> None:
        self._histograms.setdefault(name, Histogram()).add(duration)

    def render(self) -> str:
        """Return all measurements, one line of name and value each."""
        lines = [f"{_metric_name(name)} {value}" for name, value in sorted(self._counters.items())]
        lines += [f"{_metric_name(name)} {value}" for name, value in sorted(self._gauges.items())]
        for name, histogram in sorted(self._histograms.items()):
            lines += _render_histogram(_metric_name(name), histogram)
        return "\n".join(lines) + "\n"


def _metric_name(name: str) -> str:
    return "fuchsiatrack_" + name.replace(".", "_").replace("-", "_")


def _render_histogram(name: str, histogram: Histogram) -> list[str]:
    lines = []
    cumulative_count = 0
    for bound, count in zip((*BUCKET_BOUNDS_MS, "+Inf"), histogram.counts, strict=True):
        cumulative_count += count
        lines.append(f'{name}_ms_bucket{{le="{bound}"}} {cumulative_count}')
    return [*lines, f"{name}_ms_sum {histogram.total:.0f}", f"{name}_ms_count {cumulative_count}"]
