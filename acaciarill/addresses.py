"""Take apart and probe the addresses that settings and messages hold."""

import socket
from collections.abc import Iterable

from .errors import ConfigError, ConfigFault


def split_address(address: str) -> tuple[str, int]:
    """Split a checked `ip:port` into its two parts."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_addresses_free(program: str, addresses: Iterable[str]) -> None:
    """Raise ConfigError that names the first address on which nothing can listen."""
    for address in addresses:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(split_address(address))
            except OSError as error:
                fault = ConfigFault(program, "listen", address, f"cannot be used: {error.strerror}")
                raise ConfigError([fault]) from error
