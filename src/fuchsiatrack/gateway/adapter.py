"""Interface between the gateway daemon and the platform that it runs on."""

from __future__ import annotations

import abc
import pathlib

from fuchsiatrack.control.compactedlog import CompactedLog, CompactedRecord, Stream
from fuchsiatrack.directory.servers import ServerEntry
from fuchsiatrack.gateway.connectionpool import ConnectionPool
from fuchsiatrack.gateway.headers import HeaderCodec
from fuchsiatrack.gateway.settings import GatewaySettings
from fuchsiatrack.kernel.clock import Clock
from fuchsiatrack.kernel.trafficcounter import TrafficCounter
from fuchsiatrack.model.routes import RouteTable
from fuchsiatrack.ranges.grantclient import RangeGrantClient


class PlatformAdapter(abc.ABC):
    """Adapts one platform to the gateway; implementations are plug-ins of the kind "adapter"."""

    @property
    @abc.abstractmethod
    def header_codec(self) -> HeaderCodec:
        """Codec for the headers of requests and responses."""

    @property
    @abc.abstractmethod
    def configuration_stream(self) -> Stream:
        """The stream to which operators publish configurations and evacuations."""

    @property
    @abc.abstractmethod
    def directory_stream(self) -> Stream:
        """The stream in which backend servers register themselves."""

    @abc.abstractmethod
    def load_settings(self, path: pathlib.Path) -> GatewaySettings:
        """Return the settings in the file *path*; raise SettingsError if they are unusable."""

    @abc.abstractmethod
    def open_log(self, settings: GatewaySettings, traffic: TrafficCounter) -> CompactedLog:
        """Return a client of the log service."""

    @abc.abstractmethod
    def open_grant_client(
        self, connections: ConnectionPool, traffic: TrafficCounter, clock: Clock
    ) -> RangeGrantClient:
        """Return a client that grants key ranges to servers and releases them.

        It uses connections from *connections*.
        """

    @abc.abstractmethod
    def decode_configuration(self, record: CompactedRecord) -> RouteTable | None:
        """Return the configuration in *record*, or None if its key is another.

        Raises ValueError if the configuration is malformed.
        """

    @abc.abstractmethod
    def decode_configuration_version(self, record: CompactedRecord) -> int | None:
        """Return the version of the configuration in *record*, or None if its key is another.

        Raises ValueError if it has none.  It takes much less time than `decode_configuration`.
        """

    @abc.abstractmethod
    def decode_evacuation(self, record: CompactedRecord) -> str | None:
        """Return the failure domain that *record* of the configuration stream evacuates.

        A record without a value takes the evacuation back; any other value means the same.  The
        result is None if the key is another.  Raises ValueError if the name is malformed.
        """

    @abc.abstractmethod
    def decode_server(self, record: CompactedRecord) -> ServerEntry:
        """Return the server that *record* lists; raise ValueError if it is malformed."""
