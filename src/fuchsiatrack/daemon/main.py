"""Entry point of `fuchsiatrackd`."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
from collections.abc import Callable

import uvloop
from absl import app, flags

from fuchsiatrack.daemon.daemon import DaemonProcess
from fuchsiatrack.kernel import allocator, logs, registry
from fuchsiatrack.kernel.settings import Settings, load_settings

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

_SETTINGS = flags.DEFINE_string("settings", None, "YAML file with the daemon's settings.")


async def _serve(settings: Settings) -> bool:
    return await DaemonProcess(settings).run()


def _main(argv: list[str]) -> int:
    result = load_settings(pathlib.Path(_SETTINGS.value))
    if result.is_error():
        print("\n".join(result.error), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    registry.load_plugins()
    if error := _find_missing_plugin(result.ok):
        print(f"{_SETTINGS.value}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(result.ok.vm, result.ok.log_level)
    allocator.limit_heap_blocks()
    with asyncio.Runner(loop_factory=_loop_factory(result.ok)) as runner:
        succeeded = runner.run(_serve(result.ok))
    return 0 if succeeded else EXIT_FAILED


def _find_missing_plugin(settings: Settings) -> str:
    """Return an error message for an unknown platform plug-in, or "" if all are known."""
    for kind in ("log", "vm_list"):
        name = getattr(settings.platform, kind)
        if name not in registry.names(kind):
            known = ", ".join(registry.names(kind))
            return f"platform.{kind}: no such plug-in; known: {known} (got {name!r})"
    return ""


def _loop_factory(settings: Settings) -> Callable[[], asyncio.AbstractEventLoop] | None:
    if settings.event_loop == "asyncio":
        return None
    # The VMs do not permit io_uring; libuv reads this variable when it creates its first loop.
    os.environ["UV_USE_IO_URING"] = "0"
    return uvloop.new_event_loop


def run() -> None:
    """Run the daemon until it stops, then exit with its status code."""
    flags.mark_flag_as_required("settings")
    app.run(_main)


if __name__ == "__main__":
    run()
