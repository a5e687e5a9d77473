"""Check and split `ip:port` addresses, and check that they are free to listen on."""

import ipaddress
import socket
from collections.abc import Iterable

from .errors import ConfigError, ConfigFault

MAX_PORT = 65535
MAX_SHOWN_CHARACTERS = 40


def check_address(address: str) -> str:
    """Return an `ip:port` with a literal IP address; raise ValueError if it is not one."""
    host, separator, port = address.rpartition(":")
    shown_host = repr(host[:MAX_SHOWN_CHARACTERS])
    if not separator:
        raise ValueError("expected ip:port")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError as error:
        raise ValueError(f"expected a literal IP address, got {shown_host}") from error
    if getattr(ip, "scope_id", None) is not None:  # may hold any text
        raise ValueError(f"expected an IP address without a scope, got {shown_host}")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(
            f"expected a port from 1 to {MAX_PORT}, got {port[:MAX_SHOWN_CHARACTERS]!r}"
        )
    return address


def split_address(address: str) -> tuple[str, int]:
    """Split a validated `ip:port` into the host, without IPv6 brackets, and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_addresses_free(program: str, addresses: Iterable[str]) -> None:
    """Raise ConfigError with the first address that cannot be bound."""
    for address in addresses:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(split_address(address))
            except OSError as error:
                fault = ConfigFault(program, "listen", address, f"cannot bind: {error.strerror}")
                raise ConfigError([fault]) from error
