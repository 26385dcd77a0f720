"""Reading scenarios: text in, frozen data classes out."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

import lark

_GRAMMAR = pathlib.Path(__file__).with_name("grammar.lark").read_text()
MEANWHILE = "meanwhile"
_PARSER = lark.Lark(_GRAMMAR, parser="earley", maybe_placeholders=True)


@dataclasses.dataclass(frozen=True)
class Who:
    """A process: the kind of reference, and its number where it has one."""

    kind: str
    number: int = 0


@dataclasses.dataclass(frozen=True)
class Moment:
    """The stage "before" or "after" the effect of a control step."""

    stage: str
    step: str


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that happens; durations in seconds, *amount* in milliseconds.

    The events after one with `meanwhile` do not wait for its end.
    """

    kind: str
    who: Who | None = None
    seconds: float = 0.0
    amount: int = 0
    moment: Moment | None = None
    meanwhile: bool = False


@dataclasses.dataclass(frozen=True)
class Check:
    """Something that must hold at the end."""

    kind: str
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One scenario."""

    name: str
    objects: str
    daemons: int
    seed: int
    events: tuple[Event, ...]
    checks: tuple[Check, ...]


class _Reader(lark.Transformer):
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
            return Who(kind, int(children[0]) if children else 0)
        seconds = next((item for item in children if isinstance(item, float)), 0.0)
        if kind in _CHECKS:
            return Check(kind, seconds)
        who = next((item for item in children if isinstance(item, Who)), None)
        amount = next((int(item) for item in children if isinstance(item, lark.Token)), 0)
        return Event(kind, who, seconds, amount)


_CHECKS = frozenset(
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
    """Return the scenarios in *text*; raise lark.exceptions.UnexpectedInput with the place."""
    return _Reader().transform(_PARSER.parse(text))
