"""Admission: who calls, which service, until when, inside which limits."""

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
MAX_KEY_LENGTH = 256
MAX_ORDER_LENGTH = 128
_BEARER = "Bearer "


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that may be sent; `deadline` is a moment of this daemon's clock.

    `order` is the caller's id of an order, "" when it gave none.
    """

    caller: Caller
    service: Service
    key: str
    order: str
    idempotent: bool
    deadline: int
    limits: tuple[Limit, ...]


class Admission:
    """Decides whether a request may be sent at all."""

    def __init__(
        self, objects: Callable[[], ObjectSet], limits: RequestLimiter, clock: Clock
    ) -> None:
        self._objects = objects
        self._limits = limits
        self._clock = clock

    def admit(
        self, method: str, service_name: str, sent: Mapping[str, str], length: int
    ) -> Admitted:
        """Admit a request by its *method*, service, headers *sent* and body *length* in bytes.

        Raises RequestError.
        """
        objects = self._objects()
        caller = self._identify(objects, sent)
        service = self._reach(objects, caller, service_name)
        if length > service.max_body:
            raise RequestError(ErrorReason.TOO_LARGE)
        key = sent.get(headers.KEY, "")
        if service.keyed and not 0 < len(key) <= MAX_KEY_LENGTH:
            raise RequestError(ErrorReason.NO_KEY)
        order = sent.get(headers.ORDER, "")
        if len(order) > MAX_ORDER_LENGTH:
            raise RequestError(ErrorReason.BAD_HEADER)
        deadline = self._clock.now() + _allowed_time(service, sent)
        limits = self._limits.acquire(objects.limits(caller.name, service.name))
        idempotent = method in IDEMPOTENT_METHODS
        return Admitted(caller, service, key, order, idempotent, deadline, limits)

    def release(self, admitted: Admitted) -> None:
        """Give back what `admit` took."""
        self._limits.release(admitted.limits)

    def _identify(self, objects: ObjectSet, sent: Mapping[str, str]) -> Caller:
        value = sent.get("Authorization", "")
        if not value.startswith(_BEARER):
            raise RequestError(ErrorReason.NO_TOKEN)
        digest = hashlib.sha256(value.removeprefix(_BEARER).encode()).hexdigest()
        caller = objects.caller_by_digest(digest)
        if caller is None or not hmac.compare_digest(caller.token_sha256, digest):
            raise RequestError(ErrorReason.UNKNOWN_CALLER)
        return caller

    def _reach(self, objects: ObjectSet, caller: Caller, name: str) -> Service:
        if name not in caller.services:
            raise RequestError(ErrorReason.FORBIDDEN)
        service = objects.services.get(name)
        if service is None:
            raise RequestError(ErrorReason.NO_SERVICE)
        return service


def _allowed_time(service: Service, sent: Mapping[str, str]) -> int:
    text = sent.get(headers.DEADLINE, "")
    if not text:
        return service.default_deadline
    if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) < 1:
        raise RequestError(ErrorReason.BAD_HEADER)
    return min(int(text), service.max_deadline)
