"""Hold addresses that no longer respond, as those of hosts without power or behind a partition."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from acaciarill.addresses import split_address

CONNECTIONS_TO_FILL = 3
LONG_QUEUE = 1024


@contextmanager
def unresponsive_address(address: str, accepts: bool = False) -> Iterator[None]:
    """Let each connection to a free address hang until the end of the block.

    With `accepts`, connections are opened, and nothing that is sent on them is read, as by a
    suspended process.
    """
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(address))
        listener.listen(LONG_QUEUE if accepts else 0)
        fillers = [] if accepts else [socket.socket() for _ in range(CONNECTIONS_TO_FILL)]
        try:
            # The kernel drops the opening packets of further connections once the queue is full.
            for filler in fillers:
                filler.setblocking(False)
                with suppress(BlockingIOError):
                    filler.connect(listener.getsockname())
            yield
        finally:
            for filler in fillers:
                filler.close()
