"""Compares the unavailable time of leader lease schemes, on virtual time and the same seeds.

The schemes are support of voters with extended grants while the log is down, which the daemon uses;
the same with extended grants of 60 s; support of voters alone; a lease renewed through the log,
which expires in a log outage; and support of voters with grants that always last 20 s.
Run by `make outages`.
"""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Callable

from fakes import FakeVoterClient, Fleet, run_virtual
from tabulate import tabulate
from test_ownership import partitions, small_objects

from fuchsiatrack.kernel.settings import TimingSettings

SEEDS = range(5)
# The second fault of a case begins this long after the first.
FAULT_DELAY_S = 6.0
OUTAGE_S, AFTER_S = 30.0, 20.0
LONG_GRANT_MS = 20_000


class LogLeaseVoterClient(FakeVoterClient):
    """Gives support only while the log is up and the leader is connected to it."""

    async def support(self, voter, shard, term, grant_duration):
        if self._fleet.log.down or self._fleet.network.is_cut(self._local_daemon.vm, "log"):
            return None
        node = self._fleet.nodes.get(voter.incarnation)
        return node.voter.support(shard, term, grant_duration) if node else None


def _use_log_lease(fleet: Fleet) -> None:
    for node in fleet.nodes.values():
        node.leadership._voter_client = LogLeaseVoterClient(fleet, node.daemon)


def _use_60_s_extended_grants(fleet: Fleet) -> None:
    _use_timings(fleet, TimingSettings(hold_lease=60_000))


def _use_no_extended_grants(fleet: Fleet) -> None:
    _use_timings(fleet, TimingSettings(hold_lease=TimingSettings().grant_lease))


def _use_long_grants(fleet: Fleet) -> None:
    _use_timings(fleet, TimingSettings(grant_lease=LONG_GRANT_MS, hold_lease=LONG_GRANT_MS))


def _use_timings(fleet: Fleet, timings: TimingSettings) -> None:
    for node in fleet.nodes.values():
        node.assigner._timings = node.leadership._timings = timings


SCHEMES: dict[str, Callable[[Fleet], None]] = {
    "support and hold": lambda fleet: None,
    "support and hold of 60 s": _use_60_s_extended_grants,
    "support of voters": _use_no_extended_grants,
    "lease by the log": _use_log_lease,
    "support, grants of 20 s": _use_long_grants,
}


def _log_down(fleet: Fleet) -> None:
    fleet.log.down = True


def _server_lost(fleet: Fleet) -> None:
    fleet.servers["poles-1"].alive = False


def _leader_lost(fleet: Fleet) -> None:
    if fleet.leader:
        fleet.leader.kill()


def _leader_cut_off_with_one_server(fleet: Fleet) -> None:
    cut_off = {fleet.leader.daemon.vm, *list(fleet.servers)[:1]}
    others = [end for end in (*fleet.listed, *fleet.servers, "log") if end not in cut_off]
    for end in cut_off:
        fleet.network.cut(end, others)


# The first fault of each case, and the one that follows `FAULT_DELAY_S` later.
CASES = {
    "log down": (_log_down, None),
    "log down, then a server lost": (_log_down, _server_lost),
    "log down, then the leader lost": (_log_down, _leader_lost),
    "leader cut off with a third of the servers": (_leader_cut_off_with_one_server, None),
    "a server lost, log up": (_server_lost, None),
}


def _share_unowned(scheme: str, case: str, seed: int) -> tuple[float, int]:
    """Return the share of partition time without an owner, and the number of overlaps."""

    async def run():
        fleet = Fleet(small_objects(), 5, seed)
        SCHEMES[scheme](fleet)
        await fleet.wait_all_owned()
        await asyncio.sleep(6)
        first, later = CASES[case]
        first(fleet)
        missing = samples = 0
        names = partitions(fleet)
        loop = asyncio.get_running_loop()
        start = loop.time()
        end, healed = start + OUTAGE_S + AFTER_S, start + OUTAGE_S
        while loop.time() < end:
            if later and loop.time() >= start + FAULT_DELAY_S:
                later(fleet)
                later = None
            if loop.time() >= healed:
                fleet.log.down = False
                fleet.network.heal()
            missing += len(names - fleet.owned())
            samples += len(names)
            await asyncio.sleep(0.02)
        fleet.close()
        return missing / samples, len(fleet.overlaps)

    return run_virtual(run())


def main() -> None:
    """Print the table."""
    rows = []
    for case in CASES:
        for scheme in SCHEMES:
            runs = [_share_unowned(scheme, case, seed) for seed in SEEDS]
            unowned = statistics.mean(run[0] for run in runs) * (OUTAGE_S + AFTER_S)
            rows.append((case, scheme, unowned, sum(run[1] for run in runs)))
    headers = ("case (30 s, then 20 s healed)", "way", "s without owner, mean key", "overlaps")
    print(tabulate(rows, headers=headers, floatfmt=".2f"))


if __name__ == "__main__":
    main()
