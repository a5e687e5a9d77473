"""Provide the validators shared by the settings and the configuration document."""

from typing import Any
from urllib.parse import urlsplit

import voluptuous as vol

from .addresses import check_address
from .errors import ConfigFault


def ip_address_and_port(value: Any) -> str:
    """Accept `ip:port` with a literal IP address; raise Invalid otherwise."""
    if not isinstance(value, str):
        raise vol.Invalid("expected ip:port")
    try:
        return check_address(value)
    except ValueError as error:
        raise vol.Invalid(str(error)) from error


def http_url(value: Any) -> str:
    """Accept an http(s) URL whose host is a literal IP address; raise Invalid otherwise."""
    if not isinstance(value, str):
        raise vol.Invalid("expected a URL")
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https"):
        raise vol.Invalid("expected an http or https URL")
    ip_address_and_port(parts.netloc)
    return value.rstrip("/")


def collect_faults(error: vol.MultipleInvalid, file: str) -> list[ConfigFault]:
    """Convert every schema error to a fault with its section and key."""
    faults = []
    for schema_error in error.errors:
        path = [str(part) for part in schema_error.path]
        section = ".".join(path[:-1])
        faults.append(
            ConfigFault(file, section, path[-1] if path else "", schema_error.error_message)
        )
    return faults
