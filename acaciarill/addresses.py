"""Parse `ip:port` addresses and check that they are free to listen on."""

import socket
from collections.abc import Iterable

from .errors import ConfigError, ConfigFault


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
