"""Read the settings file that the platform writes for each process."""

import os
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..connection_budget import DEFAULT_MAX_DESCRIPTORS, ConnectionLimits
from ..errors import ConfigError, ConfigFault
from ..fleet.const import MAX_STREAM_VERSIONS, STREAM_MEMORY_SHARE, STREAM_RECORD_BYTES
from ..fleet_daemon import DEFAULT_MAX_OBJECT_BYTES, DEFAULT_MEMORY_BYTES
from .const import METRICS_PORT, SETTINGS_PATH, SETTINGS_VARIABLE

MS_PER_S = 1000
DEFAULT_DUTY_TURN_S = 3.0
OWN_TABLE = "acaciarill"


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Hold the settings of one process; addresses are `ip:port`, times are in seconds.

    The process listens at `callers` for clients, at `readiness` for readiness probes and at `peers`
    for other daemons; `store` and `duty_api` are addresses of the platform. `max_object_bytes`
    limits a stored object, `memory_bytes` the memory of the process. Holders of a duty must not
    take turns within `duty_turn_s`. `max_stream_records` limits the streams that are known.
    """

    host: str
    ip: str
    data_centre: str
    serves_clients: bool
    callers: str
    readiness: str
    peers: str
    seeds: tuple[str, ...]
    store: str
    duty_api: str
    drain_s: float
    usage_window_s: float
    batch_retention_s: float
    metrics_address: str
    max_object_bytes: int = DEFAULT_MAX_OBJECT_BYTES
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    data_centres: tuple[str, ...] = field(default=())
    duty_turn_s: float = DEFAULT_DUTY_TURN_S
    connection_limits: ConnectionLimits = field(default_factory=ConnectionLimits)
    max_stream_records: int = MAX_STREAM_VERSIONS


def settings_path() -> Path:
    """Return the path of the settings file, which an environment variable can override."""
    return Path(os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH))


def load_settings(path: Path) -> PlatformSettings:
    """Read and check the settings; raise ConfigError that names the faulty field."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ConfigError([ConfigFault(str(path), "", "", str(error))]) from error
    try:
        return _parse_settings(raw)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise ConfigError([ConfigFault(str(path), "", str(error), "missing or invalid")]) from error


def _parse_settings(raw: dict[str, Any]) -> PlatformSettings:
    listen = raw.get("listen", {})
    bounds = raw["bounds"]
    first_port = raw["port_range"][0]
    ip = raw["ip"]
    # The settings give no peer addresses. All hosts use the same port range, so every daemon
    # listens for its peers on the first port of the range, and the seeds' ports are replaced by it.
    return PlatformSettings(
        host=raw["node"],
        ip=ip,
        data_centre=raw["zone"],
        serves_clients="front" in listen,
        callers=listen.get("front", ""),
        readiness=listen.get("ready", ""),
        peers=f"{ip}:{first_port}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{first_port}" for seed in raw.get("seeds", [])),
        store=raw["provider"]["address"],
        duty_api=raw.get("cloud", {}).get("address", ""),
        drain_s=float(bounds["grace_s"]),
        usage_window_s=float(bounds.get("report_window_s", 5)),
        batch_retention_s=float(bounds.get("status_s", 120)),
        metrics_address=f"{ip}:{METRICS_PORT}",
        max_object_bytes=int(raw["provider"].get("value_bytes", DEFAULT_MAX_OBJECT_BYTES)),
        memory_bytes=_memory_bytes(raw.get("limits", {})),
        data_centres=tuple(raw.get("zones", {})),
        duty_turn_s=(
            bounds["lease_ms"] / MS_PER_S if "lease_ms" in bounds else DEFAULT_DUTY_TURN_S
        ),
        connection_limits=_connection_limits(raw),
        max_stream_records=_max_stream_records(raw),
    )


def _connection_limits(raw: dict[str, Any]) -> ConnectionLimits:
    """Return the limits of connections, which the table of this program may set."""
    limits = raw.get("limits", {})
    max_descriptors = int(limits.get("max_fds") or DEFAULT_MAX_DESCRIPTORS)
    derived = ConnectionLimits.from_settings(_memory_bytes(limits), max_descriptors)
    own = raw.get(OWN_TABLE, {})
    return ConnectionLimits(
        content_bytes=_positive(own, "max_content_bytes", derived.content_bytes),
        max_connections=_positive(own, "max_connections", derived.max_connections),
    )


def _max_stream_records(raw: dict[str, Any]) -> int:
    """Return the limit of known streams, by the memory unless the table of this program sets it."""
    share = int(STREAM_MEMORY_SHARE * _memory_bytes(raw.get("limits", {})))
    derived = max(1, min(MAX_STREAM_VERSIONS, share // STREAM_RECORD_BYTES))
    return _positive(raw.get(OWN_TABLE, {}), "max_stream_records", derived)


def _positive(table: dict[str, Any], name: str, default: int) -> int:
    value = table.get(name, default)
    if type(value) is not int or value <= 0:
        raise ValueError(f"{OWN_TABLE}.{name}: expected a positive integer")
    return value


def _memory_bytes(limits: dict[str, Any]) -> int:
    memory_mb = limits.get("memory_mb", 0)
    return int(memory_mb * 1024 * 1024) if memory_mb > 0 else DEFAULT_MEMORY_BYTES
