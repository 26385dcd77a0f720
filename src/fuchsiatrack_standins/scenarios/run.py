"""Run scenario files and print a timeline and a verdict for each scenario."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from absl import app, flags

from fuchsiatrack_standins.scenarios.checks import evaluate_checks
from fuchsiatrack_standins.scenarios.language import Scenario, parse
from fuchsiatrack_standins.scenarios.runner import Environment, Observation, Runner

_OCTET = flags.DEFINE_integer("octet", 9, "Second octet of the loopback addresses to use.")
_QUIET = flags.DEFINE_bool("quiet", False, "Do not print the timeline.")
MAX_VIOLATIONS_SHOWN = 5


async def _run(scenario: Scenario, environment: Environment) -> bool:
    runner = Runner(scenario, environment)
    try:
        observation = await runner.run()
    except Exception as error:  # a runner fault fails this scenario; later ones still run
        print(f"Scenario: {scenario.name} (seed {scenario.seed}): FAILED")
        print(f"  runner: {error!r}; logs are in {environment.deployment.directory}", flush=True)
        return False
    return _report(scenario, environment, observation)


def _report(scenario: Scenario, environment: Environment, observation: Observation) -> bool:
    results = evaluate_checks(scenario, observation)
    passed = all(result.passed for result in results)
    verdict = "passed" if passed else "FAILED"
    print(f"Scenario: {scenario.name} (seed {scenario.seed}): {verdict}")
    if not _QUIET.value:
        for at, text in observation.timeline:
            print(f"  {(at - observation.started_at_ms) / 1_000:7.2f} s  {text}")
    for result in results:
        for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
            print(f"  {result.check.kind}: {violation}")
    longest_ms = max((item.latency_ms for item in observation.reads), default=0.0)
    assert observation.comparison
    print(f"  longest wait for a key {longest_ms:.0f} ms; {observation.comparison.summary}")
    if not passed:
        print(f"  logs and journals are in {environment.deployment.directory}")
    sys.stdout.flush()
    return passed


async def _run_all(scenarios: list[Scenario]) -> list[bool]:
    """Run *scenarios*, reusing the environment until one fails or needs a different one."""
    results: list[bool] = []
    environment: Environment | None = None
    try:
        for scenario in scenarios:
            configuration = (scenario.objects, scenario.daemons)
            if environment and (not results[-1] or environment.configuration != configuration):
                await environment.deployment.close()
                environment = None
            if environment is None:
                environment = Environment(scenario, _OCTET.value)
                await environment.start()
            results.append(await _run(scenario, environment))
    finally:
        if environment:
            await environment.deployment.close()
    return results


def _main(argv: list[str]) -> int:
    texts = [sys.stdin.read()] if argv[1:] == ["-"] else _read_files(argv[1:])
    scenarios = [scenario for text in texts for scenario in parse(text)]
    results = asyncio.run(_run_all(scenarios))
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


def _read_files(paths: list[str]) -> list[str]:
    return [pathlib.Path(path).read_text() for path in paths]


if __name__ == "__main__":
    app.run(_main)
