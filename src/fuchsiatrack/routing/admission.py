"""Admission: authentication, authorization, header checks and limits of a request."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
from collections.abc import Callable, Mapping

from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.model.objects import Caller, Limit, Service
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack.routing import headers
from fuchsiatrack.routing.errors import ErrorReason, RequestError
from fuchsiatrack.routing.limits import RequestLimiter

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAX_KEY_CHARS = 256
MAX_ORDER_ID_CHARS = 128
_BEARER_PREFIX = "Bearer "


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """A request that may be sent.

    `key` is "" if the caller sent none; in a keyed service it has 1 to `MAX_KEY_CHARS` characters.
    `order` is the caller's idempotency key, "" if it sent none.  `deadline` is a time of this
    daemon's clock, in milliseconds.  `limits` are those to release when the request ends.
    """

    caller: Caller
    service: Service
    key: str
    order: str
    idempotent: bool
    deadline: int
    limits: tuple[Limit, ...]


class Admission:
    """Admits or rejects requests before anything is sent to a server."""

    def __init__(
        self, objects: Callable[[], ObjectSet], limits: RequestLimiter, clock: Clock
    ) -> None:
        self._objects = objects
        self._limits = limits
        self._clock = clock

    def admit(
        self,
        method: str,
        service_name: str,
        request_headers: Mapping[str, str],
        body_length: int,
        arrived_at: int,
    ) -> AdmittedRequest:
        """Admit a request that arrived at the time *arrived_at* and count it against its limits.

        *body_length* is the announced length in bytes, 0 if unknown.  Every admitted request
        must be passed to `release`.

        Raises RequestError if the request is rejected.
        """
        objects = self._objects()
        caller = self._authenticate(objects, request_headers)
        service = self._authorize(objects, caller, service_name)
        if body_length > service.max_body:
            raise RequestError(ErrorReason.TOO_LARGE)
        key = request_headers.get(headers.KEY, "")
        if service.keyed and not 0 < len(key) <= MAX_KEY_CHARS:
            raise RequestError(ErrorReason.NO_KEY)
        order = request_headers.get(headers.ORDER, "")
        if len(order) > MAX_ORDER_ID_CHARS:
            raise RequestError(ErrorReason.BAD_HEADER)
        deadline = arrived_at + _time_limit(service, request_headers)
        if deadline <= self._clock.now():
            # Requests before this one on its connection have taken the time.
            raise RequestError(ErrorReason.DEADLINE)
        limits = self._limits.acquire(objects.limits(caller.name, service.name))
        idempotent = method in IDEMPOTENT_METHODS
        return AdmittedRequest(caller, service, key, order, idempotent, deadline, limits)

    def release(self, admitted: AdmittedRequest) -> None:
        """Count the end of a request that `admit` returned."""
        self._limits.release(admitted.limits)

    def _authenticate(self, objects: ObjectSet, request_headers: Mapping[str, str]) -> Caller:
        authorization = request_headers.get("Authorization", "")
        if not authorization.startswith(_BEARER_PREFIX):
            raise RequestError(ErrorReason.NO_TOKEN)
        digest = hashlib.sha256(authorization.removeprefix(_BEARER_PREFIX).encode()).hexdigest()
        caller = objects.caller_by_digest(digest)
        if caller is None or not hmac.compare_digest(caller.token_sha256, digest):
            raise RequestError(ErrorReason.UNKNOWN_CALLER)
        return caller

    def _authorize(self, objects: ObjectSet, caller: Caller, service_name: str) -> Service:
        if service_name not in caller.services:
            raise RequestError(ErrorReason.FORBIDDEN)
        service = objects.services.get(service_name)
        if service is None:
            raise RequestError(ErrorReason.NO_SERVICE)
        return service


def _time_limit(service: Service, request_headers: Mapping[str, str]) -> int:
    """Return the time that the request may take, in milliseconds."""
    time_limit = request_headers.get(headers.DEADLINE, "")
    if not time_limit:
        return service.default_deadline
    if (
        not time_limit.isascii()
        or not time_limit.isdigit()
        or len(time_limit) > 9
        or int(time_limit) < 1
    ):
        raise RequestError(ErrorReason.BAD_HEADER)
    return min(int(time_limit), service.max_deadline)
