"""Test that servers go on accepting after errors that pass."""

import errno
import os
import resource
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
import anyio.abc

from acaciarill.edge import EdgeServer, Request, Responder
from acaciarill.listening import listen, serve_connections
from acaciarill.peers import PeerServer
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.ports import free_port

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
WITHOUT_DESCRIPTORS_S = 0.5
TIMEOUT_S = 10.0


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Leave this process no free descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    spare = os.dup(0)
    fillers = [os.dup(0) for _ in range(spare + 16)]
    highest = max(fillers)
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for descriptor in (spare, *fillers):
            os.close(descriptor)


class FailingListener:
    """Be always ready to accept, and fail to with some errors in turn."""

    def __init__(self, *errors: int) -> None:
        self.errors = list(errors)
        self.readable, self.other_end = socket.socketpair()
        self.other_end.send(b"x")

    def extra(self, attribute: Any) -> "FailingListener":
        return self

    def fileno(self) -> int:
        return self.readable.fileno()

    def accept(self) -> None:
        number = self.errors.pop(0)
        raise OSError(number, os.strerror(number))

    def close(self) -> None:
        self.readable.close()
        self.other_end.close()


class AcceptTest(PlainLoopTestCase):
    """Guard against a process that ends since one connection could not be accepted."""

    # Found by the review (REPORT-2): without a free descriptor, a daemon ended by itself.
    async def test_edge_serves_again_once_a_descriptor_is_free(self) -> None:
        async def handle(request: Request, responder: Responder) -> None:
            await responder.send_response(200, [], b"answer")

        address = f"127.0.0.1:{free_port()}"
        await self.check(address, EdgeServer(address, handle, anyio.current_time).run, REQUEST)

    async def test_peer_server_accepts_again_once_a_descriptor_is_free(self) -> None:
        address = f"127.0.0.1:{free_port()}"
        # A greeting that is none: the server closes the connection.
        await self.check(address, PeerServer(address).run, b"\xff" * 8)

    async def check(
        self, address: str, run: Callable[..., Awaitable[None]], request: bytes
    ) -> None:
        host, _, port = address.partition(":")
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                await tasks.start(run)
                client = socket.socket()
                client.setblocking(False)
                with no_free_descriptor():
                    client.connect_ex((host, int(port)))
                    await anyio.sleep(WITHOUT_DESCRIPTORS_S)
                await anyio.wait_writable(client)
                client.send(request)
                await anyio.wait_readable(client)
                client.close()
                tasks.cancel_scope.cancel()

    async def test_only_temporary_errors_are_retried(self) -> None:
        async def handle(stream: Any) -> None:
            return

        listener: Any = FailingListener(errno.EMFILE, errno.ECONNABORTED, errno.EBADF)
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                with self.assertRaises(OSError) as caught:
                    await serve_connections(listener, handle, tasks)
        listener.close()
        self.assertEqual((caught.exception.errno, listener.errors), (errno.EBADF, []))

    async def test_error_on_one_connection_does_not_stop_the_server(self) -> None:
        served: list[bytes] = []

        async def handle(stream: anyio.abc.SocketStream) -> None:
            served.append(await stream.receive())
            raise RuntimeError("unexpected")

        listener = await listen(f"127.0.0.1:{free_port()}")
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(serve_connections, listener, handle, tasks)
            with anyio.fail_after(TIMEOUT_S):
                for number in range(2):
                    async with await anyio.connect_tcp(*address) as client:
                        await client.send(b"%d" % number)
                        while len(served) <= number:
                            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        self.assertEqual(served, [b"0", b"1"])
