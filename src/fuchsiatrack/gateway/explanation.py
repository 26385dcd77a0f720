"""Where a request would go now, and why, without sending it."""

from __future__ import annotations

import dataclasses
import urllib.parse
from collections.abc import Sequence
from typing import Any

from fuchsiatrack.decisions.placement import DRAWN_SERVERS, Candidate
from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.admission import QueuedRequest, affordable_wait, initial_limit
from fuchsiatrack.gateway.forwarder import (
    RESPONSE_MARGIN_MS,
    RETRY_AFTER_MS,
    ExchangeDependencies,
    connection_share,
)
from fuchsiatrack.gateway.serverselection import (
    UNAVAILABLE_RETRY_AFTER_MS,
    BalancedSelector,
    OwnerSelector,
    is_available,
)
from fuchsiatrack.model.routes import Route, RoutedService
from fuchsiatrack.ranges.ownership import LAST_KEY
from fuchsiatrack.ranges.ownershipcache import OwnershipCache
from fuchsiatrack.routing.errors import ErrorReason, RequestError

EXPLANATION_PATH = "/explain"
QUERY_MAX_BYTES = 4_096
# Servers of one service that an explanation describes, the best candidates first.
DESCRIBED_SERVERS_MAX = 100
FIELDS = ("host", "path", "key")


class BadQuestion(ValueError):
    """The value of `field` can't be used."""

    def __init__(self, field: str, why: str) -> None:
        super().__init__(f"{field}: {why}")
        self.field = field


@dataclasses.dataclass(frozen=True)
class Question:
    """The request to explain; `key` is None for a request without one."""

    host: str
    path: str
    key: int | None = None

    @classmethod
    def parse(cls, query: str) -> Question:
        """Return the question of a query string; raise BadQuestion if it is malformed."""
        if len(query) > QUERY_MAX_BYTES:
            raise BadQuestion("query", f"longer than {QUERY_MAX_BYTES} bytes")
        try:
            pairs = urllib.parse.parse_qsl(
                query, keep_blank_values=True, strict_parsing=bool(query), errors="strict"
            )
        except ValueError as error:
            raise BadQuestion("query", "malformed") from error
        values: dict[str, str] = {}
        for name, value in pairs:
            if name not in FIELDS:
                raise BadQuestion(name, "unknown field")
            if name in values:
                raise BadQuestion(name, "given more than once")
            values[name] = value
        host = values.get("host", "").partition(":")[0]
        if not host:
            raise BadQuestion("host", "missing")
        path = values.get("path", "").partition("?")[0]
        if not path.startswith("/"):
            raise BadQuestion("path", "must start with /")
        return cls(host, path, _parse_key(values["key"]) if "key" in values else None)


def _parse_key(value: str) -> int:
    is_number = value.isascii() and value.isdecimal() and len(value) <= len(str(LAST_KEY))
    if not is_number or int(value) > LAST_KEY:
        raise BadQuestion("key", f"must be a number from 0 to {LAST_KEY}")
    return int(value)


@dataclasses.dataclass(frozen=True)
class Rejection:
    """The error that a caller would get `after_ms` milliseconds from now, unless things change.

    `retry_after_ms` is the least time that the caller would be told, 0 if none.
    """

    reason: str
    status: int
    retry_after_ms: int = 0
    after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ServerView:
    """What this daemon knows of one server.

    `share` is the part of the service's requests for which it is drawn first, and `load_age_ms` is
    None without a reported load.  `limit_per_s` is for all daemons together, None without a limit.
    `delay_ms` is for how long it is known to take no request, of which it asked for `backoff_ms`
    itself.  `wait_ms` is the expected wait for one of `concurrency` slots of this daemon.
    """

    server: str
    failure_domain: str
    state: str
    is_candidate: bool
    is_evacuated: bool
    is_cold: bool
    is_warming_up: bool
    is_remote: bool
    share: float
    expected_time_ms: float
    pressure: float
    load_age_ms: int | None
    limit_per_s: float | None
    delay_ms: int
    backoff_ms: int
    in_flight: int
    queued: int
    concurrency: int
    wait_ms: float
    rejection: Rejection | None


@dataclasses.dataclass(frozen=True)
class KeyView:
    """The owned range that holds the key; `owner` and the range are None if nobody owns it.

    A range that moves has had `successor` for `moving_for_ms` milliseconds.
    """

    key: int
    first: int | None = None
    last: int | None = None
    owner: str | None = None
    successor: str | None = None
    moving_for_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class PartView:
    """One service of the route, which gets `share` of its requests.

    `servers` are the best of the `listed` ones or, for a keyed service, those that matter for the
    key.  `rule` tells how one of them is chosen; `rejection` is None if the request would be sent.
    """

    service: str
    share: float
    is_keyed: bool
    listed: int
    rule: str
    key: KeyView | None
    servers: tuple[ServerView, ...]
    rejection: Rejection | None


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Where a request would go; `route` is None if none matches."""

    host: str
    path: str
    configuration: int | None
    route: str | None = None
    priority: int | None = None
    timeout_ms: int | None = None
    objective_ms: int | None = None
    is_idempotent: bool | None = None
    parts: tuple[PartView, ...] = ()
    rejection: Rejection | None = None

    def to_document(self) -> dict[str, Any]:
        """Return the explanation as a JSON object."""
        return dataclasses.asdict(self)


class Explainer:
    """Explains by the decisions that requests get, and changes nothing that those depend on.

    Whether the leader would permit a request to a server with a limit isn't known without taking
    the permit: only what this daemon knows of it already counts.
    """

    def __init__(
        self,
        dependencies: ExchangeDependencies,
        balanced: BalancedSelector,
        owners: OwnerSelector,
        ownership_cache: OwnershipCache,
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._balanced = balanced
        self._owners = owners
        self._ownership_cache = ownership_cache

    def explain(self, question: Question) -> Explanation:
        """Return where the request of *question* would go now."""
        table = self._dependencies.table()
        version = table.version if table is not None else None
        explanation = Explanation(question.host, question.path, version)
        if table is None or not self._dependencies.is_ready():
            return dataclasses.replace(
                explanation, rejection=_rejection(ErrorReason.NOT_READY, RETRY_AFTER_MS)
            )
        route = table.find(question.host, question.path)
        if route is None:
            return dataclasses.replace(explanation, rejection=_rejection(ErrorReason.NO_SERVICE))
        explanation = dataclasses.replace(
            explanation,
            route=route.name,
            priority=route.priority,
            timeout_ms=route.timeout,
            objective_ms=route.objective,
            is_idempotent=route.idempotent,
        )
        if route.error:
            return dataclasses.replace(
                explanation, rejection=_rejection(ErrorReason.BAD_ROUTE, RETRY_AFTER_MS)
            )
        total = sum(item.weight for item in route.services)
        parts = tuple(
            self._explain_part(
                route,
                table.services[item.service],
                item.weight / total if len(route.services) > 1 else 1.0,
                question.key,
            )
            for item in route.services
        )
        return dataclasses.replace(explanation, parts=parts)

    def _explain_part(
        self, route: Route, service: RoutedService, share: float, key: int | None
    ) -> PartView:
        listed = self._dependencies.directory.of_service(service.name)
        if not service.keyed:
            servers = self._describe(route, service, listed, listed)
            candidates = [item for item in servers if item.is_candidate]
            rejection = _common_rejection(candidates)
            key_view = None
        else:
            key_view = None if key is None else self._find_key(service.name, key)
            owner = None if key is None else self._owners.find_owner(service.name, key)
            names = {key_view.owner, key_view.successor} if key_view is not None else set()
            involved = [entry for entry in listed if entry.id in names]
            servers = self._describe(route, service, listed, involved, owner)
            candidates = [item for item in servers if item.is_candidate]
            rejection = (
                _common_rejection(candidates)
                if owner is not None
                else self._explain_missing_owner(route, service.name, key)
            )
        return PartView(
            service.name,
            share,
            service.keyed,
            len(listed),
            _rule(service, len(candidates)),
            key_view,
            tuple(servers[:DESCRIBED_SERVERS_MAX]),
            rejection,
        )

    def _explain_missing_owner(self, route: Route, service: str, key: int | None) -> Rejection:
        if key is None:
            return _rejection(ErrorReason.NO_KEY)
        if not self._owners.has_available_server(service):
            return _rejection(ErrorReason.NO_SERVER, UNAVAILABLE_RETRY_AFTER_MS)
        remaining = self._owners.wait_deadline(service, key) - self._clock.now()
        after = max(0, min(remaining, route.timeout - RESPONSE_MARGIN_MS))
        return _rejection(ErrorReason.NO_OWNER, UNAVAILABLE_RETRY_AFTER_MS, after)

    def _find_key(self, service: str, key: int) -> KeyView:
        item = self._ownership_cache.find(service).find(key)
        if item is None:
            return KeyView(key)
        view = KeyView(key, item.first, item.last, item.owner.server)
        if not item.is_moving:
            return view
        since = self._ownership_cache.moving_since(service, item)
        successor = item.successor.server if item.successor is not None else None
        return dataclasses.replace(
            view, successor=successor, moving_for_ms=self._clock.now() - since
        )

    def _describe(
        self,
        route: Route,
        service: RoutedService,
        listed: Sequence[ServerEntry],
        shown: Sequence[ServerEntry],
        owner: ServerEntry | None = None,
    ) -> list[ServerView]:
        """Return the views of the *shown* servers, candidates first, by their pressure.

        Of a keyed service, *owner* is the only candidate.
        """
        directory = self._dependencies.directory
        candidates = [
            entry
            for entry in listed
            if (entry == owner if service.keyed else is_available(directory, entry))
        ]
        # As for a request, what is known of the candidates counts for each of them.
        others = [entry for entry in shown if entry not in candidates]
        known = dict(zip(candidates, self._balanced.describe(candidates), strict=True))
        total = sum(item.share for item in known.values())
        views = [
            self._view(route, service, entry, item, item.share / total)
            for entry, item in known.items()
        ]
        views += [
            self._view(route, service, entry, item, None)
            for entry, item in zip(others, self._balanced.describe(others), strict=True)
        ]
        return sorted(views, key=lambda view: (not view.is_candidate, view.pressure, view.server))

    def _view(
        self,
        route: Route,
        service: RoutedService,
        entry: ServerEntry,
        known: Candidate,
        share: float | None,
    ) -> ServerView:
        dependencies, incarnation = self._dependencies, entry.incarnation
        now, daemons = self._clock.now(), dependencies.daemon_count()
        service_time = dependencies.stats.peek(entry.id, entry.slots).service_time
        max_limit = connection_share(service, daemons)
        initial = initial_limit(service.keyed, entry.slots, daemons)
        queue = dependencies.queues.peek(entry.id, initial)
        wait = queue.expected_wait(route.priority, max_limit, service_time)
        backoff = dependencies.backoff.remaining(incarnation, now)
        deadline = now + route.timeout - RESPONSE_MARGIN_MS
        queued_request = QueuedRequest(route.priority, now + route.objective, deadline)
        affordable = affordable_wait(queued_request, now, service_time)
        limit_delay = dependencies.permits.expected_delay(incarnation)
        rejection = None
        if backoff > affordable:
            rejection = _rejection(ErrorReason.SERVER_BACKOFF, int(backoff + service_time))
        elif limit_delay > affordable - backoff:
            rejection = _rejection(ErrorReason.SERVER_LIMIT, limit_delay)
        elif wait > affordable:
            rejection = _rejection(ErrorReason.OVERLOADED, int(wait))
        return ServerView(
            server=entry.id,
            failure_domain=entry.failure_domain,
            state=dependencies.directory.state_of(entry).value,
            is_candidate=share is not None,
            is_evacuated=dependencies.directory.is_evacuated(entry),
            is_cold=dependencies.cold_servers.rate(incarnation) is not None,
            is_warming_up=entry.warming_up,
            is_remote=known.is_remote,
            share=share or 0.0,
            expected_time_ms=known.expected_time,
            pressure=known.pressure,
            load_age_ms=known.load_age,
            limit_per_s=dependencies.limits.find(incarnation),
            delay_ms=max(backoff, limit_delay),
            backoff_ms=backoff,
            in_flight=queue.in_flight,
            queued=queue.queue_length,
            concurrency=queue.limit.current(max_limit),
            wait_ms=wait,
            rejection=rejection,
        )


def _rule(service: RoutedService, candidates: int) -> str:
    if service.keyed:
        return "owner of the key"
    if candidates == 1:
        return "only candidate"
    return f"least pressure of up to {DRAWN_SERVERS} candidates drawn by their shares"


def _common_rejection(candidates: Sequence[ServerView]) -> Rejection | None:
    """Return the rejection with the shortest Retry-After, None if a candidate would do."""
    if not candidates:
        return _rejection(ErrorReason.NO_SERVER, UNAVAILABLE_RETRY_AFTER_MS)
    rejections = [item.rejection for item in candidates if item.rejection is not None]
    if len(rejections) < len(candidates):
        return None
    return min(rejections, key=lambda item: item.retry_after_ms)


def _rejection(reason: ErrorReason, retry_after: int = 0, after: int = 0) -> Rejection:
    return Rejection(reason.code, RequestError(reason).final_status, retry_after, after)
