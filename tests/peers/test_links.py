"""Test calls to daemons that send what is no frame."""

import unittest
from contextlib import suppress

import anyio
import anyio.abc

from acaciarill.errors import Outcome, PeerError
from acaciarill.peers import PeerLinks, PeerServer, messages
from acaciarill.peers.const import MAX_FRAME_BYTES, PROTOCOL_VERSION
from tests.fakes.event_loop import PlainLoopTestCase
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


class FrameSizeTest(PlainLoopTestCase):
    """Guard against a call whose frame is too long: it closed the connection of all others."""

    async def test_too_long_frame_is_not_sent_and_other_calls_go_on(self) -> None:
        address = f"127.0.0.1:{free_port()}"
        server = PeerServer(address)
        running = anyio.Event()

        async def answer_late(ping: messages.Ping) -> dict[str, messages.Ping]:
            running.set()
            await anyio.sleep(0.3)
            return {"ping": ping}

        server.handlers["ping"] = answer_late
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            greeting = messages.Greeting(protocol_version=PROTOCOL_VERSION, daemon="d")
            links = PeerLinks(greeting, tasks)
            answered: list[str] = []

            async def ping() -> None:
                frame = await links.call(address, 10.0, ping=messages.Ping(daemon="d"))
                answered.append(frame.ping.daemon)

            async with anyio.create_task_group() as calls:
                calls.start_soon(ping)
                await running.wait()
                long_call = messages.OwnBatch(batch="b", body=b"x" * MAX_FRAME_BYTES)
                with self.assertRaises(PeerError) as caught:
                    await links.call(address, 10.0, own_batch=long_call)
                self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
            tasks.cancel_scope.cancel()
        self.assertEqual(answered, ["d"])
