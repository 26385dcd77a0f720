"""Named sets of objects for scenarios."""

from __future__ import annotations

import dataclasses
import hashlib
import pathlib
from typing import Any

from fuchsiatrack.model.check import check_documents, check_paths
from fuchsiatrack.model.objects import BackendServer, HotKey, Placement
from fuchsiatrack.model.objectset import ObjectSet
from fuchsiatrack_standins.deployment import Network

EXAMPLES_DIRECTORY = pathlib.Path("examples")
KEYED_SERVER_COUNT = 3
UNKEYED_SERVER_COUNT = 2


def load(name: str, network: Network) -> ObjectSet:
    """Return the set *name*: "small", "unchecked", "mist-poles" or "shell-grit".

    "unchecked" is "small" with servers that do not check grants.  Raise ValueError with the
    findings if "small" or "unchecked" is invalid.
    """
    if name not in ("small", "unchecked"):
        return check_paths([EXAMPLES_DIRECTORY / name]).objects
    checked = check_documents(_documents(network, name == "small"))
    if checked.findings:
        raise ValueError("; ".join(str(finding) for finding in checked.findings))
    return checked.objects


def with_hot_key(objects: ObjectSet, key: str, server: str, *other_keys: str) -> ObjectSet:
    """Return *objects* with a partition for *key* on *server*, and one for each of *other_keys*."""
    hot_keys = (HotKey(key, server), *(HotKey(other) for other in other_keys))
    return ObjectSet(
        tuple(
            dataclasses.replace(item, hot_keys=hot_keys) if isinstance(item, Placement) else item
            for item in objects.objects
        )
    )


def _documents(network: Network, checks_grants: bool) -> list[dict[str, Any]]:
    token = hashlib.sha256(b"token-of-crew").hexdigest()
    names = [("poles", n) for n in range(1, KEYED_SERVER_COUNT + 1)]
    names += [("footage", n) for n in range(1, UNKEYED_SERVER_COUNT + 1)]
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
