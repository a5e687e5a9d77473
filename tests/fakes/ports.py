"""Find free ports for servers that run inside a test."""

import itertools
import os
import socket

LISTEN_PORT_RANGE = (32_100, 32_700)
"""Below the kernel's range for outgoing connections, above the range of tests.fakes.fleet."""

_COUNT = LISTEN_PORT_RANGE[1] - LISTEN_PORT_RANGE[0]
_turn = itertools.count(os.getpid() * 37)


def free_port() -> int:
    """Return a free port of the loopback address, a different one on each call."""
    for _ in range(_COUNT):
        port = LISTEN_PORT_RANGE[0] + next(_turn) % _COUNT
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")
