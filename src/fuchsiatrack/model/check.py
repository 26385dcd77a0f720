"""Validation of a whole set of objects; all faults are reported together."""

from __future__ import annotations

import itertools
import pathlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import pydantic
import pydantic_core
from pydantic import TypeAdapter

from fuchsiatrack.kernel import registry
from fuchsiatrack.kernel.documents import read_documents
from fuchsiatrack.kernel.errors import Finding
from fuchsiatrack.model.objects import (
    KINDS,
    BackendServer,
    Caller,
    FailureDomain,
    KeyRange,
    Limit,
    NamedObject,
    Placement,
    Service,
)
from fuchsiatrack.model.objectset import ObjectSet

MAX_OBJECTS = 20_000
MAX_FINDINGS = 200

_ADAPTERS = {kind: TypeAdapter(cls) for kind, cls in KINDS.items()}
_REFERENCES = {
    KeyRange: (("service", Service), ("placement", Placement)),
    Placement: (("service", Service), ("failure_domains", FailureDomain)),
    Caller: (("services", Service),),
    Limit: (("caller", Caller), ("service", Service)),
    BackendServer: (("service", Service), ("failure_domain", FailureDomain)),
}


@dataclass(frozen=True)
class Source:
    """An object and the file it came from."""

    file: str
    item: NamedObject

    def finding(self, field: str, why: str) -> Finding:
        """Return a finding about *field* of this object."""
        return Finding(self.file, f"{type(self.item).__name__} {self.item.name}", field, why)


@dataclass(frozen=True)
class CheckResult:
    """The checked set and the faults found in it."""

    objects: ObjectSet
    findings: tuple[Finding, ...]


def check_paths(paths: Iterable[pathlib.Path]) -> CheckResult:
    """Check the objects in files and folders.

    A folder stands for the ``*.yaml`` files in it and in its subfolders.
    """
    files = tuple(itertools.chain.from_iterable(_list_files(path) for path in paths))
    loaded = [_load(file) for file in files]
    documents = [(str(file), doc) for file, docs, _ in loaded for doc in docs]
    load_findings = [finding for _, _, findings in loaded for finding in findings]
    if not files:
        load_findings.append(Finding("-", "-", "PATH", "no YAML file found"))
    return _check(documents, load_findings)


def check_documents(documents: Iterable[Any], file: str = "published set") -> CheckResult:
    """Check objects given as plain mappings."""
    return _check([(file, document) for document in documents], [])


def _list_files(path: pathlib.Path) -> list[pathlib.Path]:
    return sorted(path.rglob("*.yaml")) if path.is_dir() else [path]


def _load(file: pathlib.Path) -> tuple[pathlib.Path, list[Any], list[Finding]]:
    result = read_documents(file)
    if result.is_error():
        return file, [], [Finding(str(file), "-", "file", result.error)]
    return file, result.ok, []


def _check(documents: list[tuple[str, Any]], findings: list[Finding]) -> CheckResult:
    registry.load_plugins()
    if len(documents) > MAX_OBJECTS:
        findings.append(Finding("-", "-", "set", f"holds more than {MAX_OBJECTS} objects"))
        documents = documents[:MAX_OBJECTS]
    sources = []
    for file, document in documents:
        parsed = _parse(file, document)
        (findings.extend if isinstance(parsed, list) else sources.append)(parsed)
    findings.extend(_duplicate_findings(sources))
    objects = ObjectSet(tuple(source.item for source in sources))
    for rule in (
        _reference_findings,
        _range_findings,
        _caller_findings,
        _placement_findings,
        _server_findings,
        _plugin_findings,
    ):
        findings.extend(rule(objects, sources))
    return CheckResult(objects, tuple(sorted(set(findings))[:MAX_FINDINGS]))


def _parse(file: str, document: Any) -> Source | list[Finding]:
    if not isinstance(document, dict):
        return [Finding(file, "-", "document", "expected a mapping with kind and name")]
    kind, name = str(document.get("kind"))[:40], str(document.get("name"))[:80]
    if kind not in KINDS:
        return [Finding(file, name, "kind", f"unknown kind {kind!r}; known: {', '.join(KINDS)}")]
    try:
        # In JSON mode, strict validation accepts lists for tuples, but converts no strings.
        return Source(file, _ADAPTERS[kind].validate_json(pydantic_core.to_json(document)))
    except pydantic.ValidationError as error:
        return [_validation_finding(file, f"{kind} {name}", item) for item in error.errors()]
    except (TypeError, ValueError) as error:
        return [Finding(file, f"{kind} {name}", "document", str(error)[:200])]


def _validation_finding(file: str, object_name: str, item: Any) -> Finding:
    field = ".".join(str(part) for part in item["loc"]) or "document"
    return Finding(file, object_name, field, f"{item['msg']} (got {item['input']!r:.80})")


def _duplicate_findings(sources: list[Source]) -> Iterator[Finding]:
    first: dict[tuple[type, str], str] = {}
    for source in sources:
        identity = (type(source.item), source.item.name)
        if identity in first:
            yield source.finding("name", f"is also defined in {first[identity]}")
        first.setdefault(identity, source.file)


def _reference_findings(objects: ObjectSet, sources: list[Source]) -> Iterator[Finding]:
    for source in sources:
        for field, kind in _REFERENCES.get(type(source.item), ()):
            value = getattr(source.item, field)
            for name in (value,) if isinstance(value, str) else value:
                if name not in objects.by_kind(kind):
                    yield source.finding(field, f"no {kind.__name__} is named {name!r}")


def _range_findings(objects: ObjectSet, sources: list[Source]) -> Iterator[Finding]:
    by_name = {s.item.name: s for s in sources if isinstance(s.item, KeyRange)}
    for service in (s for s in sources if isinstance(s.item, Service)):
        ranges = objects.key_ranges(service.item.name)
        if service.item.keyed != bool(ranges):
            why = "has no key range" if service.item.keyed else "is not keyed but has key ranges"
            yield service.finding("keyed", why)
            continue
        yield from _coverage_findings(ranges, by_name)


def _coverage_findings(
    ranges: tuple[KeyRange, ...], by_name: dict[str, Source]
) -> Iterator[Finding]:
    if not ranges:
        return
    if ranges[0].first:
        yield by_name[ranges[0].name].finding("first", "keys before this bound are not covered")
    for item, following in itertools.pairwise(ranges):
        source = by_name[following.name]
        if not item.last or item.last > following.first:
            yield source.finding("first", f"overlaps with KeyRange {item.name}")
        elif item.last < following.first:
            yield source.finding("first", f"keys from {item.last!r} are not covered")
    if ranges[-1].last:
        yield by_name[ranges[-1].name].finding("last", "keys from this bound on are not covered")
    for item in ranges:
        if item.last and item.last <= item.first:
            yield by_name[item.name].finding("last", f"{item.last!r} is not after first")


def _caller_findings(objects: ObjectSet, sources: list[Source]) -> Iterator[Finding]:
    tokens: dict[str, str] = {}
    for source in (s for s in sources if isinstance(s.item, Caller)):
        if not source.item.services:
            yield source.finding("services", "names no service")
        other = tokens.setdefault(source.item.token_sha256, source.item.name)
        if other != source.item.name:
            yield source.finding("token_sha256", f"is also the token of Caller {other}")
    for source in (s for s in sources if isinstance(s.item, Limit)):
        caller = objects.by_kind(Caller).get(source.item.caller)
        if caller and source.item.service not in caller.services:
            yield source.finding("service", f"is not in the services of Caller {caller.name}")


def _placement_findings(objects: ObjectSet, sources: list[Source]) -> Iterator[Finding]:
    for source in (s for s in sources if isinstance(s.item, Placement)):
        item = source.item
        servers = eligible_servers(objects, item)
        if item.service in objects.services and len(servers) < item.min_servers:
            yield source.finding(
                "min_servers", f"needs {item.min_servers} servers, {len(servers)} are eligible"
            )
        keys = [hot.key for hot in item.hot_keys]
        for hot in item.hot_keys:
            if hot.server and hot.server not in {server.name for server in servers}:
                yield source.finding("hot_keys", f"{hot.server!r} is not an eligible server")
            if keys.count(hot.key) > 1:
                yield source.finding("hot_keys", f"key {hot.key!r} is listed twice")
            key_range = objects.range_of(item.service, hot.key)
            if key_range and key_range.placement != item.name:
                yield source.finding(
                    "hot_keys", f"key {hot.key!r} is in a key range of another placement"
                )
    for source in (s for s in sources if isinstance(s.item, KeyRange)):
        placement = objects.placements.get(source.item.placement)
        if placement and placement.service != source.item.service:
            yield source.finding("placement", f"is for Service {placement.service}")


def _server_findings(objects: ObjectSet, sources: list[Source]) -> Iterator[Finding]:
    addresses: dict[str, str] = {}
    for source in (s for s in sources if isinstance(s.item, BackendServer)):
        other = addresses.setdefault(source.item.address, source.item.name)
        if other != source.item.name:
            yield source.finding("address", f"is also the address of BackendServer {other}")
    for source in (s for s in sources if isinstance(s.item, Service)):
        if not objects.servers(source.item.name):
            yield source.finding("name", "no BackendServer provides this service")


def _plugin_findings(objects: ObjectSet, sources: list[Source]) -> Iterator[Finding]:
    fields = ((Placement, "policy", "placement"), (Service, "balancing", "balancing"))
    for source, (kind, field, plugin) in itertools.product(sources, fields):
        if isinstance(source.item, kind):
            value = getattr(source.item, field)
            if value not in registry.names(plugin):
                known = ", ".join(registry.names(plugin))
                yield source.finding(field, f"no {plugin} plug-in {value!r}; known: {known}")


def eligible_servers(objects: ObjectSet, placement: Placement) -> tuple[BackendServer, ...]:
    """Return the servers on which *placement* may put partitions."""
    return tuple(
        server
        for server in objects.servers(placement.service)
        if not placement.failure_domains or server.failure_domain in placement.failure_domains
    )


def check_succession(old: ObjectSet, new: ObjectSet) -> tuple[Finding, ...]:
    """Return a finding for each change between two revisions that is not allowed.

    A service's key ranges keep their bounds and slots while the service stays published.
    Otherwise a key would belong to two partitions while daemons switch to the new revision.
    """
    common_services = old.services.keys() & new.services.keys()
    layout_findings = (
        Finding("published set", f"Service {name}", "key ranges", "can't change once published")
        for name in sorted(common_services)
        if _key_range_layout(old, name) != _key_range_layout(new, name)
    )
    return (*layout_findings, *_server_succession_findings(old, new))


def _server_succession_findings(old: ObjectSet, new: ObjectSet) -> Iterator[Finding]:
    """Yield a finding for each changed field that identifies a server.

    A different server under the same name could own keys at the same time as the old one.  The
    address of a server that checks grants may change, since its grants at the old address are
    ended first.
    """
    old_servers = old.by_kind(BackendServer)
    for name, server in new.by_kind(BackendServer).items():
        fixed_fields = ["service", "checks_grants", *(() if server.checks_grants else ("address",))]
        for field in fixed_fields:
            if name in old_servers and getattr(old_servers[name], field) != getattr(server, field):
                object_name = f"BackendServer {name}"
                yield Finding("published set", object_name, field, "can't change; use another name")


def _key_range_layout(objects: ObjectSet, service: str) -> list[tuple[str, str, str, int]]:
    return [(r.name, r.first, r.last, r.slots) for r in objects.key_ranges(service)]
