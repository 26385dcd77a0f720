"""Entry point of the gateway daemon."""

from __future__ import annotations

import asyncio
import gc
import os
import pathlib
import sys

from absl import app, flags

from fuchsiatrack.gateway.adapter import PlatformAdapter
from fuchsiatrack.gateway.daemon import GatewayDaemon, modification_time_ns
from fuchsiatrack.gateway.settings import GatewaySettings, SettingsError
from fuchsiatrack.kernel import allocator, logs, registry

EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "FUCHSIATRACK_SETTINGS"
# Allocations between young collections; the default threshold costs more CPU time.
GC_THRESHOLD_OBJECTS = 20_000

_ADAPTER = flags.DEFINE_string("adapter", "platform", "Plug-in that adapts the platform.")
_SETTINGS = flags.DEFINE_string(
    "settings", None, f"Path of the settings file; the value of {SETTINGS_VARIABLE} by default."
)
_LOG_LEVEL = flags.DEFINE_enum("log_level", "info", logs.LEVELS, "Lowest level to log.")


def _main(argv: list[str]) -> int:
    registry.load_plugins("fuchsiatrack.platform")
    path = pathlib.Path(_SETTINGS.value or os.environ.get(SETTINGS_VARIABLE, ""))
    adapter = registry.find("adapter", _ADAPTER.value)()
    # Before the settings are read, so that a change during that isn't missed.
    mtime_ns = modification_time_ns(path)
    try:
        settings = adapter.load_settings(path)
    except SettingsError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(settings.vm, _LOG_LEVEL.value, bounded=True)
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gc.freeze()
    allocator.limit_heap_blocks()
    asyncio.run(_serve(adapter, settings, path, mtime_ns))
    return 0


async def _serve(
    adapter: PlatformAdapter, settings: GatewaySettings, path: pathlib.Path, mtime_ns: int
) -> None:
    await GatewayDaemon(adapter, settings, path, mtime_ns).run()


def run() -> None:
    """Run the daemon until it is stopped."""
    app.run(_main)
