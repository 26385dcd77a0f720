"""The harness of the gateway's tests itself."""

from __future__ import annotations

import pathlib

from tests.fleet import free_port

OUTGOING_PORTS = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestFreePort:
    """Ports stay free until a daemon of the test listens."""

    def test_port_is_not_one_of_outgoing_connections(self):
        """Guards against a connection of another process that takes the port meanwhile."""
        first, _ = map(int, OUTGOING_PORTS.read_text().split())
        assert all(free_port() < first for _ in range(100))

    def test_ports_differ(self):
        assert len({free_port() for _ in range(100)}) == 100
