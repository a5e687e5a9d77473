"""Open many connections, send to all of them at once, and leave them open without reading."""

import socket
from collections.abc import Iterator
from contextlib import AbstractContextManager, suppress
from types import TracebackType

import anyio

STALL_S = 3.0
"""A connection that takes nothing more for this long has stopped reading."""


class Crowd(AbstractContextManager["Crowd"]):
    """Hold the connections of misbehaving clients, which are closed at the end of the block."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.address = host, int(port)
        self.sockets: list[socket.socket] = []

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for connection in self.sockets:
            connection.close()

    async def send_all(self, pieces: list[Iterator[bytes]]) -> None:
        """Send each iterator's pieces on a connection of its own, all at once.

        A connection that is closed, or that takes nothing more, gets no further pieces. None of
        them is closed, and nothing is read.
        """
        async with anyio.create_task_group() as tasks:
            for connection_pieces in pieces:
                tasks.start_soon(self._send, connection_pieces)

    async def send_slowly(
        self, connection: socket.socket, pieces: Iterator[bytes], pause_s: float
    ) -> None:
        """Send pieces on an open connection with a pause after each, until it is closed."""
        with suppress(OSError):
            for piece in pieces:
                connection.send(piece)
                await anyio.sleep(pause_s)

    async def _send(self, pieces: Iterator[bytes]) -> None:
        connection = socket.socket()
        self.sockets.append(connection)
        with suppress(OSError, TimeoutError):
            # Nothing else runs in between, so that the first bytes are there before the process
            # begins to serve the connection.
            connection.settimeout(STALL_S)
            connection.connect(self.address)
            connection.setblocking(False)
            for piece in pieces:
                unsent = memoryview(piece)
                while unsent:
                    unsent = unsent[connection.send(unsent) :]
                    with anyio.fail_after(STALL_S):
                        await anyio.wait_writable(connection)
