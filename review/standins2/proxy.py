"""Stand between the daemons and one replica, and partition it on request."""

import asyncio
import contextlib
import socket
from collections.abc import Coroutine
from typing import Any


class Proxy:
    """Forward channels to an address.

    While it is cut, open channels hang: their bytes stay where they are. New channels hang too: the
    queue of the listening socket is kept full, so the kernel drops their first packets.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.address = ("", 0)
        self.open = asyncio.Event()
        self.open.set()
        self.closed = asyncio.Event()
        self.listener: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, host: str) -> None:
        """Listen on a free port of an address and forward from now on."""
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.bind((host, 0))
        self.listener.listen(512)
        self.address = self.listener.getsockname()
        self._start(self._accept())

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        assert self.listener is not None
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            waiting = loop.create_task(loop.sock_accept(self.listener))
            closing = loop.create_task(self.closed.wait())
            await asyncio.wait((waiting, closing), return_when=asyncio.FIRST_COMPLETED)
            closing.cancel()
            if not waiting.done():
                waiting.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await waiting
                continue
            client = waiting.result()[0]
            self._start(self._forward(client))

    async def _forward(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = socket.socket()
        server.setblocking(False)
        try:
            await loop.sock_connect(server, self.target)
            await asyncio.gather(self._copy(client, server), self._copy(server, client))
        except OSError:
            pass
        finally:
            client.close()
            server.close()

    async def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            data = await loop.sock_recv(source, 65536)
            await self.open.wait()
            if not data:
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return
            await loop.sock_sendall(sink, data)

    async def cut(self) -> None:
        """Partition the replica: nothing passes, and no new channel opens."""
        assert self.listener is not None
        self.open.clear()
        self.closed.set()
        await asyncio.sleep(0.02)
        self.listener.listen(0)
        loop = asyncio.get_running_loop()
        while True:  # fill the queue until a further channel does not open
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            try:
                async with asyncio.timeout(0.1):
                    await loop.sock_connect(filler, self.address)
            except TimeoutError:
                return

    def heal(self) -> None:
        """Let everything pass again."""
        assert self.listener is not None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(512)
        self.closed.clear()
        self.open.set()
