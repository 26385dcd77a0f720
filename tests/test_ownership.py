"""Ownership under faults, on virtual time: at most one owner, and a bounded time without one."""

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

MAX_UNOWNED_S = 3.0


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
    """Run *steps* on a fleet in which all partitions are owned, and return the fleet."""

    async def run():
        fleet = Fleet(small_objects(), nodes, seed)
        try:
            await fleet.wait_all_owned()
            await steps(fleet)
        finally:
            fleet.close()
        return fleet

    return run_virtual(run())


def partitions(fleet):
    return set(fleet.objects.partitions(fleet.service))


async def longest_unowned_time(fleet, seconds):
    """Return the longest time without an owner of any partition within *seconds* seconds."""
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
            assert await longest_unowned_time(fleet, 6) < MAX_UNOWNED_S

        assert scenario(steps).overlaps == []

    def test_lost_leader_is_replaced_in_time(self):
        async def steps(fleet):
            fleet.leader.kill()
            assert await longest_unowned_time(fleet, 6) < MAX_UNOWNED_S
            assert fleet.leader

        assert scenario(steps).overlaps == []

    def test_log_outage_makes_no_key_unavailable(self):
        async def steps(fleet):
            fleet.log.down = True
            assert await longest_unowned_time(fleet, 60) < 0.1

        assert scenario(steps).overlaps == []

    def test_resumed_server_owns_nothing(self):
        async def steps(fleet):
            server = fleet.servers["poles-1"]
            owned_before = {name for name in server.held if server.owns(name)}
            server.run_state.suspend()
            await asyncio.sleep(6)
            server.run_state.resume()
            assert not {name for name in owned_before if server.owns(name)}
            await fleet.wait_all_owned()

        assert scenario(steps).overlaps == []

    def test_restarted_server_is_granted_anew(self):
        async def steps(fleet):
            fleet.servers["poles-1"].restart()
            assert await longest_unowned_time(fleet, 5) < MAX_UNOWNED_S

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

    def test_minority_cannot_act(self):
        async def steps(fleet):
            lone = next(n for n in fleet.nodes.values() if n is not fleet.leader)
            fleet.network.cut(lone.daemon.vm, list(fleet.listed))
            for _ in range(500):
                assert not lone.leadership.has_valid_lease()
                await asyncio.sleep(0.01)

        scenario(steps)

    def test_lease_counts_from_before_the_request(self):
        async def steps(fleet):
            leader = fleet.leader
            fleet.network.delay = (0.1, 0.1)
            await asyncio.sleep(2)
            for _ in range(100):
                remaining = leader.leadership._lease_expires_at - leader.clock.now()
                # A round trip takes 200 ms at the delay set above.
                assert remaining <= fleet.timings.support_lease - 190
                await asyncio.sleep(0.01)

        scenario(steps)

    def test_takeover_waits_until_earlier_support_expires(self):
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

    def test_resigned_leader_stops_acting_even_if_the_record_is_late(self):
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
                assert await longest_unowned_time(fleet, 6) < MAX_UNOWNED_S
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
            await fleet.wait_all_owned()
            assert {p: o.server for p, o in _ownership(fleet).items()} == owners

        assert scenario(steps).overlaps == []


def _claim(node, supersedes):
    return lambda record_id: Claim("claim", record_id, supersedes, node.daemon, (), 1)


def _ownership(fleet):
    most_advanced = max(fleet.nodes.values(), key=lambda n: (n.alive, n.replica.state.applied))
    return most_advanced.replica.state.ownership


class TestGrants:
    def test_grant_expires_by_the_reading_it_carries(self):
        async def steps(fleet):
            leader, server = fleet.leader, fleet.servers["poles-1"]
            held = dict(server.held)
            fleet.network.cut("poles-1", [vm for vm in fleet.listed if vm != leader.daemon.vm])
            leader.run_state.suspend()
            sent = asyncio.create_task(leader.assigner._renewers["poles-1"]._renew())
            await asyncio.sleep(fleet.timings.grant_lease / 1000 + 0.5)
            leader.run_state.resume()
            with contextlib.suppress(ServerUnreachable):
                await sent
            await asyncio.sleep(0.1)
            # The grant that the suspended leader sent has arrived after its expiry.
            assert not any(server.owns(name) for name in held)

        assert scenario(steps).overlaps == []

    def test_leader_without_valid_lease_neither_grants_nor_revokes(self):
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

    def test_new_leader_waits_until_earlier_grants_expire(self):
        async def steps(fleet):
            server = fleet.servers["poles-1"]
            owned_before = {name for name in server.held if server.owns(name)}
            fleet.network.cut("poles-1", list(fleet.listed))
            fleet.leader.kill()
            # The server would keep its partitions until long after the test, so that only the
            # leader's own wait lets them move.
            for name in owned_before:
                server.held[name].expires_at += 10**9
            await fleet.wait_until(lambda: fleet.leader is not None)
            active_from = fleet.leader.leadership.active_from
            await fleet.wait_until(
                lambda: owned_before & (fleet.owned() - set(server.held))
                or _moved(fleet, owned_before, "poles-1")
            )
            assert fleet.leader.clock.now() - active_from >= fleet.timings.grant_lease

        scenario(steps)

    def test_server_with_changed_address_is_a_different_server(self):
        async def steps(fleet):
            old = fleet.servers["poles-1"]
            fleet.replaced.append(old)
            fleet.servers["poles-1"] = FakeServer("poles-1", fleet, 5_000_000)
            fleet.objects = with_address(fleet.objects, "poles-1", "127.0.2.99:7100")
            await asyncio.sleep(8)
            await fleet.wait_all_owned()
            assert not any(old.owns(name) for name in partitions(fleet))

        assert scenario(steps).overlaps == []

    def test_removed_server_releases_its_keys_under_a_new_leader(self):
        async def steps(fleet):
            fleet.objects = small_objects(servers=2)
            fleet.servers["poles-3"].run_state.suspend()
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
            await fleet.wait_all_owned()

        assert scenario(steps).overlaps == []

    def test_hot_key_never_has_two_owners(self):
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


class TestExtendedGrants:
    """Extended grants while the log is down, which every voter records before they are given."""

    def test_leader_lost_in_an_outage_leaves_owners_in_place(self):
        async def steps(fleet):
            fleet.log.down = True
            await asyncio.sleep(6)
            fleet.leader.kill()
            assert await longest_unowned_time(fleet, 10) < 0.1
            fleet.log.down = False
            assert await longest_unowned_time(fleet, 20) < MAX_UNOWNED_S

        assert scenario(steps).overlaps == []

    def test_next_leader_waits_until_extended_grants_expire(self):
        async def steps(fleet):
            fleet.log.down = True
            await asyncio.sleep(6)
            fleet.network.cut("poles-1", list(fleet.listed))
            fleet.leader.kill()
            fleet.log.down = False
            await fleet.wait_until(lambda: fleet.leader is not None)
            # The unreachable server owns its partitions until its extended grants expire.
            assert await longest_unowned_time(fleet, 12) < 0.1
            await fleet.wait_until(lambda: "poles-1" not in _owners(fleet), 30)

        assert scenario(steps).overlaps == []

    def test_every_voter_records_the_duration_before_an_extended_grant(self):
        async def steps(fleet):
            leader = fleet.leader.leadership
            assert leader.choose_grant_lease() == fleet.timings.grant_lease
            fleet.log.down = True
            await fleet.wait_until(lambda: leader.choose_grant_lease() > fleet.timings.grant_lease)
            voters = [n for n in fleet.nodes.values() if n.daemon in leader._state.voters]
            announced = [n.voter.support("shard", leader.term).grants_remaining for n in voters]
            assert len(announced) == 3 and min(announced) >= fleet.timings.hold_lease

        scenario(steps)

    def test_no_extended_grant_while_a_voter_is_unresponsive(self):
        async def steps(fleet):
            leader = fleet.leader
            unresponsive = next(n for n in fleet.nodes.values() if n is not leader)
            unresponsive.run_state.suspend()
            fleet.log.down = True
            for _ in range(1_000):
                assert leader.leadership.choose_grant_lease() == fleet.timings.grant_lease
                await asyncio.sleep(0.01)

        scenario(steps)

    def test_old_read_time_alone_extends_no_grant(self):
        """Time without reads, as while paused, is no log outage; only failed reads count."""

        async def steps(fleet):
            leader = fleet.leader
            leader.replica.read_at -= 10_000
            assert leader.leadership._grant_duration_to_announce() == 0

        scenario(steps)

    def test_takeover_with_few_voters_inherits_no_extended_grants(self):
        async def steps(fleet):
            ended, suspended, remaining = sorted(
                fleet.nodes.values(), key=lambda n: n is not fleet.leader
            )
            suspended.run_state.suspend()
            ended.kill()
            del fleet.listed[ended.daemon.vm]
            fleet.version += 1
            await fleet.wait_until(
                lambda: remaining.leadership._active_term == remaining.leadership.term
            )
            inherited = (
                remaining.leadership.earlier_grants_expire_at - remaining.leadership.active_from
            )
            assert inherited == drift_upper_bound(fleet.timings.grant_lease)

        scenario(steps)

    def test_new_voters_acknowledge_before_they_are_recorded(self):
        async def steps(fleet):
            leader, end = fleet.leader.leadership, fleet.log.end_offset("shard")
            leader._proposed_voters = tuple(
                Daemon(f"lost-{n}", f"lost-{n}.0", "x", "lost", 1) for n in range(3)
            )
            await leader._maintain_voters()
            assert fleet.log.end_offset("shard") == end

        scenario(steps)


def _owners(fleet):
    return {owner.server for owner in _ownership(fleet).values()}


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(30))
    def test_never_two_owners(self, seed):
        async def steps(fleet):
            rng = random.Random(seed)
            fleet.log.response_loss_rate = rng.choice((0, 0.3))
            fleet.log.late_append_rate = rng.choice((0, 0.2))
            fleet.late_call_rate = rng.choice((0, 0.05))
            for _ in range(14):
                undo = _fault(fleet, rng)
                await asyncio.sleep(rng.choice((rng.uniform(0.2, 3), rng.uniform(3, 9))))
                undo()
                await asyncio.sleep(rng.uniform(0, 1.5))
            fleet.log.response_loss_rate = fleet.log.late_append_rate = fleet.late_call_rate = 0
            await fleet.wait_all_owned()

        assert scenario(steps, seed, nodes=node_count(seed)).overlaps == []


def node_count(seed):
    return 3 + 2 * (seed % 2)


def _fault(fleet, rng):
    """Inject one random fault and return a function that ends it."""
    node = rng.choice([n for n in fleet.nodes.values() if n.alive])
    target = fleet.leader if fleet.leader and rng.random() < 0.5 else node
    server = rng.choice(list(fleet.servers.values()))
    kind = rng.choice(
        ("freeze", "kill", "cut", "half", "log", "server", "restart", "freeze-server")
    )
    if kind == "freeze":
        target.run_state.suspend()
        return target.run_state.resume
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
        server.run_state.suspend()
        return server.run_state.resume
    server.alive = False
    return lambda: setattr(server, "alive", True)
