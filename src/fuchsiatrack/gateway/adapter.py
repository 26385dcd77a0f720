"""Contract of a platform: what the gateway daemon needs of the world around it."""

from __future__ import annotations

import abc
import pathlib

from fuchsiatrack.control.compactedlog import CompactedLog, CompactedRecord, Stream
from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.headers import HeaderCodec
from fuchsiatrack.gateway.settings import GatewaySettings
from fuchsiatrack.model.routes import RouteTable
from fuchsiatrack.ranges.grantclient import RangeGrantClient


class PlatformAdapter(abc.ABC):
    """Translates between one platform and the gateway; plug-ins of the kind "adapter"."""

    @property
    @abc.abstractmethod
    def header_codec(self) -> HeaderCodec:
        """The headers of requests and answers."""

    @property
    @abc.abstractmethod
    def configuration_stream(self) -> Stream:
        """Where operators publish configurations."""

    @property
    @abc.abstractmethod
    def directory_stream(self) -> Stream:
        """Where backend servers list themselves."""

    @abc.abstractmethod
    def load_settings(self, path: pathlib.Path) -> GatewaySettings:
        """Return the settings in the file *path*; raise SettingsError."""

    @abc.abstractmethod
    def open_log(self, settings: GatewaySettings) -> CompactedLog:
        """Return the client of the log service."""

    @abc.abstractmethod
    def open_grant_client(self, connections: ConnectionPool) -> RangeGrantClient:
        """Return the client of the servers' calls for key ranges, on connections of
        *connections*.
        """

    @abc.abstractmethod
    def decode_configuration(self, record: CompactedRecord) -> RouteTable | None:
        """Return the configuration in *record*, None for other keys; raise ValueError."""

    @abc.abstractmethod
    def decode_server(self, record: CompactedRecord) -> ServerEntry:
        """Return the server that *record* lists; raise ValueError for what names none."""
