"""Compares callers' journals with backend servers' journals."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

from fuchsiatrack_standins import journal

# Time between an event and its line in the journal, in milliseconds.
WRITE_SLACK = 20
VERDICTS = ("ran", "not-run", "may-have-run")


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Counts of calls, and descriptions of what must not happen."""

    sent: int
    answered: int
    refused: int
    unsure: int
    lost: tuple[str, ...]
    doubled: tuple[str, ...]
    ran_though_refused: tuple[str, ...]
    overlaps: tuple[str, ...]
    fences: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether nothing happened that must not."""
        return not (
            self.lost or self.doubled or self.ran_though_refused or self.overlaps or self.fences
        )

    @property
    def summary(self) -> str:
        """One line of counts."""
        return (
            f"{self.sent} sent, {self.answered} answered, {self.refused} refused as not run, "
            f"{len(self.lost)} lost, {len(self.doubled)} doubled"
        )


def compare(callers: pathlib.Path, servers: Iterable[pathlib.Path]) -> Comparison:
    """Return the comparison of the journal *callers* with the journals *servers*."""
    calls = list(journal.read(callers))
    events = sorted(
        (event for path in servers for event in journal.read(path)), key=lambda item: item["at"]
    )
    sent = [item for item in calls if item["event"] == "sent"]
    ends = {item["call"]: item for item in calls if item["event"] in VERDICTS}
    begun = [item for item in events if item["event"] == "begin"]
    requests = {item["request"].rpartition("-")[0] for item in begun}
    finished = {item["request"].rpartition("-")[0] for item in events if item["event"] == "end"}
    return Comparison(
        sent=len(sent),
        answered=_count(ends, "ran"),
        refused=_count(ends, "not-run"),
        unsure=_count(ends, "may-have-run"),
        lost=tuple(_lost(sent, ends, finished)),
        doubled=tuple(_doubled(begun)),
        ran_though_refused=tuple(_ran_though_refused(ends, begun, requests)),
        overlaps=tuple(find_overlaps(events)),
        fences=tuple(_falling_fences(begun)),
    )


def _count(ends: Mapping[str, Any], verdict: str) -> int:
    return sum(1 for item in ends.values() if item["event"] == verdict)


def _lost(sent: list[dict[str, Any]], ends: Mapping[str, Any], finished: set[str]) -> Iterable[str]:
    for item in sent:
        end = ends.get(item["call"])
        if end is None:
            yield f"call {item['call']} has no end"
        elif end["event"] == "ran" and end["request"] not in finished and not item["order"]:
            yield f"call {item['call']} was answered but no server finished it"
    ran = {item["order"] for item in ends.values() if item["event"] == "ran" and item["order"]}
    orders = {item["order"] for item in sent if item["order"]}
    unsure = {item["order"] for item in ends.values() if item["event"] == "may-have-run"}
    refused = {item["order"] for item in ends.values() if item["event"] == "not-run"}
    for order in orders - ran - unsure - refused:
        yield f"order {order} has no end"


def _doubled(begun: list[dict[str, Any]]) -> Iterable[str]:
    counts = collections.Counter(item["order"] for item in begun if item["order"])
    for order, count in counts.items():
        if count > 1:
            yield f"order {order} began {count} times"


def _ran_though_refused(
    ends: Mapping[str, Any], begun: list[dict[str, Any]], requests: set[str]
) -> Iterable[str]:
    by_order: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for item in ends.values():
        by_order[item["order"]].append(item)
        if item["event"] == "not-run" and item["request"] and item["request"] in requests:
            yield f"request {item['request']} ran though refused"
    orders_begun = {item["order"] for item in begun if item["order"]}
    for order, items in by_order.items():
        if order in orders_begun and all(item["event"] == "not-run" for item in items):
            yield f"order {order} ran though refused"


class _Execution:
    """Who executes for which key, and until when each server's grants last."""

    def __init__(self) -> None:
        self._running: dict[str, dict[str, tuple[str, str]]] = collections.defaultdict(dict)
        self._until: dict[tuple[str, str], float] = {}

    def grant(self, server: str, partition: str, until: float) -> None:
        """Note that *server* holds *partition* until the moment *until*."""
        known = self._until.get((server, partition), 0.0)
        self._until[(server, partition)] = max(known, until)

    def begin(self, item: dict[str, Any]) -> list[str]:
        """Note the beginning of a request and return the other servers that execute for its key."""
        running = self._running[_key(item)]
        others = {
            server
            for server, partition in running.values()
            if server != item["server"] and self._holds(server, partition, item["at"])
        }
        running[item["request"]] = (item["server"], item["partition"])
        return sorted(others)

    def end(self, item: dict[str, Any]) -> bool:
        """Note the end of a request; False when its grant had ended before."""
        self._running[_key(item)].pop(item["request"], None)
        return item["event"] == "cut" or self._holds(
            item["server"], item["partition"], item["at"] - WRITE_SLACK
        )

    def restart(self, server: str) -> None:
        """Forget what a server ran and held before it was started again."""
        for requests in self._running.values():
            for request in [name for name, (owner, _) in requests.items() if owner == server]:
                del requests[request]
        self._until = {pair: end for pair, end in self._until.items() if pair[0] != server}

    def _holds(self, server: str, partition: str, at: float) -> bool:
        """Servers that don't check grants hold a partition for as long as they execute."""
        return self._until.get((server, partition), at + 1) > at


def find_overlaps(events: Iterable[dict[str, Any]]) -> Iterable[str]:
    """Yield every execution that overlaps with another server's, or outlasts its grant."""
    execution = _Execution()
    for item in events:
        if item["event"] == "start":
            execution.restart(item["server"])
        elif item["event"] in ("grant", "draining"):
            execution.grant(item["server"], item["partition"], item["at"] + item["left"])
        elif item["event"] == "begin" and item["key"]:
            for server in execution.begin(item):
                yield f"{_key(item)} ran on {server} and {item['server']} at {item['at']:.0f}"
        elif item["event"] in ("end", "cut") and item["key"]:
            if not execution.end(item):
                yield f"{_key(item)} ran on {item['server']} after its grant at {item['at']:.0f}"


def _key(item: dict[str, Any]) -> str:
    return f"{item['partition'].partition('/')[0]}:{item['key']}"


def _falling_fences(begun: list[dict[str, Any]]) -> Iterable[str]:
    highest: dict[str, int] = {}
    for item in begun:
        if not item["key"]:
            continue
        if item["fence"] < highest.get(item["key"], 0):
            yield f"key {item['key']} ran under fence {item['fence']} after a higher one"
        highest[item["key"]] = max(highest.get(item["key"], 0), item["fence"])
