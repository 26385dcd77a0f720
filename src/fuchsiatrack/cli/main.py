"""Entry point of `fuchsiatrack`, the command-line tool for operators."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import sys
from collections.abc import Callable

from absl import app, flags

from fuchsiatrack.cli import client, output
from fuchsiatrack.kernel.clock import SystemClock
from fuchsiatrack.kernel.errors import PlatformUnavailable
from fuchsiatrack.model.check import CheckResult, check_paths
from fuchsiatrack.reports import burn, plot

EXIT_OK = 0
EXIT_FAULTY_SET = 1
EXIT_USAGE = 2
EXIT_NOT_ACCEPTED = 3
EXIT_UNKNOWN = 4
STATUS_POLL_PERIOD_MS = 200

_LOG_URL = flags.DEFINE_string("log_url", "http://127.0.0.1:7000", "URL of the platform's log.")
_VM_LIST_URL = flags.DEFINE_string("vm_list_url", "http://127.0.0.1:7000", "URL of the VM list.")
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of a table.")
_WAIT = flags.DEFINE_bool("wait", False, "publish: wait until the revision is in force.")
_BASE = flags.DEFINE_integer(
    "base", None, "publish: the base revision, which must be in force; default the latest."
)
_TIMEOUT_MS = flags.DEFINE_integer("timeout_ms", 10_000, "publish: how long to wait.")
_DAEMON = flags.DEFINE_string("daemon", "", "explain: HOST:PORT of a gateway daemon's metrics.")
_HOST = flags.DEFINE_string("host", None, "explain: host of the request.")
_PATH = flags.DEFINE_string("path", None, "explain: path of the request.")
_KEY = flags.DEFINE_string("key", None, "explain: key of the request, if it has one.")
_PLOT = flags.DEFINE_string("plot", "", "burn: also write a chart to this SVG file.")

USAGE = """usage: fuchsiatrack COMMAND [PATH...] [--flags]
  check PATH...      check a set of objects
  publish PATH...    check, publish and wait for the decision
  revisions          list decisions on published sets
  status             show daemons, leaders, services
  ownership          show the owner of each partition
  burn               show how fast services use up their error budgets
  explain            show where a request would go now: --daemon, --host, --path, --key"""


def _check(paths: list[str]) -> int:
    checked = check_paths(pathlib.Path(path) for path in paths)
    _print_check(checked)
    return EXIT_FAULTY_SET if checked.findings else EXIT_OK


def _print_check(checked: CheckResult) -> None:
    for finding in checked.findings:
        print(finding, file=sys.stderr)
    if not checked.findings:
        print(f"{len(checked.objects.objects)} objects, no fault")


def _publish(paths: list[str]) -> int:
    checked = check_paths(pathlib.Path(path) for path in paths)
    _print_check(checked)
    if checked.findings:
        return EXIT_FAULTY_SET
    publish_result = asyncio.run(
        client.publish(_LOG_URL.value, checked.objects, _BASE.value, _TIMEOUT_MS.value)
    )
    decision = publish_result.decision
    if decision is None:
        print(f"publish {publish_result.offset}: not decided yet; see 'fuchsiatrack revisions'")
        return EXIT_UNKNOWN
    if not decision.accepted_at:
        print(f"publish {publish_result.offset}: rejected: {'; '.join(decision.reasons)}")
        return EXIT_NOT_ACCEPTED
    print(f"revision {publish_result.offset}: accepted")
    return asyncio.run(_wait_in_force(publish_result.offset)) if _WAIT.value else EXIT_OK


async def _wait_in_force(revision: int) -> int:
    clock = SystemClock()
    deadline = clock.now() + _TIMEOUT_MS.value
    while True:
        responses = await client.read_daemons(_VM_LIST_URL.value, "/status")
        pending = [r.vm for r in responses if not r.body or r.body["revision"] < revision]
        if not pending:
            print(f"revision {revision}: in force on {len(responses)} daemons")
            return EXIT_OK
        if clock.now() >= deadline:
            print(f"revision {revision}: not yet in force on {', '.join(pending)}")
            return EXIT_UNKNOWN
        await clock.sleep(STATUS_POLL_PERIOD_MS)


def _read(path: str) -> list[client.DaemonResponse]:
    return asyncio.run(client.read_daemons(_VM_LIST_URL.value, path))


def _status(paths: list[str]) -> int:
    responses = _read("/status")
    if _JSON.value:
        output.print_json({response.vm: response.body for response in responses})
    else:
        output.print_status(responses)
    return _exit_code(responses)


def _exit_code(responses: list[client.DaemonResponse]) -> int:
    return EXIT_OK if responses and all(response.body for response in responses) else EXIT_UNKNOWN


def _revisions(paths: list[str]) -> int:
    body = _newest_body(_read("/revisions"), lambda body: body["revision"])
    if _JSON.value:
        output.print_json(body)
        return EXIT_OK
    rows = (
        (
            item["publish"],
            item["base"],
            item["operator"],
            "accepted" if item["accepted_at"] else "rejected",
            "in force" if item["publish"] == body["revision"] else "; ".join(item["reasons"]),
        )
        for item in body["decisions"]
    )
    output.print_table(rows, ("revision", "base", "operator", "decision", ""))
    return EXIT_OK


def _newest_body(responses: list[client.DaemonResponse], version_of: Callable) -> dict:
    bodies = [response.body for response in responses if response.body]
    if not bodies:
        raise PlatformUnavailable("no daemon responded")
    return max(bodies, key=version_of)


def _ownership(paths: list[str]) -> int:
    body = _newest_body(_read("/ownership"), _highest_fence)
    if _JSON.value:
        output.print_json(body)
        return EXIT_OK
    rows = (
        (service, partition, owner["server"], owner["fence"], owner["target"])
        for service, partitions in sorted(body.items())
        for partition, owner in sorted(partitions.items())
    )
    output.print_table(rows, ("service", "partition", "owner", "fence", "moving to"))
    return EXIT_OK


def _highest_fence(body: dict) -> int:
    owners = (owner for partitions in body.values() for owner in partitions.values())
    return max((max(owner["fence"], owner["revoked"]) for owner in owners), default=0)


def _burn(paths: list[str]) -> int:
    responses = _read("/levels")
    report = burn.build((response.vm, response.body) for response in responses)
    if _PLOT.value:
        plot.plot_burn(report, pathlib.Path(_PLOT.value))
    if _JSON.value:
        output.print_json(dataclasses.asdict(report))
    else:
        output.print_burn(report)
    return _exit_code(responses)


def _explain(paths: list[str]) -> int:
    if not (_DAEMON.value and _HOST.value and _PATH.value):
        print("fuchsiatrack: explain needs --daemon, --host and --path", file=sys.stderr)
        return EXIT_USAGE
    fields = {"host": _HOST.value, "path": _PATH.value, "key": _KEY.value}
    given = {name: value for name, value in fields.items() if value is not None}
    try:
        explanation = asyncio.run(client.explain(_DAEMON.value, given))
    except client.QuestionRejected as error:
        print(f"fuchsiatrack: {error}", file=sys.stderr)
        return EXIT_USAGE
    if _JSON.value:
        output.print_json(explanation)
    else:
        output.print_explanation(explanation)
    return EXIT_OK


COMMANDS: dict[str, Callable[[list[str]], int]] = {
    "check": _check,
    "publish": _publish,
    "revisions": _revisions,
    "status": _status,
    "ownership": _ownership,
    "burn": _burn,
    "explain": _explain,
}


def _main(argv: list[str]) -> int:
    command = COMMANDS.get(argv[1]) if len(argv) > 1 else None
    needs_paths = command in (_check, _publish)
    if command is None or needs_paths != (len(argv) > 2):
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    try:
        return command(argv[2:])
    except PlatformUnavailable as error:
        print(f"fuchsiatrack: {error}", file=sys.stderr)
        return EXIT_UNKNOWN


def run() -> None:
    """Run one command and exit with its status code."""
    app.run(_main)


if __name__ == "__main__":
    run()
