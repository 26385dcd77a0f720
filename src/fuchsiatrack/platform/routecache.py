"""Routes of the last configuration, so that the next version decodes only what changed."""

from __future__ import annotations

from typing import Any

from fuchsiatrack.model.routes import Route


class RouteCache:
    """The valid routes of one configuration, by their host and encoded form.

    Decoding all routes of a large configuration takes long, and no request is served meanwhile.
    """

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], tuple[Any, Route]] = {}

    def find(self, host: str, item: Any) -> Route | None:
        """Return the route of *host* that was decoded from an equal *item*, if any."""
        known = self._routes.get(_key(host, item))
        return known[1] if known is not None and known[0] == item else None

    def replace(self, decoded: list[tuple[str, Any, Route]]) -> None:
        """Keep only the routes in *decoded*, each with its host and the item that encodes it."""
        self._routes = {_key(host, item): (item, route) for host, item, route in decoded}


def _key(host: str, item: Any) -> tuple[str, str]:
    prefix = item.get("PathPrefix") if isinstance(item, dict) else None
    return host, prefix if isinstance(prefix, str) else ""
