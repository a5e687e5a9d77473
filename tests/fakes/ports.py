"""Find ports for servers within a test."""

import itertools
import os
import socket

LISTEN_PORTS = (32_100, 32_700)
"""Below the ports of outgoing connections, above those of tests.fakes.fleet."""

_COUNT = LISTEN_PORTS[1] - LISTEN_PORTS[0]
_turn = itertools.count(os.getpid() * 37)


def free_port() -> int:
    """Return a port of the loopback address that nobody uses now, another one each time."""
    for _ in range(_COUNT):
        port = LISTEN_PORTS[0] + next(_turn) % _COUNT
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")
