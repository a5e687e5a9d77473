"""Find ports for servers within a test."""

import socket


def free_port() -> int:
    """Return a port of the loopback address that nobody uses now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
