"""Plug-ins by kind and name.

A plug-in module registers its class with `register` when it is imported; `load_plugins` imports
every module of a package, so that adding a plug-in needs no change elsewhere.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T", bound=type)

_plugins: dict[str, dict[str, type]] = {}


def register(kind: str, name: str) -> Callable[[T], T]:
    """Return a class decorator that registers the class as plug-in *name* of *kind*.

    Raises ValueError if another class has the name.
    """

    def decorate(plugin: T) -> T:
        names = _plugins.setdefault(kind, {})
        if names.get(name, plugin) is not plugin:
            raise ValueError(f"{kind} plug-in {name!r} is registered twice")
        names[name] = plugin
        return plugin

    return decorate


def find(kind: str, name: str) -> type:
    """Return the plug-in class *name* of *kind*; raise KeyError with the known names."""
    known = _plugins.get(kind, {})
    if name not in known:
        raise KeyError(f"no {kind} plug-in {name!r}; known: {', '.join(sorted(known))}")
    return known[name]


def names(kind: str) -> tuple[str, ...]:
    """Return the sorted names of the plug-ins of *kind*."""
    return tuple(sorted(_plugins.get(kind, {})))


def load_plugins(package_name: str = "fuchsiatrack.plugins") -> None:
    """Import every module of *package_name*."""
    package = importlib.import_module(package_name)
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{package_name}.{module.name}")
