"""Tests of object sets and settings: validation, and the mapping of keys to partitions."""

from __future__ import annotations

import hashlib
import pathlib
import subprocess
import sys

import pytest

from fuchsiatrack.kernel import documents
from fuchsiatrack.kernel.settings import load_settings
from fuchsiatrack.model.check import check_documents, check_paths, check_succession
from fuchsiatrack.model.objectset import slot_of

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def small_set() -> list[dict]:
    token = hashlib.sha256(b"token-of-crew").hexdigest()
    return [
        {"kind": "FailureDomain", "name": "a"},
        {"kind": "Service", "name": "poles", "keyed": True},
        {"kind": "Placement", "name": "spread", "service": "poles"},
        {"kind": "KeyRange", "name": "all", "service": "poles", "placement": "spread"},
        {"kind": "Caller", "name": "crew", "token_sha256": token, "services": ["poles"]},
        {
            "kind": "Limit",
            "name": "crew-poles",
            "caller": "crew",
            "service": "poles",
            "requests_per_second": 10.0,
        },
        {
            "kind": "BackendServer",
            "name": "poles-1",
            "service": "poles",
            "failure_domain": "a",
            "address": "127.0.2.1:7100",
        },
    ]


class TestCheck:
    def test_examples_have_no_fault(self):
        for name in ("mist-poles", "shell-grit"):
            assert check_paths([EXAMPLES / name]).findings == ()

    def test_small_set_has_no_fault(self):
        assert check_documents(small_set()).findings == ()

    @pytest.mark.parametrize(
        ("index", "change", "field"),
        [
            (3, {"service": "none"}, "service"),
            (3, {"first": "b"}, "first"),
            (3, {"last": "b"}, "last"),
            (4, {"services": []}, "services"),
            (4, {"services": ["none"]}, "services"),
            (5, {"caller": "none"}, "caller"),
            (2, {"min_servers": 2}, "min_servers"),
            (2, {"policy": "none"}, "policy"),
            (2, {"hot_keys": [{"key": "k", "server": "none"}]}, "hot_keys"),
            (6, {"failure_domain": "none"}, "failure_domain"),
            (6, {"address": "localhost:1"}, "address"),
            (6, {"slots": "4"}, "slots"),
            (1, {"typo": 1}, "typo"),
            (1, {"keyed": False}, "keyed"),
        ],
    )
    def test_finding_names_object_and_field(self, index, change, field):
        broken = small_set()
        broken[index] |= change
        findings = check_documents(broken).findings
        object_name = f"{broken[index]['kind']} {broken[index]['name']}"
        assert any(f.object == object_name and f.field == field for f in findings)

    def test_reports_all_faults_at_once(self):
        broken = small_set()
        broken[3]["service"] = "none"
        broken[5]["caller"] = "none"
        assert {"KeyRange all", "Limit crew-poles"} <= {
            f.object for f in check_documents(broken).findings
        }

    def test_duplicate_names_and_overlapping_ranges_are_reported(self):
        broken = [*small_set(), small_set()[0], {**small_set()[3], "name": "other"}]
        reasons = " ".join(f.why for f in check_documents(broken).findings)
        assert "is also defined" in reasons and "overlaps" in reasons

    @pytest.mark.parametrize(
        ("change", "allowed"),
        [
            ({"checks_grants": False}, False),
            ({"address": "127.0.2.9:7100"}, True),
            ({"slots": 8}, True),
        ],
    )
    def test_published_server_keeps_its_identity(self, change, allowed):
        changed = small_set()
        changed[6] |= change
        old, new = (check_documents(d).objects for d in (small_set(), changed))
        assert (check_succession(old, new) == ()) is allowed

    def test_published_key_ranges_cannot_change(self):
        changed = small_set()
        changed[3]["slots"] = 8
        old, new = (check_documents(d).objects for d in (small_set(), changed))
        assert check_succession(old, old) == ()
        assert check_succession(old, new)


class TestHostileYaml:
    @pytest.mark.parametrize(
        "data",
        [
            b"a: &a [1]\nb: [*a, *a]",
            b"x" * (documents.MAX_FILE_BYTES + 1),
            b"\xff\xfe\x00",
            b"[" * 5_000,
            b"a: 1\na: 2",
            b"!!python/object/apply:os.system ['true']",
            b"{unclosed",
        ],
    )
    def test_is_refused_with_a_reason(self, data):
        assert documents.parse_documents(data).is_error()

    def test_dates_and_nulls_do_not_break_the_check(self):
        found = documents.parse_documents(b"kind: Service\nname: 2020-01-01\nkeyed: null").ok
        assert check_documents(found).findings


class TestSettings:
    GOOD = """
vm: entry-1
failure_domain: cork
incarnation: "1"
listen: {address: 127.0.0.1}
platform: {log_url: "http://127.0.0.1:7000", vm_list_url: "http://127.0.0.1:7000"}
"""

    @pytest.mark.parametrize(
        ("extra", "field"),
        [
            ("typo: 1", "typo"),
            ("snapshot_records: many", "snapshot_records"),
            ("timings: {grant_lease: 100}", "timings.grant_period"),
            ("requests: {max_body: -1}", "requests.max_body"),
            ("statsd: {address: somewhere}", "statsd.address"),
        ],
    )
    def test_fault_names_file_field_and_value(self, tmp_path, extra, field):
        path = tmp_path / "daemon.yaml"
        path.write_text(self.GOOD + extra)
        lines = load_settings(path).error
        assert all(str(path) in line and "got" in line for line in lines)
        assert any(f"{field}: " in line for line in lines)

    def test_daemon_refuses_bad_settings_before_a_port_opens(self, tmp_path):
        path = tmp_path / "daemon.yaml"
        path.write_text(self.GOOD.replace("vm_list_url", "log: other, vm_list_url"))
        command = [sys.executable, "-m", "fuchsiatrack.daemon.main", f"--settings={path}"]
        completed = subprocess.run(command, capture_output=True, text=True)
        assert completed.returncode == 2
        assert str(path) in completed.stderr and "platform.log" in completed.stderr

    def test_good_settings_load(self, tmp_path):
        path = tmp_path / "daemon.yaml"
        path.write_text(self.GOOD)
        assert load_settings(path).ok.listen.caller_port == 8080


class TestPartitions:
    def test_every_key_has_one_range_and_slot(self):
        objects = check_paths([EXAMPLES / "mist-poles"]).objects
        for key in ("", "a", "n", "mzzz", "zz", "\u00e9", "A"):
            key_range = objects.range_of("poles", key)
            assert slot_of(key_range, key) in objects.partitions("poles")
