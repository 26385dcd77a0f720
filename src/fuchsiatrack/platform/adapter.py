"""The plug-in that puts the platform behind the gateway's contracts."""

from __future__ import annotations

import pathlib

from fuchsiatrack.control.keyedlog import KeyedLog, KeyedRecord, Stream
from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.adapter import PlatformAdapter
from fuchsiatrack.gateway.edge import Edge
from fuchsiatrack.gateway.linkpool import LinkPool
from fuchsiatrack.gateway.settings import GatewaySettings
from fuchsiatrack.kernel.registry import register
from fuchsiatrack.model.routes import RouteTable
from fuchsiatrack.platform import records
from fuchsiatrack.platform.edge import PlatformEdge
from fuchsiatrack.platform.grants import InstanceGranter
from fuchsiatrack.platform.settings import load_settings
from fuchsiatrack.platform.store import StoreClient
from fuchsiatrack.ranges.granting import RangeGranter

CONFIGURATION_STREAM = Stream("op")
DIRECTORY_STREAM = Stream("servers")


@register("adapter", "platform")
class UsersPlatform(PlatformAdapter):
    """The users' platform."""

    def __init__(self) -> None:
        self._edge = PlatformEdge()

    @property
    def edge(self) -> Edge:
        return self._edge

    @property
    def configuration_stream(self) -> Stream:
        return CONFIGURATION_STREAM

    @property
    def directory_stream(self) -> Stream:
        return DIRECTORY_STREAM

    def load_settings(self, path: pathlib.Path) -> GatewaySettings:
        return load_settings(path)

    def open_log(self, settings: GatewaySettings) -> KeyedLog:
        return StoreClient(settings.log_service)

    def open_granter(self, links: LinkPool) -> RangeGranter:
        return InstanceGranter(links)

    def decode_configuration(self, record: KeyedRecord) -> RouteTable | None:
        return records.decode_configuration(record)

    def decode_server(self, record: KeyedRecord) -> ServerEntry:
        return records.decode_server(record)
