"""Ownership under faults, on virtual time: never two owners, and served again in time."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest
from fakes import FakeServer, Fleet, run_virtual
from test_model import small_set

from fuchsiatrack.control.grantclient import ServerUnreachable
from fuchsiatrack.control.records import Claim, Daemon
from fuchsiatrack.kernel.clock import drift_upper_bound
from fuchsiatrack.model.check import check_documents
from fuchsiatrack_standins.scenarios.sets import with_hot_key

SERVED_AGAIN_S = 3.0


def small_objects(servers=3, slots=4):
    documents = small_set()
    documents[3]["slots"] = slots
    server = documents.pop()
    documents += [
        server | {"name": f"poles-{n}", "address": f"127.0.2.{n}:7100"}
        for n in range(1, servers + 1)
    ]
    return check_documents(documents).objects


def scenario(steps, seed=0, nodes=3):
    """Run *steps* on a fleet whose partitions are all owned, and return the fleet."""

    async def run():
        fleet = Fleet(small_objects(), nodes, seed)
        try:
            await fleet.settle()
            await steps(fleet)
        finally:
            fleet.close()
        return fleet

    return run_virtual(run())


def partitions(fleet):
    return set(fleet.objects.partitions(fleet.service))


async def unowned_time(fleet, seconds):
    """Return the longest time for which some partition had no owner, while *seconds* pass."""
    loop = asyncio.get_running_loop()
    since, longest, end = {}, 0.0, loop.time() + seconds
    while loop.time() < end:
        owned = fleet.owned()
        for name in partitions(fleet):
            start = since.setdefault(name, loop.time())
            if name in owned:
                since[name] = loop.time()
            longest = max(longest, loop.time() - start)
        await asyncio.sleep(0.01)
    return longest


class TestLosses:
    def test_lost_server_is_replaced_in_time(self):
        async def steps(fleet):
            fleet.servers["poles-1"].alive = False
            assert await unowned_time(fleet, 6) < SERVED_AGAIN_S

        assert scenario(steps).overlaps == []

    def test_lost_leader_is_replaced_in_time(self):
        async def steps(fleet):
            fleet.leader.kill()
            assert await unowned_time(fleet, 6) < SERVED_AGAIN_S
            assert fleet.leader

        assert scenario(steps).overlaps == []

    def test_outage_of_the_log_makes_no_key_unavailable(self):
        async def steps(fleet):
            fleet.log.down = True
            assert await unowned_time(fleet, 60) < 0.1

        assert scenario(steps).overlaps == []

    def test_frozen_server_comes_back_owning_nothing(self):
        async def steps(fleet):
            server = fleet.servers["poles-1"]
            before = {name for name in server.held if server.owns(name)}
            server.gate.freeze()
            await asyncio.sleep(6)
            server.gate.thaw()
            assert not {name for name in before if server.owns(name)}
            await fleet.settle()

        assert scenario(steps).overlaps == []

    def test_restarted_server_is_granted_anew(self):
        async def steps(fleet):
            fleet.servers["poles-1"].restart()
            assert await unowned_time(fleet, 5) < SERVED_AGAIN_S

        assert scenario(steps).overlaps == []


class TestLeadership:
    def test_leader_cut_off_from_voters_stops_and_another_leads(self):
        async def steps(fleet):
            old = fleet.leader
            fleet.network.cut(old.daemon.vm, list(fleet.listed))
            await asyncio.sleep(fleet.timings.support_lease / 1000)
            assert not old.leadership.has_valid_lease()
            await fleet.wait_until(lambda: fleet.leader is not None, 3)
            assert fleet.leader is not old

        assert scenario(steps).overlaps == []

    def test_minority_can_not_act(self):
        async def steps(fleet):
            lone = next(n for n in fleet.nodes.values() if n is not fleet.leader)
            fleet.network.cut(lone.daemon.vm, list(fleet.listed))
            for _ in range(500):
                assert not lone.leadership.has_valid_lease()
                await asyncio.sleep(0.01)

        scenario(steps)

    def test_support_counts_from_before_the_question(self):
        async def steps(fleet):
            leader = fleet.leader
            fleet.network.delay = (0.1, 0.1)
            await asyncio.sleep(2)
            for _ in range(100):
                left = leader.leadership._lease_expires_at - leader.clock.now()
                assert left <= fleet.timings.support_lease - 190
                await asyncio.sleep(0.01)

        scenario(steps)

    def test_takeover_waits_for_support_given_before(self):
        async def steps(fleet):
            old = fleet.leader
            other = next(n for n in fleet.nodes.values() if n is not old)
            await other.writer.append(_claim(other, old.leadership.term), 2_000)
            await other.leadership._take_over()
            assert not (old.leadership.has_valid_lease() and other.leadership.has_valid_lease())
            wait = other.leadership.active_from - other.clock.now()
            assert wait > fleet.timings.support_lease / 2

        assert scenario(steps).overlaps == []

    def test_takeover_needs_a_majority_of_the_voters(self):
        async def steps(fleet):
            old = fleet.leader
            other = next(n for n in fleet.nodes.values() if n is not old)
            fleet.network.cut(other.daemon.vm, list(fleet.listed))
            await other.writer.append(_claim(other, old.leadership.term), 2_000)
            await other.leadership._take_over()
            assert other.leadership.holds_term
            assert other.leadership._active_term != other.leadership.term

        scenario(steps)

    def test_changing_voters_needs_both_majorities(self):
        async def steps(fleet):
            leader = fleet.leader
            lost = [Daemon(f"lost-{n}", f"lost-{n}.0", "x", "lost", 1) for n in range(3)]
            leader.leadership._proposed_voters = tuple(lost)
            leader.leadership._lease_expires_at = -1
            await leader.leadership._renew()
            assert not leader.leadership.has_valid_lease()
            leader.leadership._proposed_voters = ()
            await leader.leadership._renew()
            assert leader.leadership.has_valid_lease()

        scenario(steps)

    def test_resigned_leader_acts_no_more_even_when_the_record_is_late(self):
        async def steps(fleet):
            leader = fleet.leader
            fleet.log.down = True
            await leader.leadership._resign_for_drain()
            await leader.leadership._renew()
            assert leader.leadership.holds_term
            assert not leader.leadership.has_valid_lease()

        scenario(steps)

    def test_all_daemons_replaced_one_by_one(self):
        async def steps(fleet):
            for number, node in enumerate(list(fleet.listed.values())):
                fleet.start_node(f"new-{number}")
                await asyncio.sleep(3)
                del fleet.listed[node.daemon.vm]
                fleet.version += 1
                node.kill()
                assert await unowned_time(fleet, 6) < SERVED_AGAIN_S
            assert fleet.leader.daemon.vm.startswith("new")

        assert scenario(steps).overlaps == []

    def test_all_daemons_replaced_at_once(self):
        async def steps(fleet):
            owners = {p: o.server for p, o in _ownership(fleet).items()}
            for node in list(fleet.listed.values()):
                del fleet.listed[node.daemon.vm]
                node.kill()
            for number in range(3):
                fleet.start_node(f"new-{number}")
            await fleet.wait_until(lambda: fleet.leader is not None)
            await asyncio.sleep(5)
            await fleet.settle()
            assert {p: o.server for p, o in _ownership(fleet).items()} == owners

        assert scenario(steps).overlaps == []


def _claim(node, supersedes):
    return lambda identity: Claim("claim", identity, supersedes, node.daemon, (), 1)


def _ownership(fleet):
    fullest = max(fleet.nodes.values(), key=lambda n: (n.alive, n.replica.state.applied))
    return fullest.replica.state.ownership


class TestGrants:
    def test_grant_ends_by_the_reading_it_carries(self):
        async def steps(fleet):
            leader, server = fleet.leader, fleet.servers["poles-1"]
            held = dict(server.held)
            fleet.network.cut("poles-1", [vm for vm in fleet.listed if vm != leader.daemon.vm])
            leader.gate.freeze()
            sent = asyncio.create_task(leader.assigner._renewers["poles-1"]._renew())
            await asyncio.sleep(fleet.timings.grant_lease / 1000 + 0.5)
            leader.gate.thaw()
            with contextlib.suppress(ServerUnreachable):
                await sent
            await asyncio.sleep(0.1)
            # What the paused leader still sent has arrived, and has ended already.
            assert not any(server.owns(name) for name in held)

        assert scenario(steps).overlaps == []

    def test_leader_that_may_not_act_neither_grants_nor_revokes(self):
        async def steps(fleet):
            leader, server = fleet.leader, fleet.servers["poles-1"]
            renewer = leader.assigner._renewers["poles-1"]
            fleet.network.cut(leader.daemon.vm, list(fleet.listed))
            await fleet.wait_until(lambda: not leader.leadership.has_valid_lease())
            calls = []
            server.grant = lambda *given: calls.append(given) or frozenset()
            await renewer._renew()
            assert calls == []
            with pytest.raises(ServerUnreachable):
                await renewer.revoke({"all/0": 10**6})

        scenario(steps)

    def test_new_leader_waits_for_what_the_old_one_granted(self):
        async def steps(fleet):
            server = fleet.servers["poles-1"]
            lost = {name for name in server.held if server.owns(name)}
            fleet.network.cut("poles-1", list(fleet.listed))
            fleet.leader.kill()
            for name in lost:
                server.held[name].until += 10**9
            await fleet.wait_until(lambda: fleet.leader is not None)
            entitled = fleet.leader.leadership.active_from
            await fleet.wait_until(lambda: lost & (fleet.owned() - set(server.held)) or _moved(
                fleet, lost, "poles-1"))  # fmt: skip
            assert fleet.leader.clock.now() - entitled >= fleet.timings.grant_lease

        scenario(steps)

    def test_server_that_is_published_with_another_address_is_another_server(self):
        async def steps(fleet):
            old = fleet.servers["poles-1"]
            fleet.replaced.append(old)
            fleet.servers["poles-1"] = FakeServer("poles-1", fleet, 5_000_000)
            fleet.objects = with_address(fleet.objects, "poles-1", "127.0.2.99:7100")
            await asyncio.sleep(8)
            await fleet.settle()
            assert not any(old.owns(name) for name in partitions(fleet))

        assert scenario(steps).overlaps == []

    def test_withdrawn_server_gives_up_its_keys_also_under_a_new_leader(self):
        async def steps(fleet):
            fleet.objects = small_objects(servers=2)
            fleet.servers["poles-3"].gate.freeze()
            await fleet.wait_until(
                lambda: any(o.revoked for o in _ownership(fleet).values() if o.server == "poles-3")
            )
            for node in list(fleet.listed.values()):
                del fleet.listed[node.daemon.vm]
                node.kill()
            for number in range(3):
                fleet.start_node(f"new-{number}")
            await fleet.wait_until(lambda: fleet.leader is not None)
            await fleet.wait_until(lambda: "poles-3" not in _owners(fleet), 40)
            await fleet.settle()

        assert scenario(steps).overlaps == []

    def test_hot_key_keeps_to_one_server(self):
        async def steps(fleet):
            fleet.objects = with_hot_key(fleet.objects, "pole-1", "poles-3")
            await fleet.wait_until(lambda: any(
                p.endswith("key:pole-1") and o.server == "poles-3" and not o.revoked
                for p, o in _ownership(fleet).items()))  # fmt: skip
            fleet.objects = small_objects()
            await fleet.wait_until(lambda: not any("key:" in p for p in _ownership(fleet)))

        assert scenario(steps).overlaps == []


def _moved(fleet, names, server):
    return any(o.server != server for p, o in _ownership(fleet).items() if p in names)


def with_address(objects, name, address):
    documents = [
        document | ({"address": address} if document["name"] == name else {})
        for document in objects.to_documents()
    ]
    return check_documents(documents).objects


class TestHold:
    """Longer grants while the log is down, told to the voters before they are given."""

    def test_leader_lost_in_an_outage_leaves_owners_in_place(self):
        async def steps(fleet):
            fleet.log.down = True
            await asyncio.sleep(6)
            fleet.leader.kill()
            assert await unowned_time(fleet, 10) < 0.1
            fleet.log.down = False
            assert await unowned_time(fleet, 20) < SERVED_AGAIN_S

        assert scenario(steps).overlaps == []

    def test_next_leader_waits_for_a_hold_that_it_was_told_of(self):
        async def steps(fleet):
            fleet.log.down = True
            await asyncio.sleep(6)
            fleet.network.cut("poles-1", list(fleet.listed))
            fleet.leader.kill()
            fleet.log.down = False
            await fleet.wait_until(lambda: fleet.leader is not None)
            # The cut-off server owns its partitions until the hold ends; nobody else may.
            assert await unowned_time(fleet, 12) < 0.1
            await fleet.wait_until(lambda: "poles-1" not in _owners(fleet), 30)

        assert scenario(steps).overlaps == []

    def test_every_voter_is_told_before_a_longer_grant(self):
        async def steps(fleet):
            leader = fleet.leader.leadership
            assert leader.choose_grant_lease() == fleet.timings.grant_lease
            fleet.log.down = True
            await fleet.wait_until(lambda: leader.choose_grant_lease() > fleet.timings.grant_lease)
            voters = [n for n in fleet.nodes.values() if n.daemon in leader._state.voters]
            told = [n.voter.support("shard", leader.term).hold for n in voters]
            assert len(told) == 3 and min(told) >= fleet.timings.hold_lease

        scenario(steps)

    def test_no_longer_grant_while_a_voter_does_not_know(self):
        async def steps(fleet):
            leader = fleet.leader
            silent = next(n for n in fleet.nodes.values() if n is not leader)
            silent.gate.freeze()
            fleet.log.down = True
            for _ in range(1_000):
                assert leader.leadership.choose_grant_lease() == fleet.timings.grant_lease
                await asyncio.sleep(0.01)

        scenario(steps)

    def test_pause_of_a_daemon_is_no_outage_of_the_log(self):
        async def steps(fleet):
            leader = fleet.leader
            leader.replica.read_at -= 10_000
            assert leader.leadership._grant_duration_to_announce() == 0

        scenario(steps)

    def test_takeover_from_few_voters_inherits_no_hold_that_nobody_gave(self):
        async def steps(fleet):
            gone, frozen, left = sorted(fleet.nodes.values(), key=lambda n: n is not fleet.leader)
            frozen.gate.freeze()
            gone.kill()
            del fleet.listed[gone.daemon.vm]
            fleet.version += 1
            await fleet.wait_until(lambda: left.leadership._active_term == left.leadership.term)
            inherited = left.leadership.earlier_grants_expire_at - left.leadership.active_from
            assert inherited == drift_upper_bound(fleet.timings.grant_lease)

        scenario(steps)

    def test_new_voters_are_told_before_they_are_recorded(self):
        async def steps(fleet):
            leader, head = fleet.leader.leadership, fleet.log.head("shard")
            leader._proposed_voters = tuple(
                Daemon(f"lost-{n}", f"lost-{n}.0", "x", "lost", 1) for n in range(3)
            )
            await leader._maintain_voters()
            assert fleet.log.head("shard") == head

        scenario(steps)


def _owners(fleet):
    return {owner.server for owner in _ownership(fleet).values()}


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(30))
    def test_never_two_owners(self, seed):
        async def steps(fleet):
            rng = random.Random(seed)
            fleet.log.lose_answers = rng.choice((0, 0.3))
            fleet.log.late = rng.choice((0, 0.2))
            fleet.late_calls = rng.choice((0, 0.05))
            for _ in range(14):
                undo = _fault(fleet, rng)
                await asyncio.sleep(rng.choice((rng.uniform(0.2, 3), rng.uniform(3, 9))))
                undo()
                await asyncio.sleep(rng.uniform(0, 1.5))
            fleet.log.lose_answers = fleet.log.late = fleet.late_calls = 0
            await fleet.settle()

        assert scenario(steps, seed, nodes=rng_nodes(seed)).overlaps == []


def rng_nodes(seed):
    return 3 + 2 * (seed % 2)


def _fault(fleet, rng):
    """Begin one fault and return what ends it."""
    node = rng.choice([n for n in fleet.nodes.values() if n.alive])
    target = fleet.leader if fleet.leader and rng.random() < 0.5 else node
    server = rng.choice(list(fleet.servers.values()))
    kind = rng.choice(
        ("freeze", "kill", "cut", "half", "log", "server", "restart", "freeze-server")
    )
    if kind == "freeze":
        target.gate.freeze()
        return target.gate.thaw
    if kind == "kill":
        target.kill()
        return lambda: fleet.start_node(target.daemon.vm)
    if kind in ("cut", "half"):
        ends = [*fleet.listed, *fleet.servers, "log"]
        chosen = ends if kind == "cut" else rng.sample(ends, len(ends) // 2)
        fleet.network.cut(target.daemon.vm, chosen)
        return fleet.network.heal
    if kind == "log":
        fleet.log.down = True
        return lambda: setattr(fleet.log, "down", False)
    if kind == "restart":
        server.restart()
        return lambda: None
    if kind == "freeze-server":
        server.gate.freeze()
        return server.gate.thaw
    server.alive = False
    return lambda: setattr(server, "alive", True)
