"""A set of named objects with lookups, and the mapping of keys to partitions."""

from __future__ import annotations

import bisect
import dataclasses
import functools
import hashlib
import json
from collections.abc import Sequence
from typing import Any

from pydantic import TypeAdapter

from fuchsiatrack.model.objects import (
    BackendServer,
    Caller,
    KeyRange,
    Limit,
    NamedObject,
    Placement,
    Service,
)

_ADAPTER = TypeAdapter(tuple[NamedObject, ...])


@dataclasses.dataclass(frozen=True)
class ObjectSet:
    """An immutable set of named objects, indexed for lookup."""

    objects: tuple[NamedObject, ...] = ()

    @classmethod
    def from_documents(cls, documents: Sequence[Any]) -> ObjectSet:
        """Return the set that *documents* (plain mappings) describe.

        Raise pydantic.ValidationError if one of them is malformed.
        """
        return cls(_ADAPTER.validate_json(json.dumps(list(documents))))

    @property
    def digest(self) -> str:
        """SHA-256 of the objects in hexadecimal, independent of their order."""
        serialized_objects = sorted(
            json.dumps(item, sort_keys=True) for item in self.to_documents()
        )
        return hashlib.sha256("\n".join(serialized_objects).encode()).hexdigest()

    def to_documents(self) -> list[dict[str, Any]]:
        """Return the objects as plain mappings."""
        return _ADAPTER.dump_python(self.objects, mode="json")

    def by_kind(self, kind: type) -> dict[str, Any]:
        """Return the objects of class *kind* by name."""
        return self._by_kind.get(kind, {})

    @property
    def services(self) -> dict[str, Service]:
        """The services by name."""
        return self.by_kind(Service)

    @property
    def placements(self) -> dict[str, Placement]:
        """The placements by name."""
        return self.by_kind(Placement)

    def servers(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of *service*, sorted by name."""
        return self._servers_by_service.get(service, ())

    def key_ranges(self, service: str) -> tuple[KeyRange, ...]:
        """Return the key ranges of *service*, sorted by their first key."""
        return self._key_ranges_by_service.get(service, ())

    def caller_by_digest(self, digest: str) -> Caller | None:
        """Return the caller whose token has the hexadecimal SHA-256 *digest*, if any."""
        return self._callers_by_digest.get(digest)

    def limits(self, caller: str, service: str) -> tuple[Limit, ...]:
        """Return the limits on *caller* at *service*."""
        return self._limits_by_target.get((caller, service), ())

    def range_of(self, service: str, key: str) -> KeyRange | None:
        """Return the key range of *service* that contains *key*, if any."""
        ranges = self.key_ranges(service)
        index = bisect.bisect_right(ranges, key, key=lambda item: item.first) - 1
        if index < 0 or (ranges[index].last and key >= ranges[index].last):
            return None
        return ranges[index]

    def partitions(self, service: str) -> dict[str, KeyRange]:
        """Return the key range of each slot partition of *service*, by partition name.

        Partitions of hot keys are not included.
        """
        return self._partitions_by_service.get(service, {})

    @functools.cached_property
    def _by_kind(self) -> dict[type, dict[str, Any]]:
        grouped: dict[type, dict[str, Any]] = {}
        for item in self.objects:
            grouped.setdefault(type(item), {})[item.name] = item
        return grouped

    @functools.cached_property
    def _servers_by_service(self) -> dict[str, tuple[BackendServer, ...]]:
        return {
            name: tuple(
                sorted(
                    (item for item in self.by_kind(BackendServer).values() if item.service == name),
                    key=lambda item: item.name,
                )
            )
            for name in self.services
        }

    @functools.cached_property
    def _key_ranges_by_service(self) -> dict[str, tuple[KeyRange, ...]]:
        return {
            name: tuple(
                sorted(
                    (item for item in self.by_kind(KeyRange).values() if item.service == name),
                    key=lambda item: item.first,
                )
            )
            for name in self.services
        }

    @functools.cached_property
    def _partitions_by_service(self) -> dict[str, dict[str, KeyRange]]:
        return {
            name: {
                partition_name(key_range, slot_index): key_range
                for key_range in ranges
                for slot_index in range(key_range.slots)
            }
            for name, ranges in self._key_ranges_by_service.items()
        }

    @functools.cached_property
    def _callers_by_digest(self) -> dict[str, Caller]:
        return {item.token_sha256: item for item in self.by_kind(Caller).values()}

    @functools.cached_property
    def _limits_by_target(self) -> dict[tuple[str, str], tuple[Limit, ...]]:
        grouped: dict[tuple[str, str], tuple[Limit, ...]] = {}
        for item in self.by_kind(Limit).values():
            target = (item.caller, item.service)
            grouped[target] = (*grouped.get(target, ()), item)
        return grouped


def partition_name(key_range: KeyRange, slot_index: int) -> str:
    """Return the name of the slot partition with *slot_index* in *key_range*, from 0."""
    return f"{key_range.name}/{slot_index}"


def slot_of(key_range: KeyRange, key: str) -> str:
    """Return the name of the slot partition that *key* hashes to."""
    hashed = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")
    return partition_name(key_range, hashed % key_range.slots)


def hot_partition(slot: str, key: str) -> str:
    """Return the name of the partition that contains only *key*.

    *slot* is the name of the slot partition that it is split out of.
    """
    return f"{slot}/key:{key}"


def slot_of_hot_partition(partition: str) -> str:
    """Return the name of the slot partition that hot partition *partition* was split out of."""
    return partition.partition("/key:")[0]


def key_of_hot_partition(partition: str) -> str:
    """Return the key of the hot partition *partition*, or "" if it is a slot partition."""
    return partition.partition("/key:")[2]
