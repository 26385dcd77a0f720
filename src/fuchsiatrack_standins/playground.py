"""Deployment of an example on loopback that runs until interrupted."""

from __future__ import annotations

import asyncio
import pathlib

from absl import app, flags

from fuchsiatrack.model.check import check_paths
from fuchsiatrack_standins.deployment import Deployment

_EXAMPLE = flags.DEFINE_string(
    "example", "examples/mist-poles", "Directory of the objects to deploy."
)
_DAEMONS = flags.DEFINE_integer("daemons", 3, "Number of daemons.")
_MINUTES = flags.DEFINE_float("minutes", 60, "Maximum duration in minutes.")


async def _run() -> None:
    objects = check_paths([pathlib.Path(_EXAMPLE.value)]).objects
    async with Deployment(objects, _DAEMONS.value) as deployment:
        urls = ", ".join(deployment.caller_url(n) for n in range(1, _DAEMONS.value + 1))
        print(f"daemons: {urls}; platform: {deployment.network.platform_url}")
        print(f"logs and journals: {deployment.directory}; end with Ctrl-C", flush=True)
        await asyncio.sleep(_MINUTES.value * 60)


def _main(argv: list[str]) -> None:
    try:
        asyncio.run(_run())
    except KeyboardInterrupt:
        print("stopped")


if __name__ == "__main__":
    app.run(_main)
