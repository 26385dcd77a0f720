"""Tables that the command-line tool prints."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

from tabulate import tabulate

from fuchsiatrack.cli.client import Reply
from fuchsiatrack.reports.burn import BurnReport, BurnRow

WINDOWS = ("5m", "1h", "30m", "6h")


def print_json(body: Any) -> None:
    """Print *body* as indented JSON."""
    print(json.dumps(body, indent=2, sort_keys=True))


def print_table(rows: Iterable[Sequence[Any]], headers: Sequence[str]) -> None:
    """Print rows under *headers*."""
    print(tabulate(list(rows), headers=headers, floatfmt=".4g"))


def print_missing(missing: Sequence[str], total: int) -> None:
    """Say that sums leave out daemons, when they do."""
    if missing:
        print(f"PARTIAL: {len(missing)} of {total} daemons did not answer: {', '.join(missing)}")


def print_burn(report: BurnReport) -> None:
    """Print the burn report as a table."""
    print_table(
        (_burn_cells(row) for row in report.rows),
        ("service", "caller", "objective", "target", *WINDOWS, "budget left", "alarm"),
    )
    print_missing(report.missing, len(report.missing) + len(report.answered))


def _burn_cells(row: BurnRow) -> list[Any]:
    rates = [row.rates.get(window) for window in WINDOWS]
    left = "" if row.budget_left is None else f"{row.budget_left:.0%}"
    alarm = "ALARM" if row.alarm else ""
    return [row.service, row.caller, row.objective, f"{row.target:.4g}", *rates, left, alarm]


def print_status(replies: Sequence[Reply]) -> None:
    """Print the status of all daemons."""
    answered = [reply for reply in replies if reply.body]
    print_table(
        (
            (
                reply.vm,
                reply.body["failure_domain"],
                "yes" if reply.body["ready"] else "no",
                reply.body["revision"],
                reply.body["in_flight"],
                reply.body["log_age_ms"],
            )
            for reply in answered
        ),
        ("daemon", "failure domain", "ready", "revision", "in flight", "log age ms"),
    )
    print()
    print_table(_shard_rows(answered), ("shard", "term", "leader", "acting", "voters"))
    print()
    print_table(
        _service_rows(answered),
        ("service", "partitions", "unavailable", "servers", "imbalance", "moves"),
    )
    missing = [reply.vm for reply in replies if not reply.body]
    print_missing(missing, len(replies))


def _shard_rows(replies: Sequence[Reply]) -> Iterable[Sequence[Any]]:
    latest: dict[str, Any] = {}
    acting: dict[str, str] = {}
    for reply in replies:
        for shard in reply.body["shards"]:
            if shard["term"] >= latest.get(shard["shard"], {"term": -1})["term"]:
                latest[shard["shard"]] = shard
            if shard["acting"]:
                acting[shard["shard"]] = reply.vm
    for name, shard in sorted(latest.items()):
        voters = ", ".join(shard["voters"])
        yield name, shard["term"], shard["leader"], acting.get(name, "nobody"), voters


def _service_rows(replies: Sequence[Reply]) -> Iterable[Sequence[Any]]:
    latest: dict[str, Any] = {}
    for reply in replies:
        for service in reply.body["services"]:
            if service["keyed"]:
                latest[service["service"]] = service
    for name, service in sorted(latest.items()):
        counts = service["servers"].values()
        mean = sum(counts) / len(counts) if counts else 0
        imbalance = max(counts) / mean if mean else 0.0
        yield (
            name,
            service["partitions"],
            service["unavailable"],
            len(counts),
            imbalance,
            service["moves"],
        )
