"""Tables that the command-line tool prints."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

from tabulate import tabulate

from fuchsiatrack.cli.client import DaemonResponse
from fuchsiatrack.reports.burn import BurnReport, BurnRow

WINDOWS = ("5m", "1h", "30m", "6h")


def print_json(body: Any) -> None:
    """Print *body* as indented JSON."""
    print(json.dumps(body, indent=2, sort_keys=True))


def print_table(rows: Iterable[Sequence[Any]], headers: Sequence[str]) -> None:
    """Print *rows* as a table with *headers*."""
    print(tabulate(list(rows), headers=headers, floatfmt=".4g"))


def print_missing(missing: Sequence[str], total: int) -> None:
    """Print a note that the sums leave out the *missing* daemons, if there are any."""
    if missing:
        print(f"PARTIAL: {len(missing)} of {total} daemons did not respond: {', '.join(missing)}")


def print_burn(report: BurnReport) -> None:
    """Print the burn report as a table."""
    print_table(
        (_burn_cells(row) for row in report.rows),
        ("service", "caller", "objective", "target", *WINDOWS, "budget left", "alarm"),
    )
    print_missing(report.missing, len(report.missing) + len(report.answered))


def _burn_cells(row: BurnRow) -> list[Any]:
    rates = [row.rates.get(window) for window in WINDOWS]
    budget_left = "" if row.budget_left is None else f"{row.budget_left:.0%}"
    alarm = "ALARM" if row.has_alarm else ""
    return [row.service, row.caller, row.objective, f"{row.target:.4g}", *rates, budget_left, alarm]


def print_status(responses: Sequence[DaemonResponse]) -> None:
    """Print tables of the daemons, of the shards and of the keyed services."""
    valid_responses = [response for response in responses if response.body]
    print_table(
        (
            (
                response.vm,
                response.body["failure_domain"],
                "yes" if response.body["ready"] else "no",
                response.body["revision"],
                response.body["in_flight"],
                response.body["log_age_ms"],
            )
            for response in valid_responses
        ),
        ("daemon", "failure domain", "ready", "revision", "in flight", "log age ms"),
    )
    print()
    print_table(_shard_rows(valid_responses), ("shard", "term", "leader", "acting", "voters"))
    print()
    print_table(
        _service_rows(valid_responses),
        ("service", "partitions", "unavailable", "servers", "imbalance", "moves"),
    )
    missing = [response.vm for response in responses if not response.body]
    print_missing(missing, len(responses))


def _shard_rows(responses: Sequence[DaemonResponse]) -> Iterable[Sequence[Any]]:
    latest: dict[str, Any] = {}
    acting_leaders: dict[str, str] = {}
    for response in responses:
        for shard in response.body["shards"]:
            if shard["term"] >= latest.get(shard["shard"], {"term": -1})["term"]:
                latest[shard["shard"]] = shard
            if shard["acting"]:
                acting_leaders[shard["shard"]] = response.vm
    for name, shard in sorted(latest.items()):
        voters = ", ".join(shard["voters"])
        yield name, shard["term"], shard["leader"], acting_leaders.get(name, "nobody"), voters


def _service_rows(responses: Sequence[DaemonResponse]) -> Iterable[Sequence[Any]]:
    services: dict[str, Any] = {}
    for response in responses:
        for service in response.body["services"]:
            if service["keyed"]:
                services[service["service"]] = service
    for name, service in sorted(services.items()):
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
