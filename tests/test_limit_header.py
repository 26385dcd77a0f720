"""The header in which a backend server names its limit."""

from __future__ import annotations

import json

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from fuchsiatrack.directory.servers import ServerIncarnation
from fuchsiatrack.gateway.headers import ReportedLimit
from fuchsiatrack.limits.registry import (
    END_MEMORY_MS,
    RATE_MIN_PER_S,
    UNLISTED_MEMORY_MS,
    LimitNotice,
    LimitRegistry,
)
from fuchsiatrack.peers.permitmessages import decode_notices, encode_notices
from fuchsiatrack.platform.headers import PlatformHeaderCodec

SERVER = ServerIncarnation("s1", 1)


def _parse(*values: str, signed: bool = True) -> ReportedLimit | None:
    headers = CIMultiDict({"X-Gateway-Stamp": "s"} if signed else {})
    headers.extend([("Server-Limit", value) for value in values])
    return PlatformHeaderCodec().parse_response(200, CIMultiDictProxy(headers)).limit


class TestLimitHeader:
    """What a response states about the limit of its server."""

    @pytest.mark.parametrize(
        ("value", "rate"),
        [("8.8", 8.8), ("12", 12.0), ("0.25", 0.25), ("7.6000000000000005", 7.6000000000000005)],
    )
    def test_decimal_number_is_the_limit(self, value: str, rate: float):
        assert _parse(value) == ReportedLimit(rate)
        assert _parse(value, signed=False) == ReportedLimit(rate)

    @pytest.mark.parametrize(
        "value", ["", "-1", "+1", "nan", "inf", "1e3", "8,5", "0x10", "1.", "٣", "9" * 400, "1 2"]
    )
    def test_malformed_value_states_nothing(self, value: str):
        assert _parse(value) is None

    def test_several_values_state_nothing(self):
        assert _parse("1", "2") is None

    def test_only_a_signed_response_without_the_header_states_no_limit(self):
        assert _parse() == ReportedLimit(None)
        assert _parse(signed=False) is None


class TestLimitNotices:
    """Limits in the datagrams of other daemons."""

    def test_notices_are_decoded_as_they_were_encoded(self):
        notices = (LimitNotice(SERVER, 8.8, 5), LimitNotice(SERVER, None, 0))
        assert decode_notices(json.loads(json.dumps(encode_notices(notices)))) == notices

    @pytest.mark.parametrize("rate", ["NaN", "Infinity", "-1", "true", '"fast"', "[]"])
    def test_rate_that_is_none_is_refused(self, rate: str):
        with pytest.raises(ValueError):
            decode_notices(json.loads(f'[["s1", 1, {rate}, 0]]'))


class TestLimitRegistry:
    """Which observation of a server's limit counts."""

    def test_limit_ends_with_a_response_to_a_later_request(self):
        registry = LimitRegistry(lambda server: True)
        registry.record_response(SERVER, 5.0, sent_at=100, now=150)
        registry.record_response(SERVER, None, sent_at=140, now=160)
        assert registry.find(SERVER) == 5.0
        registry.record_response(SERVER, None, sent_at=151, now=170)
        assert registry.find(SERVER) is None

    def test_later_observation_of_another_daemon_counts(self):
        registry = LimitRegistry(lambda server: True)
        registry.record_response(SERVER, 5.0, sent_at=100, now=150)
        registry.merge([LimitNotice(SERVER, 9.0, 51)], 200)
        assert registry.find(SERVER) == 5.0
        registry.merge([LimitNotice(SERVER, 2.0, 49)], 200)
        assert registry.find(SERVER) == 2.0

    def test_what_is_recorded_counts_more_than_an_older_notice(self):
        registry = LimitRegistry(lambda server: True)
        registry.record_response(SERVER, 5.0, sent_at=100, now=150)
        assert registry.resolve(LimitNotice(SERVER, 9.0, 51), 200) == 5.0
        registry.record_response(SERVER, None, sent_at=200, now=210)
        assert registry.resolve(LimitNotice(SERVER, 9.0, 51), 220) is None

    def test_notice_counts_for_a_server_that_is_not_listed(self):
        registry = LimitRegistry(lambda server: False)
        assert registry.resolve(LimitNotice(SERVER, 9.0, 51), 200) == 9.0
        assert registry.resolve(LimitNotice(SERVER, 0.0, 51), 200) == RATE_MIN_PER_S
        assert registry.resolve(LimitNotice(SERVER, None, 0), 200) is None
        assert registry.find(SERVER) is None

    def test_next_incarnation_starts_without_a_limit(self):
        registry = LimitRegistry(lambda server: True)
        registry.record_response(SERVER, 5.0, sent_at=100, now=150)
        assert registry.find(ServerIncarnation("s1", 2)) is None

    def test_server_is_known_to_have_been_limited_for_some_time_after_the_end(self):
        """Keys would return needlessly to a server that is soon in need again."""
        registry = LimitRegistry(lambda server: True)
        registry.record_response(SERVER, 5.0, sent_at=100, now=150)
        registry.record_response(SERVER, None, sent_at=200, now=300)
        registry.drop_outdated(300 + END_MEMORY_MS - 1)
        assert registry.find(SERVER) is None
        assert registry.rates == {}
        assert registry.recent_limits == {SERVER: 5.0}
        registry.drop_outdated(300 + END_MEMORY_MS)
        assert registry.recent_limits == {}

    def test_server_whose_entry_expires_and_returns_is_still_limited(self):
        """An entry may be missing for seconds while its server runs on."""
        listed = {SERVER}
        registry = LimitRegistry(listed.__contains__)
        registry.record_response(SERVER, 5.0, sent_at=100, now=150)
        listed.clear()
        for now in range(1_000, 6_000, 1_000):
            registry.drop_outdated(now)
        assert registry.rates == {} and registry.notices(6_000) == ()
        listed.add(SERVER)
        registry.drop_outdated(6_000)
        assert registry.find(SERVER) == 5.0
        assert registry.rates == {SERVER: 5.0}

    def test_server_that_is_not_listed_is_forgotten_for_good(self):
        """Two daemons that drop it at different times would remind each other of it."""
        listed = {SERVER}
        registry = LimitRegistry(listed.__contains__)
        registry.record_response(SERVER, 5.0, sent_at=100, now=150)
        listed.clear()
        registry.drop_outdated(200)
        registry.merge([LimitNotice(SERVER, 5.0, 50)], 210)
        assert not registry.notices(210)
        registry.drop_outdated(200 + UNLISTED_MEMORY_MS)
        registry.merge([LimitNotice(SERVER, 5.0, 50)], 210 + UNLISTED_MEMORY_MS)
        listed.add(SERVER)
        assert registry.find(SERVER) is None
