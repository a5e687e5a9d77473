"""Load and validate the settings of one process."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import voluptuous as vol

from .errors import ConfigError, ConfigFault
from .validation import collect_faults, http_url, ip_address_and_port

CONF_PROCESS = "process"
CONF_LISTEN = "listen"
CONF_PLATFORM = "platform"
CONF_TELEMETRY = "telemetry"
CONF_TLS = "tls"
CONF_OPERATORS = "operators"

DEFAULT_TRACE_RATIO = 0.01
DEFAULT_EXPORT_PERIOD_S = 10.0
DEFAULT_MAX_CONCURRENT = 256
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024
MIN_MEMORY_BYTES = 64 * 1024 * 1024
DEFAULT_SAMPLE_MEMORY_BYTES = 64 * 1024 * 1024

SETTINGS_SCHEMA = vol.Schema(
    {
        vol.Required(CONF_PROCESS): {
            vol.Required("host"): vol.All(str, vol.Length(min=1)),
            vol.Required("data_centre"): vol.All(str, vol.Length(min=1)),
            vol.Optional("data_folder", default=""): str,
            vol.Optional("max_concurrent", default=DEFAULT_MAX_CONCURRENT): vol.All(
                int, vol.Range(min=1)
            ),
            vol.Optional("memory_bytes", default=DEFAULT_MEMORY_BYTES): vol.All(
                int, vol.Range(min=MIN_MEMORY_BYTES)
            ),
            vol.Optional("sample_memory_bytes", default=DEFAULT_SAMPLE_MEMORY_BYTES): vol.All(
                int, vol.Range(min=1)
            ),
        },
        vol.Required(CONF_LISTEN): {
            vol.Required("callers"): ip_address_and_port,
            vol.Required("operators"): ip_address_and_port,
            vol.Required("daemons"): ip_address_and_port,
        },
        vol.Required(CONF_PLATFORM): {
            vol.Required("object_api"): http_url,
            vol.Required("host_list"): http_url,
            vol.Required("capacity"): http_url,
            vol.Required("usage"): http_url,
            vol.Required("weight_store"): http_url,
        },
        vol.Optional(CONF_TELEMETRY, default=dict): {
            vol.Optional("trace_ratio", default=DEFAULT_TRACE_RATIO): vol.All(
                vol.Coerce(float), vol.Range(min=0, max=1)
            ),
            vol.Optional("otlp_endpoint", default=""): vol.Any("", http_url),
            vol.Optional("export_period_s", default=DEFAULT_EXPORT_PERIOD_S): vol.All(
                vol.Coerce(float), vol.Range(min=0.1)
            ),
        },
        vol.Optional(CONF_TLS, default=dict): {
            vol.Optional("certificate", default=""): str,
            vol.Optional("private_key", default=""): str,
            vol.Optional("authority", default=""): str,
        },
        vol.Optional(CONF_OPERATORS, default=dict): {
            vol.Extra: vol.All(str, vol.Match(r"^[0-9a-f]{64}$", "expected a SHA-256 in hex")),
        },
    }
)


@dataclass(slots=True)
class Settings:
    """Hold the validated settings of one process; listen addresses are `ip:port`."""

    host: str
    data_centre: str
    callers: str
    operators: str
    daemons: str
    object_api: str
    host_list: str
    capacity: str
    usage: str
    weight_store: str
    data_folder: str = ""
    max_concurrent: int = DEFAULT_MAX_CONCURRENT
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    sample_memory_bytes: int = DEFAULT_SAMPLE_MEMORY_BYTES
    trace_ratio: float = DEFAULT_TRACE_RATIO
    otlp_endpoint: str = ""
    export_period_s: float = DEFAULT_EXPORT_PERIOD_S
    certificate: str = ""
    private_key: str = ""
    authority: str = ""
    operator_digests: dict[str, str] | None = None


def load_settings(path: Path) -> Settings:
    """Load settings from a TOML file; raise ConfigError with every fault."""
    try:
        raw_settings = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError([ConfigFault(str(path), "", "", str(error))]) from error
    return check_settings(raw_settings, str(path))


def _check_tls(tls: dict[str, str], file: str) -> list[ConfigFault]:
    faults = [
        ConfigFault(file, CONF_TLS, key, f"no such file: {path}")
        for key, path in tls.items()
        if path and not Path(path).is_file()
    ]
    if bool(tls["certificate"]) != bool(tls["private_key"]):
        message = "certificate and private_key must be set together"
        faults.append(ConfigFault(file, CONF_TLS, "certificate", message))
    if tls["authority"] and not tls["certificate"]:
        message = "requires certificate and private_key"
        faults.append(ConfigFault(file, CONF_TLS, "authority", message))
    return faults


def check_settings(raw_settings: dict[str, Any], file: str) -> Settings:
    """Validate parsed settings; raise ConfigError with every fault."""
    try:
        checked = SETTINGS_SCHEMA(raw_settings)
    except vol.MultipleInvalid as error:
        raise ConfigError(collect_faults(error, file)) from error
    faults = _check_tls(checked[CONF_TLS], file)
    if faults:
        raise ConfigError(faults)
    return Settings(
        **checked[CONF_PROCESS],
        **checked[CONF_LISTEN],
        **checked[CONF_PLATFORM],
        **checked[CONF_TELEMETRY],
        **checked[CONF_TLS],
        operator_digests=checked[CONF_OPERATORS],
    )
