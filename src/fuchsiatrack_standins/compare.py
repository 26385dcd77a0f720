"""Comparison of callers' journals with backend servers' journals."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

from fuchsiatrack_standins import journal

# Allowance for the delay between an event and its journal entry.
WRITE_DELAY_MS = 20
VERDICTS = ("ran", "not-run", "may-have-run")


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Counts of calls, and descriptions of violations."""

    sent: int
    answered: int
    refused: int
    may_have_run: int
    lost_calls: tuple[str, ...]
    duplicate_orders: tuple[str, ...]
    executed_refusals: tuple[str, ...]
    overlaps: tuple[str, ...]
    falling_fences: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether no violation was found."""
        return not (
            self.lost_calls
            or self.duplicate_orders
            or self.executed_refusals
            or self.overlaps
            or self.falling_fences
        )

    @property
    def summary(self) -> str:
        """Counts in one line of text."""
        return (
            f"{self.sent} sent, {self.answered} answered, {self.refused} refused as not run, "
            f"{len(self.lost_calls)} lost, {len(self.duplicate_orders)} doubled"
        )


def compare(callers: pathlib.Path, servers: Iterable[pathlib.Path]) -> Comparison:
    """Return the comparison of the journal *callers* with the journals *servers*."""
    calls = list(journal.read(callers))
    events = sorted(
        (event for path in servers for event in journal.read(path)), key=lambda item: item["at"]
    )
    sent = [item for item in calls if item["event"] == "sent"]
    outcomes = {item["call"]: item for item in calls if item["event"] in VERDICTS}
    started = [item for item in events if item["event"] == "begin"]
    # Servers receive the request ID with the number of the send: REQUEST_ID-NUMBER.
    executed = {item["request"].rpartition("-")[0] for item in started}
    completed = {item["request"].rpartition("-")[0] for item in events if item["event"] == "end"}
    return Comparison(
        sent=len(sent),
        answered=_count(outcomes, "ran"),
        refused=_count(outcomes, "not-run"),
        may_have_run=_count(outcomes, "may-have-run"),
        lost_calls=tuple(_find_lost_calls(sent, outcomes, completed)),
        duplicate_orders=tuple(_find_duplicate_orders(started)),
        executed_refusals=tuple(_find_executed_refusals(outcomes, started, executed)),
        overlaps=tuple(find_overlaps(events)),
        falling_fences=tuple(_find_falling_fences(started)),
    )


def _count(outcomes: Mapping[str, Any], verdict: str) -> int:
    return sum(1 for item in outcomes.values() if item["event"] == verdict)


def _find_lost_calls(
    sent: list[dict[str, Any]], outcomes: Mapping[str, Any], completed: set[str]
) -> Iterable[str]:
    for item in sent:
        outcome = outcomes.get(item["call"])
        if outcome is None:
            yield f"call {item['call']} has no outcome"
        elif (
            outcome["event"] == "ran" and outcome["request"] not in completed and not item["order"]
        ):
            yield f"call {item['call']} got a response but no server completed it"
    ran = {item["order"] for item in outcomes.values() if item["event"] == "ran" and item["order"]}
    orders = {item["order"] for item in sent if item["order"]}
    undetermined = {item["order"] for item in outcomes.values() if item["event"] == "may-have-run"}
    refused = {item["order"] for item in outcomes.values() if item["event"] == "not-run"}
    for order in orders - ran - undetermined - refused:
        yield f"order {order} has no outcome"


def _find_duplicate_orders(started: list[dict[str, Any]]) -> Iterable[str]:
    counts = collections.Counter(item["order"] for item in started if item["order"])
    for order, count in counts.items():
        if count > 1:
            yield f"order {order} was started {count} times"


def _find_executed_refusals(
    outcomes: Mapping[str, Any], started: list[dict[str, Any]], executed: set[str]
) -> Iterable[str]:
    outcomes_by_order: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for item in outcomes.values():
        outcomes_by_order[item["order"]].append(item)
        if item["event"] == "not-run" and item["request"] and item["request"] in executed:
            yield f"request {item['request']} was executed although refused"
    started_orders = {item["order"] for item in started if item["order"]}
    for order, items in outcomes_by_order.items():
        if order in started_orders and all(item["event"] == "not-run" for item in items):
            yield f"order {order} was executed although refused"


class _ExecutionTracker:
    """Tracks the requests executing for each key, and when each server's grants expire."""

    def __init__(self) -> None:
        self._running: dict[str, dict[str, tuple[str, str]]] = collections.defaultdict(dict)
        self._expiries: dict[tuple[str, str], float] = {}

    def record_grant(self, server: str, partition: str, expires_at_ms: float) -> None:
        """Record that *server* owns *partition* until *expires_at_ms*."""
        known_expiry = self._expiries.get((server, partition), 0.0)
        self._expiries[(server, partition)] = max(known_expiry, expires_at_ms)

    def record_start(self, item: dict[str, Any]) -> list[str]:
        """Record the start of a request and return the other servers executing for its key."""
        running = self._running[_key(item)]
        others = {
            server
            for server, partition in running.values()
            if server != item["server"] and self._is_granted(server, partition, item["at"])
        }
        running[item["request"]] = (item["server"], item["partition"])
        return sorted(others)

    def record_end(self, item: dict[str, Any]) -> bool:
        """Record the end of a request and return whether its grant was still valid."""
        self._running[_key(item)].pop(item["request"], None)
        return item["event"] == "cut" or self._is_granted(
            item["server"], item["partition"], item["at"] - WRITE_DELAY_MS
        )

    def record_restart(self, server: str) -> None:
        """Remove the requests and grants of the previous incarnation of *server*."""
        for requests in self._running.values():
            for request in [name for name, (owner, _) in requests.items() if owner == server]:
                del requests[request]
        self._expiries = {
            pair: expiry for pair, expiry in self._expiries.items() if pair[0] != server
        }

    def _is_granted(self, server: str, partition: str, at: float) -> bool:
        """Return whether *server* may execute for *partition*.

        A server without recorded grants does not check them and always may.
        """
        return self._expiries.get((server, partition), at + 1) > at


def find_overlaps(events: Iterable[dict[str, Any]]) -> Iterable[str]:
    """Yield each execution that overlaps with another server's or outlasts its grant."""
    tracker = _ExecutionTracker()
    for item in events:
        if item["event"] == "start":
            tracker.record_restart(item["server"])
        elif item["event"] in ("grant", "draining"):
            tracker.record_grant(item["server"], item["partition"], item["at"] + item["left"])
        elif item["event"] == "begin" and item["key"]:
            for server in tracker.record_start(item):
                yield f"{_key(item)} ran on {server} and {item['server']} at {item['at']:.0f}"
        elif item["event"] in ("end", "cut") and item["key"]:
            if not tracker.record_end(item):
                yield f"{_key(item)} ran on {item['server']} after its grant at {item['at']:.0f}"


def _key(item: dict[str, Any]) -> str:
    return f"{item['partition'].partition('/')[0]}:{item['key']}"


def _find_falling_fences(started: list[dict[str, Any]]) -> Iterable[str]:
    highest: dict[str, int] = {}
    for item in started:
        if not item["key"]:
            continue
        if item["fence"] < highest.get(item["key"], 0):
            yield f"key {item['key']} ran under fence {item['fence']} after a higher one"
        highest[item["key"]] = max(highest.get(item["key"], 0), item["fence"])
