"""Reader of the settings file that the platform writes for each daemon."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

from fuchsiatrack.coldstart.terms import ColdBound
from fuchsiatrack.gateway.settings import Endpoint, GatewaySettings, SettingsError
from fuchsiatrack.kernel.fields import describe, field, natural
from fuchsiatrack.limits.retryratio import RetryBudgetSettings
from fuchsiatrack.platform.fields import duration, endpoint

# Port of the metrics endpoint; deploy/system.toml has the same number.
METRICS_PORT = 9464
BYTES_PER_MS_PER_MBPS = 125.0
BYTES_PER_MB = 1_000_000


def load_settings(path: pathlib.Path) -> GatewaySettings:
    """Return the settings in *path*.

    Raises SettingsError if the file can't be read, or with the field and value that are invalid.
    """
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        return _decode_settings(table)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ValueError) as error:
        raise SettingsError(str(error)) from error


def _decode_settings(table: dict[str, Any]) -> GatewaySettings:
    bounds = field(table, "Terms.Bounds", dict)
    return GatewaySettings(
        vm=field(table, "Self.NodeName", str),
        failure_domain=field(table, "Self.Zone", str),
        callers=endpoint(table, "Network.Listen.Front"),
        readiness=endpoint(table, "Network.Listen.Ready"),
        reports=Endpoint(field(table, "Self.Ip", str), _first_internal_port(table)),
        log_service=endpoint(table, "Platform.Platform.Address"),
        metrics_port=METRICS_PORT,
        drain=duration(bounds.get("Drain"), "Terms.Bounds.Drain"),
        contact=duration(bounds.get("Contact"), "Terms.Bounds.Contact"),
        max_hold=duration(bounds.get("MaxHold"), "Terms.Bounds.MaxHold"),
        stop_grace=duration(bounds.get("Grace"), "Terms.Bounds.Grace"),
        retry_budget=RetryBudgetSettings(
            field(table, "Terms.Bounds.BudgetRatio", float),
            field(table, "Terms.Bounds.BudgetSlack", float),
            duration(bounds.get("BudgetWindow"), "Terms.Bounds.BudgetWindow"),
        ),
        **_decode_optional(table, bounds),
    )


def _decode_optional(table: dict[str, Any], bounds: dict[str, Any]) -> dict[str, Any]:
    """Return the settings that may be missing, among them limits of the VM and the log service."""
    found: dict[str, Any] = {}
    if "Bootstrap" in table["Self"]:
        found["is_first_start"] = field(table, "Self.Bootstrap", bool)
    if "ConfigApply" in bounds:
        found["config_apply"] = duration(bounds["ConfigApply"], "Terms.Bounds.ConfigApply")
    if "ColdOverage" in bounds:
        found["cold_bound"] = ColdBound(
            field(table, "Terms.Bounds.ColdOverage", float),
            field(table, "Terms.Bounds.ColdSlack", float) if "ColdSlack" in bounds else 0.0,
        )
    if "Evacuation" in bounds:
        found["evacuation"] = duration(bounds["Evacuation"], "Terms.Bounds.Evacuation")
    if "LinkMbps" in table["Self"].get("Limits", {}):
        rate = field(table, "Self.Limits.LinkMbps", float)
        if rate <= 0:
            raise ValueError(f"Self.Limits.LinkMbps: expected a positive number (got {rate})")
        found["link_rate"] = rate * BYTES_PER_MS_PER_MBPS
    if "MemoryMb" in table["Self"].get("Limits", {}):
        found["memory"] = natural(table, "Self.Limits.MemoryMb", 1) * BYTES_PER_MB
    if "MaxFds" in table["Self"].get("Limits", {}):
        found["descriptors"] = natural(table, "Self.Limits.MaxFds", 1)
    if "RecordBytes" in table["Platform"]["Platform"]:
        found["max_record_size"] = natural(table, "Platform.Platform.RecordBytes", 1)
    return found


def _first_internal_port(table: dict[str, Any]) -> int:
    ports = field(table, "Network.InternalPortRange", list)
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise ValueError(f"Network.InternalPortRange: expected two ports (got {describe(ports)})")
    return ports[0]
