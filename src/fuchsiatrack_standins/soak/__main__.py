"""Command line of the soak test: `python -m fuchsiatrack_standins.soak --seeds=1-50`."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile

from absl import app, flags

from fuchsiatrack_standins.soak.run import run_seed

_SEEDS = flags.DEFINE_string("seeds", "1-5", "First and last seed, or a single seed.")
_DURATION = flags.DEFINE_float("duration", 12.0, "Seconds during which new faults start.")
_DAEMONS = flags.DEFINE_integer("daemons", 3, "Number of daemons.")
_LARGE_DAEMONS = flags.DEFINE_integer(
    "large_daemons", 100, "Number of daemons of each seed that is a multiple of ten."
)
_DIRECTORY = flags.DEFINE_string("directory", None, "Directory for settings files and logs.")


def _main(argv: list[str]) -> int:
    first, _, last = _SEEDS.value.partition("-")
    directory = pathlib.Path(_DIRECTORY.value or tempfile.mkdtemp(prefix="soak-"))
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        seed_directory = directory / str(seed)
        seed_directory.mkdir(parents=True, exist_ok=True)
        daemons = _DAEMONS.value if seed % 10 else _LARGE_DAEMONS.value
        result = asyncio.run(run_seed(seed, _DURATION.value, daemons, seed_directory))
        failed_seeds += bool(result.violations)
        print(result.describe(), flush=True)
    print(f"logs in {directory}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.argv[0] = "soak"
    app.run(_main)
