"""Test that bytes without end from a peer are cut at a limit, and that the memory stays bounded."""

import tracemalloc
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio
import anyio.abc

from acaciarill.edge import HttpPool
from acaciarill.edge.const import MAX_RESPONSE_BYTES
from acaciarill.errors import Outcome, UpstreamError
from acaciarill.platform._decode import EventReader
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.ports import free_port

CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM_HEAD = b"HTTP/1.1 102 Processing\r\n\r\n"
MEMORY_LIMIT_BYTES = 100 * 1024 * 1024


@asynccontextmanager
async def endless_peer(first: bytes, repeated: bytes) -> AsyncIterator[str]:
    """Serve peers that send bytes until the caller closes."""

    async def send(stream: anyio.abc.SocketStream) -> None:
        with suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            async with stream:
                await stream.receive()
                await stream.send(first)
                while True:
                    await stream.send(repeated)

    port = free_port()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port, reuse_port=False
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, send)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()


class EndlessResponsesTest(PlainLoopTestCase):
    """Request responses that never end; each must fail at a limit and say which."""

    async def failure(self, first: bytes, repeated: bytes) -> UpstreamError:
        async with endless_peer(first, repeated) as address:
            with self.assertRaises(UpstreamError) as caught, anyio.fail_after(10):
                await HttpPool(anyio.current_time).request(address, "GET", "/", [])
        return caught.exception

    async def test_endless_body_is_cut(self) -> None:
        error = await self.failure(CHUNKED_HEAD, CHUNK)
        self.assertIn(str(MAX_RESPONSE_BYTES), error.message)
        self.assertIs(error.outcome, Outcome.UNKNOWN)

    async def test_endless_interim_heads_are_cut(self) -> None:
        self.assertIn("informational", (await self.failure(b"", INTERIM_HEAD)).message)

    async def test_endless_head_is_cut(self) -> None:
        error = await self.failure(b"HTTP/1.1 200 OK\r\n", b"X-Header: " + b"x" * 1000 + b"\r\n")
        self.assertIn("malformed", error.message)

    async def test_endless_header_line_is_cut(self) -> None:
        self.assertIn("malformed", (await self.failure(b"HTTP/1.1 200 OK\r\nX: ", b"x")).message)

    async def test_many_endless_bodies_at_once_stay_within_the_memory_limit(self) -> None:
        pool = HttpPool(anyio.current_time)
        failures: list[str] = []

        async def request(address: str) -> None:
            try:
                await pool.request(address, "GET", "/", [])
            except UpstreamError as error:
                failures.append(error.message)

        tracemalloc.start()
        async with (
            endless_peer(CHUNKED_HEAD, CHUNK) as address,
            anyio.create_task_group() as tasks,
        ):
            for _ in range(200):
                tasks.start_soon(request, address)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual(len(failures), 200)
        self.assertLess(peak_bytes, MEMORY_LIMIT_BYTES)
        self.assertEqual(pool.buffers.total_bytes, 0)


class EndlessEventTest(unittest.TestCase):
    """Read events of a stream whose bytes are no events."""

    def test_event_without_end_is_cut(self) -> None:
        read_events = EventReader()
        with self.assertRaises(UpstreamError):
            for _ in range(1000):
                read_events(b"data: " + b"x" * 1000 + b"\n")

    def test_event_with_a_spoilt_id_is_an_error_of_the_upstream(self) -> None:
        with self.assertRaises(UpstreamError):
            EventReader()(b"id: 1\xff\ndata: x\n\n")
