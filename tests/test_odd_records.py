"""Records that another writer left: each is ignored, and its readers go on."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
from collections.abc import Callable, Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiatrack.control.compactedlog import CompactedRecord
from fuchsiatrack.kernel.fields import NAME_MAX_CHARACTERS
from fuchsiatrack.peers.loadreports import LoadReport, ReportAck, TermEndNotice
from fuchsiatrack.peers.ownershipupdates import OwnershipChangeNotice, OwnershipUpdate
from fuchsiatrack.peers.permitmessages import PermitRequest, PermitResponse, RetryPermitRequest
from fuchsiatrack.platform import decoders
from fuchsiatrack.plugins.httpvmlist import HttpVMList
from fuchsiatrack.ranges.ownership import OwnershipMap
from fuchsiatrack.ranges.records import Term
from tests.fleet import Fleet, configuration, route, run_fleet

SERVER_ENTRY = {
    "Address": "127.0.0.1:9",
    "born": 1_700_000_000_000,
    "Info": {"Service": "catalogue", "Version": "v1", "Zone": "a", "Slots": 4},
    "Status": {"State": "ready", "Sequence": 1, "ColdRemaining": "0ms"},
}
DEEP = json.loads("[" * 400 + "]" * 400)
# JSON values that no field can have.
ODD_VALUES: dict[str, object] = {
    "null": None,
    "list": [],
    "object": {"a": 1},
    "deep": DEEP,
    "true": True,
    "negative": -1,
    "float": 1.5,
    "huge": 10**400,
    "infinite": float("inf"),
    "nan": float("nan"),
    "empty": "",
    "control": "a\r\nX-Injected: 1",
    "surrogate": "\ud800",
    "long": "x" * 10_000,
    "huge-time": "9" * 400 + "s",
    "other-digits": "١ms",
    "no-port": "127.0.0.1",
    "port-0": "127.0.0.1:0",
    "port-65536": "127.0.0.1:65536",
    "port-huge": "127.0.0.1:" + "9" * 30,
    "port-other-digits": "127.0.0.1:8²",
    "host-name": "localhost:80",
    "host-unspecified": "0.0.0.0:80",
    "host-multicast": "224.0.0.1:80",
}
ENTRY_FIELDS = (
    "Address",
    "born",
    "Info",
    "Info.Service",
    "Info.Zone",
    "Info.Slots",
    "Status",
    "Status.State",
    "Status.ColdRemaining",
)
ODD_BYTES = {
    "deep": b"[" * 100_000 + b"]" * 100_000,
    "deep-objects": b'{"a":' * 100_000,
    "many-digits": b'{"born":' + b"9" * 10_000 + b"}",
    "not-utf-8": b"\xff\xfe\x00",
    "empty-text": b'""',
    "nothing": b" ",
}
ODD_KEYS = {"control": "a\r\nX-Injected: 1", "replaced": "\ufffd", "space": "a b", "empty": ""}


# A service or failure domain may have any name.
ALLOWED = {
    (path, name)
    for path in ("Info.Service", "Info.Zone")
    for name, value in ODD_VALUES.items()
    if isinstance(value, str)
    and name not in ("empty", "control", "surrogate")
    and len(value) <= NAME_MAX_CHARACTERS
}


def replace_field(body: dict, path: str, value: object) -> dict:
    """Return a copy of *body* in which the field at the dotted *path* is *value*."""
    replaced = copy.deepcopy(body)
    table = replaced
    *tables, name = path.split(".")
    for item in tables:
        table = table[item]
    table[name] = value
    return replaced


def field_paths(body: object, path: tuple = ()) -> Iterator[tuple]:
    """Yield the path of each value inside *body*."""
    items = body.items() if isinstance(body, dict) else enumerate(body)
    for name, value in items:
        yield (*path, name)
        if isinstance(value, dict | list):
            yield from field_paths(value, (*path, name))


def set_path(body: object, path: tuple, value: object) -> object:
    """Return a copy of *body* with *value* at *path*."""
    replaced = copy.deepcopy(body)
    table = replaced
    for name in path[:-1]:
        table = table[name]
    table[path[-1]] = value
    return replaced


def record_of(value: bytes, key: str = "odd") -> CompactedRecord:
    """Return a record with *value*."""
    return CompactedRecord(key, value, 1)


def odd_entries() -> dict[str, bytes]:
    """Return server entries with one odd field each, and other odd records, by key."""
    entries = {
        f"odd-{path}-{name}": json.dumps(replace_field(SERVER_ENTRY, path, value)).encode()
        for path in ENTRY_FIELDS
        for name, value in ODD_VALUES.items()
        if (path, name) not in ALLOWED
    }
    entries |= {f"odd-bytes-{name}": value for name, value in ODD_BYTES.items()}
    valid = json.dumps(SERVER_ENTRY).encode()
    return entries | dict.fromkeys(ODD_KEYS.values(), valid)


class TestServerEntries:
    """An odd entry names no server, and the decoder says what is odd about it."""

    @pytest.mark.parametrize("name", ODD_VALUES)
    @pytest.mark.parametrize("path", ENTRY_FIELDS)
    def test_odd_field_is_rejected_with_its_name(self, path: str, name: str):
        body = json.dumps(replace_field(SERVER_ENTRY, path, ODD_VALUES[name])).encode()
        if (path, name) in ALLOWED:
            assert decoders.decode_server(record_of(body))
            return
        with pytest.raises(ValueError) as caught:
            decoders.decode_server(record_of(body))
        assert len(str(caught.value)) < 300

    @pytest.mark.parametrize("value", ODD_BYTES.values(), ids=ODD_BYTES)
    def test_odd_bytes_are_rejected(self, value: bytes):
        with pytest.raises(ValueError):
            decoders.decode_server(record_of(value))

    @pytest.mark.parametrize("key", ODD_KEYS.values(), ids=ODD_KEYS)
    def test_odd_key_is_rejected(self, key: str):
        """A key is sent in a header of each request to its server."""
        with pytest.raises(ValueError):
            decoders.decode_server(record_of(json.dumps(SERVER_ENTRY).encode(), key))


MESSAGES: dict[str, tuple[Callable, object]] = {
    "server": (lambda data: decoders.decode_server(record_of(data)), SERVER_ENTRY),
    "configuration": (
        lambda data: decoders.decode_configuration(record_of(data, "config")),
        configuration(
            1,
            [
                route("a", "/a/", "safe", "a"),
                {
                    **route("b", "/b/", "safe", "a"),
                    "TrafficSplit": [{"Service": "a", "Weight": 1.0}],
                },
            ],
        ),
    ),
    "term": (Term.decode, json.loads(Term(1, "a", "b", "127.0.0.1:1").encode())),
    "map": (
        OwnershipMap.decode,
        {"fence": 2, "revision": 1, "ranges": [[0, 65_535, "s", 1, 2, "", "", 0, 0]]},
    ),
    "report": (LoadReport.decode, json.loads(LoadReport("a", "b", 1, "s", {1: 2}).encode())),
    "uncounted report": (
        LoadReport.decode,
        json.loads(LoadReport("a", "b", 1, uncounted=True).encode()),
    ),
    "ack": (ReportAck.decode, json.loads(ReportAck(1, 2, False, {"a": 1}, {"b": 2}).encode())),
    "settled ack": (ReportAck.decode, json.loads(ReportAck(1, 2, settled=True).encode())),
    "term end": (TermEndNotice.decode, {"ended_term": 1, "long_for": 2}),
    "update": (OwnershipUpdate.decode, {"update_term": 1, "service": "s", "revision": 1}),
    "change": (OwnershipChangeNotice.decode, {"change_term": 1, "service": "s", "base": 1}),
    "permit request": (
        PermitRequest.decode,
        {"permit_request": 1, "max_delay": 2, "limits": [["s", 1, 2.0, 3]], "priority": 0},
    ),
    "retry request": (RetryPermitRequest.decode, {"retry_request": 1, "service": "s"}),
    "permit response": (PermitResponse.decode, {"permit_response": 1, "granted": True, "delay": 0}),
}
json_values = st.recursive(
    st.sampled_from(list(ODD_VALUES.values())) | st.integers() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


class TestDecoders:
    """Whatever a record or datagram holds, its decoder raises nothing but ValueError."""

    @pytest.mark.parametrize("name", MESSAGES)
    @given(data=st.data())
    @settings(max_examples=150, deadline=None)
    def test_one_odd_value_raises_nothing_but_value_error(self, name: str, data):
        decode, body = MESSAGES[name]
        path = data.draw(st.sampled_from(list(field_paths(body))))
        odd = json.dumps(set_path(body, path, data.draw(json_values))).encode()
        with contextlib.suppress(ValueError):
            decode(odd)

    @pytest.mark.parametrize("value", ODD_BYTES.values(), ids=ODD_BYTES)
    @pytest.mark.parametrize("name", MESSAGES)
    def test_odd_bytes_raise_nothing_but_value_error(self, name: str, value: bytes):
        decode, _ = MESSAGES[name]
        with contextlib.suppress(ValueError):
            decode(value)

    @pytest.mark.parametrize("name", MESSAGES)
    @given(value=st.binary(max_size=200))
    @settings(max_examples=50, deadline=None)
    def test_any_bytes_raise_nothing_but_value_error(self, name: str, value: bytes):
        decode, _ = MESSAGES[name]
        with contextlib.suppress(ValueError):
            decode(value)


@pytest.fixture
async def fleet():
    """Yield a keyed service and one without keys, with servers but without daemons."""
    async with run_fleet() as running:
        routes = [
            route("stock", "/stock/", "safe", "stock"),
            route("reads", "/reads/", "safe", "catalogue"),
        ]
        running.publish(1, routes, sharded=("stock",))
        for index in range(2):
            await running.add_server(f"stock-{index}", "stock", keyed=True)
            await running.add_server(f"catalogue-{index}", "catalogue")
        yield running


def put_odd_entries(fleet: Fleet, service: str) -> None:
    """Write all odd entries as another writer would, for servers of *service*."""
    for key, value in odd_entries().items():
        fleet.log_service.put_bytes(
            "keyed.servers", key, value.replace(b'"catalogue"', json.dumps(service).encode())
        )


async def check_serves(fleet: Fleet) -> None:
    """Check that all daemons run, serve, and still follow the list of servers."""
    for vm, daemon in fleet.daemons.items():
        assert not daemon._stop.is_set()
        assert not [task for task in daemon._tasks if task.done()]
        for key in range(0, 65_536, 9_000):
            assert (await fleet.call("/stock/", vm, key=key))[0] == 200
        for _ in range(5):
            assert (await fleet.call("/reads/", vm))[0] == 200
    joined = await fleet.add_server(f"catalogue-{len(fleet.servers)}", "catalogue")
    await asyncio.sleep(0.8)
    for daemon in fleet.daemons.values():
        assert joined.id in daemon._directory.entries


@pytest.mark.parametrize("service", ["stock", "catalogue"])
class TestDaemonsBesideOddEntries:
    """Daemons go on serving, granting and following the list."""

    async def test_daemons_that_run_go_on(self, fleet: Fleet, service: str):
        for index in range(2):
            await fleet.add_daemon(f"entry-{index}")
        await fleet.wait_ready()
        put_odd_entries(fleet, service)
        await asyncio.sleep(1.5)
        await check_serves(fleet)

    async def test_daemons_that_start_serve(self, fleet: Fleet, service: str):
        put_odd_entries(fleet, service)
        for index in range(2):
            await fleet.add_daemon(f"entry-{index}")
        await fleet.wait_ready()
        await asyncio.sleep(1.5)
        await check_serves(fleet)

    async def test_odd_entry_under_the_id_of_a_server_changes_nothing(
        self, fleet: Fleet, service: str
    ):
        await fleet.add_daemon("entry-0")
        await fleet.wait_ready()
        for value in (*ODD_BYTES.values(), b'{"Address":"127.0.0.1:99999"}'):
            fleet.log_service.put_bytes("keyed.servers", f"{service}-0", value)
        fleet.log_service.expire_records("keyed.servers")
        await asyncio.sleep(0.8)
        daemon = fleet.daemons["entry-0"]
        assert f"{service}-0" in daemon._directory.entries
        await check_serves(fleet)


class TestOddVMs:
    """One odd entry of the VM list hides no other VM, and no VM that was known."""

    VM = {
        "name": "vm-1",
        "address": "127.0.0.1",
        "state": "live",
        "role": "daemon",
        "failure_domain": "a",
        "peer_port": 7_000,
        "operator_port": 7_001,
    }

    @pytest.mark.parametrize("field", VM)
    @pytest.mark.parametrize("name", ["null", "list", "deep", "negative", "huge", "infinite"])
    def test_odd_entry_is_left_out(self, field: str, name: str):
        odd = {**self.VM, "name": "vm-2", field: ODD_VALUES[name]}
        vms = HttpVMList("http://127.0.0.1:9", 100).decode({"version": 1, "vms": [odd, self.VM]})
        assert [vm.name for vm in vms.vms] == ["vm-1"]

    def test_known_vm_keeps_its_entry(self):
        """A VM that isn't listed counts as ended, which frees what it held."""
        vm_list = HttpVMList("http://127.0.0.1:9", 100)
        known = vm_list.decode({"version": 1, "vms": [self.VM]})
        odd = {**self.VM, "peer_port": 10**400}
        assert vm_list.decode({"version": 2, "vms": [odd]}).vms == known.vms

    def test_unknown_fields_are_ignored(self):
        vm_list = HttpVMList("http://127.0.0.1:9", 100)
        assert vm_list.decode({"version": 1, "vms": [{**self.VM, "colour": "red"}]}).vms
