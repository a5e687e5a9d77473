"""Find free ports for servers that run inside a test."""

import atexit
import itertools
import os
import socket
from collections import deque
from contextlib import suppress

LISTEN_PORT_RANGE = (32_100, 32_700)
"""Below the kernel's range for outgoing connections, above the range of tests.fakes.fleet."""

RESERVED_PORTS = 60
"""More than one test uses; eight processes, as in two test runs at once, leave a fifth free."""

_COUNT = LISTEN_PORT_RANGE[1] - LISTEN_PORT_RANGE[0]
_turn = itertools.count(os.getpid() * 37)
_reservations: deque[socket.socket] = deque(maxlen=RESERVED_PORTS)
"""A UDP socket on each recently returned port keeps other test processes from taking it."""


@atexit.register
def _release_reservations() -> None:
    for reservation in _reservations:
        reservation.close()


def free_port() -> int:
    """Return a free port of the loopback address, a different one on each call."""
    for _ in range(_COUNT):
        port = LISTEN_PORT_RANGE[0] + next(_turn) % _COUNT
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        with suppress(OSError), socket.socket() as sock:
            reservation.bind(("127.0.0.1", port))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            _reservations.append(reservation)
            return port
        reservation.close()
    raise RuntimeError("no free port")
