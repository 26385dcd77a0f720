"""Parser of the scenario language."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

import lark

_GRAMMAR = pathlib.Path(__file__).with_name("grammar.lark").read_text()
MEANWHILE = "meanwhile"
_PARSER = lark.Lark(_GRAMMAR, parser="earley", maybe_placeholders=True)


@dataclasses.dataclass(frozen=True)
class ProcessReference:
    """Reference to a process by its role, or to a daemon.

    *number* is the position of the daemon among the running daemons, from 1, and 0 for a role.
    """

    kind: str
    number: int = 0


@dataclasses.dataclass(frozen=True)
class Moment:
    """Moment of a control step: *stage* is "before" or "after" its effect."""

    stage: str
    step: str


@dataclasses.dataclass(frozen=True)
class Event:
    """One event of a scenario.

    *amount* is the delay, in milliseconds, that "log_slow" or "appends_late" causes.

    The events that follow one with `meanwhile` do not wait until it ends.
    """

    kind: str
    process: ProcessReference | None = None
    seconds: float = 0.0
    amount: int = 0
    moment: Moment | None = None
    meanwhile: bool = False


@dataclasses.dataclass(frozen=True)
class Check:
    """One condition that is checked after the events."""

    kind: str
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parsed scenario; *objects* names a set of `sets.load`."""

    name: str
    objects: str
    daemons: int
    seed: int
    events: tuple[Event, ...]
    checks: tuple[Check, ...]


class _ScenarioTransformer(lark.Transformer):
    def start(self, children: list[Scenario]) -> list[Scenario]:
        return children

    def scenario(self, children: list[Any]) -> Scenario:
        name, given, *rest = children
        return Scenario(
            str(name).strip(),
            *given,
            tuple(item for item in rest if isinstance(item, Event)),
            tuple(item for item in rest if isinstance(item, Check)),
        )

    def given(self, children: list[Any]) -> tuple[str, int, int]:
        objects, daemons, seed = (*children, None)[:3]
        return str(objects), int(daemons), int(seed or 1)

    def step(self, children: list[Any]) -> Event:
        *timing, event = children
        if timing == [MEANWHILE]:
            return dataclasses.replace(event, meanwhile=True)
        return dataclasses.replace(event, moment=next(iter(timing), None))

    def meanwhile(self, children: list[Any]) -> str:
        return MEANWHILE

    def moment(self, children: list[Any]) -> Moment:
        return Moment(str(children[0]), str(children[1]))

    def seconds(self, children: list[Any]) -> float:
        return float(children[0])

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        kind = str(data)
        if kind in ("leader", "owner", "new_owner", "daemon"):
            return ProcessReference(kind, int(children[0]) if children else 0)
        seconds = next((item for item in children if isinstance(item, float)), 0.0)
        if kind in _CHECK_KINDS:
            return Check(kind, seconds)
        process = next((item for item in children if isinstance(item, ProcessReference)), None)
        amount = next((int(item) for item in children if isinstance(item, lark.Token)), 0)
        return Event(kind, process, seconds, amount)


_CHECK_KINDS = frozenset(
    (
        "one_owner",
        "fences_grow",
        "orders_once",
        "refusals_true",
        "answers_whole",
        "accepted_in_force",
        "no_revert",
        "served_within",
        "none_cut",
        "clean_stops",
    )
)


def parse(text: str) -> list[Scenario]:
    """Return the scenarios in *text*.

    Raise lark.exceptions.UnexpectedInput, with line and column, if *text* is not valid.
    """
    return _ScenarioTransformer().transform(_PARSER.parse(text))
