"""Tables that the command-line tool prints."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
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


def print_explanation(explanation: Mapping[str, Any]) -> None:
    """Print where a request would go, as `gateway.explanation.Explanation` describes it."""
    print(f"request: {explanation['host']}{explanation['path']}")
    if explanation["route"] is None:
        print("route: none")
    else:
        print(
            f"route: {explanation['route']}, priority {explanation['priority']}, timeout"
            f" {explanation['timeout_ms']} ms, objective {explanation['objective_ms']} ms,"
            f" {'may' if explanation['is_idempotent'] else 'may not'} run twice"
        )
    if explanation["rejection"] is not None:
        print(_rejection_text(explanation["rejection"]))
    for part in explanation["parts"]:
        _print_part(part)


def _print_part(part: Mapping[str, Any]) -> None:
    print(f"\nservice: {part['service']}, {part['share']:.1%} of the requests")
    if part["key"] is not None:
        print(_key_text(part["key"]))
    is_sent = part["rejection"] is None
    print(f"sent to: {part['rule']}" if is_sent else _rejection_text(part["rejection"]))
    if part["servers"]:
        print()
        print_table(
            (_server_cells(server) for server in part["servers"]),
            (
                "server",
                "state",
                "share",
                "expected ms",
                "pressure",
                "load age ms",
                "in flight",
                "queued",
                "wait ms",
                "limit/s",
                "delay ms",
                "why not",
            ),
        )
    hidden = part["listed"] - len(part["servers"])
    if hidden > 0:
        print(f"not shown: {hidden} of {part['listed']} listed servers")


def _key_text(key: Mapping[str, Any]) -> str:
    if key["owner"] is None:
        return f"key: {key['key']}, no owner"
    text = f"key: {key['key']}, owner {key['owner']} of {key['first']} to {key['last']}"
    if key["moving_for_ms"] is not None:
        text += f", moving to {key['successor']} for {key['moving_for_ms']} ms"
    return text


def _rejection_text(rejection: Mapping[str, Any]) -> str:
    text = f"rejected: {rejection['reason']}, status {rejection['status']}"
    if rejection["after_ms"]:
        text += f", unless that changes within {rejection['after_ms']} ms"
    if rejection["retry_after_ms"]:
        text += f", Retry-After at least {rejection['retry_after_ms']} ms"
    return text


def _server_cells(server: Mapping[str, Any]) -> list[Any]:
    marks = (("is_evacuated", "evacuated"), ("is_cold", "cold"), ("is_warming_up", "warming up"))
    states = [server["state"], *(text for name, text in marks if server[name])]
    rejection = server["rejection"]
    reason = "" if server["is_candidate"] else "not a candidate"
    if rejection is not None and server["is_candidate"]:
        reason = rejection["reason"]
    return [
        server["server"],
        ", ".join(dict.fromkeys(states)),
        f"{server['share']:.1%}",
        f"{server['expected_time_ms']:.0f}",
        f"{server['pressure']:.2f}",
        server["load_age_ms"],
        f"{server['in_flight']}/{server['concurrency']}",
        server["queued"],
        f"{server['wait_ms']:.0f}",
        server["limit_per_s"],
        server["delay_ms"],
        reason,
    ]
