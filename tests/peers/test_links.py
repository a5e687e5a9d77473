"""Test calls to daemons that send what is no frame."""

import unittest
from contextlib import suppress

import anyio
import anyio.abc

from acaciarill.errors import PeerError
from acaciarill.peers import PeerLinks, messages
from tests.fakes.ports import free_port

OVERSIZED_FRAME = b"\xff\xff\xff\xff" + b"x" * 1000
MALFORMED_FRAME = b"\x00\x00\x00\x04\xff\xff\xff\xff"


class InvalidFramesTest(unittest.IsolatedAsyncioTestCase):
    """Call a daemon that responds with invalid bytes; only that call fails."""

    async def test_invalid_frames_end_the_call_and_not_the_daemon(self) -> None:
        for data in (OVERSIZED_FRAME, MALFORMED_FRAME):
            port = free_port()
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)

            async def respond(stream: anyio.abc.SocketStream, data: bytes = data) -> None:
                async with stream:
                    with suppress(anyio.BrokenResourceError, anyio.EndOfStream):
                        await stream.receive()
                        await stream.send(data)
                        await anyio.sleep_forever()

            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, respond)
                links = PeerLinks(messages.Greeting(), tasks)
                for _ in range(2):
                    with self.assertRaises(PeerError):
                        await links.call(f"127.0.0.1:{port}", 2.0, ping=messages.Ping())
                tasks.cancel_scope.cancel()
