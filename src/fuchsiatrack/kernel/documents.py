"""Reader of YAML from untrusted files, in bounded time and memory."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator
from typing import Any

import yaml
from expression import Error, Ok, Result

MAX_FILE_BYTES = 1 << 20
MAX_DEPTH = 20


class _StrictLoader(yaml.SafeLoader):
    """Safe loader that rejects aliases, repeated mapping keys and deep nesting.

    Repeated keys are looked for only in mappings of fewer than 100 keys.
    """

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            raise yaml.YAMLError(f"aliases are not allowed{self.peek_event().start_mark}")
        self._depth = getattr(self, "_depth", 0) + 1
        if self._depth > MAX_DEPTH:
            raise yaml.YAMLError(f"nested deeper than {MAX_DEPTH} levels")
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node

    def construct_mapping(self, node: Any, deep: bool = False) -> dict:
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        repeated = {str(key) for key in keys if keys.count(key) > 1} if len(keys) < 100 else set()
        if repeated:
            raise yaml.YAMLError(f"repeated field {sorted(repeated)[0]!r}{node.start_mark}")
        return super().construct_mapping(node, deep)


def read_documents(path: pathlib.Path) -> Result[list[Any], str]:
    """Return the YAML documents of the file *path*, or a description of its fault.

    Faults are an unreadable file, more than `MAX_FILE_BYTES`, invalid UTF-8 or YAML, aliases,
    repeated fields in mappings of fewer than 100 fields, and nesting deeper than `MAX_DEPTH`.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return Error(f"can't be read: {error.strerror}")
    return parse_documents(data)


def parse_documents(data: bytes) -> Result[list[Any], str]:
    """Return the YAML documents in *data*, or a description of the fault, as `read_documents`."""
    if len(data) > MAX_FILE_BYTES:
        return Error(f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        return Error(f"is not UTF-8: byte {error.start}")
    try:
        return Ok([document for document in _load_all(text) if document is not None])
    except (yaml.YAMLError, ValueError) as error:
        return Error("is not valid YAML: " + " ".join(str(error).split()))


def _load_all(text: str) -> Iterator[Any]:
    yield from yaml.load_all(text, Loader=_StrictLoader)
