"""Plug-in that implements the gateway's contracts on the users' platform."""

from __future__ import annotations

import pathlib

from fuchsiatrack.control.compactedlog import CompactedLog, CompactedRecord, Stream
from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.adapter import PlatformAdapter
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.headers import HeaderCodec
from fuchsiatrack.gateway.settings import GatewaySettings
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.registry import register
from fuchsiatrack.kernel.trafficcounter import TrafficCounter
from fuchsiatrack.model.routes import RouteTable
from fuchsiatrack.platform import decoders
from fuchsiatrack.platform.grantclient import HttpRangeGrantClient
from fuchsiatrack.platform.headers import PlatformHeaderCodec
from fuchsiatrack.platform.logservice import LogServiceClient
from fuchsiatrack.platform.routecache import RouteCache
from fuchsiatrack.platform.settings import load_settings
from fuchsiatrack.ranges.grantclient import RangeGrantClient

# Topic to which operators write the configuration and evacuations.
CONFIGURATION_STREAM = Stream("op")
# Topic to which backend servers write their entries.
DIRECTORY_STREAM = Stream("servers")


@register("adapter", "platform")
class HttpPlatformAdapter(PlatformAdapter):
    """Settings, streams, headers and clients of the users' platform."""

    def __init__(self) -> None:
        self._header_codec = PlatformHeaderCodec()
        self._route_cache = RouteCache()

    @property
    def header_codec(self) -> HeaderCodec:
        return self._header_codec

    @property
    def configuration_stream(self) -> Stream:
        return CONFIGURATION_STREAM

    @property
    def directory_stream(self) -> Stream:
        return DIRECTORY_STREAM

    def load_settings(self, path: pathlib.Path) -> GatewaySettings:
        return load_settings(path)

    def open_log(self, settings: GatewaySettings, traffic: TrafficCounter) -> CompactedLog:
        return LogServiceClient(settings.log_service, traffic, settings.max_read_size)

    def open_grant_client(
        self, connections: ConnectionPool, traffic: TrafficCounter, clock: Clock
    ) -> RangeGrantClient:
        return HttpRangeGrantClient(connections, traffic, clock)

    def decode_configuration(self, record: CompactedRecord) -> RouteTable | None:
        return decoders.decode_configuration(record, self._route_cache)

    def decode_configuration_version(self, record: CompactedRecord) -> int | None:
        return decoders.decode_configuration_version(record)

    def decode_evacuation(self, record: CompactedRecord) -> str | None:
        return decoders.decode_evacuation(record)

    def decode_server(self, record: CompactedRecord) -> ServerEntry:
        return decoders.decode_server(record)
