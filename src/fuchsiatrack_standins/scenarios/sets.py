"""Sets of objects that scenarios are given by name."""

from __future__ import annotations

import dataclasses
import hashlib
import pathlib
from typing import Any

from fuchsiatrack.model.check import check_documents, check_paths
from fuchsiatrack.model.objects import BackendServer, HotKey, Placement
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack_standins.deployment import Network

EXAMPLES = pathlib.Path("examples")
KEYED_SERVERS = 3
POOL_SERVERS = 2


def load(name: str, network: Network) -> ObjectSet:
    """Return the set *name*: "small", "unchecked", "mist-poles" or "shell-grit".

    "unchecked" is "small" with servers that don't check grants.
    """
    if name not in ("small", "unchecked"):
        return check_paths([EXAMPLES / name]).objects
    checked = check_documents(_documents(network, name == "small"))
    if checked.findings:
        raise ValueError("; ".join(str(finding) for finding in checked.findings))
    return checked.objects


def with_hot_key(objects: ObjectSet, key: str, server: str, *more: str) -> ObjectSet:
    """Return *objects* with *key* placed on *server*, and each of *more* keys, by itself."""
    hot_keys = (HotKey(key, server), *(HotKey(other) for other in more))
    return ObjectSet(
        tuple(
            dataclasses.replace(item, hot_keys=hot_keys) if isinstance(item, Placement) else item
            for item in objects.objects
        )
    )


def _documents(network: Network, checks_grants: bool) -> list[dict[str, Any]]:
    token = hashlib.sha256(b"token-of-crew").hexdigest()
    names = [("poles", n) for n in range(1, KEYED_SERVERS + 1)]
    names += [("footage", n) for n in range(1, POOL_SERVERS + 1)]
    servers = [
        {
            "kind": BackendServer.__name__,
            "name": f"{service}-{number}",
            "service": service,
            "failure_domain": f"domain-{number % 2 + 1}",
            "address": network.server(index),
            "checks_grants": checks_grants or service != "poles",
        }
        for index, (service, number) in enumerate(names, 1)
    ]
    return [
        {"kind": "FailureDomain", "name": "domain-1"},
        {"kind": "FailureDomain", "name": "domain-2"},
        {"kind": "Service", "name": "poles", "keyed": True, "max_deadline": 4_000},
        {"kind": "Service", "name": "footage"},
        {"kind": "Placement", "name": "spread", "service": "poles"},
        {"kind": "KeyRange", "name": "all", "service": "poles", "placement": "spread", "slots": 8},
        {
            "kind": "Caller",
            "name": "crew",
            "token_sha256": token,
            "services": ["poles", "footage"],
        },
        *servers,
    ]
