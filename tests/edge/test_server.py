"""Test the edge towards callers: limits, framing, callers that leave, draining."""

import unittest

import anyio

from acaciarill.edge import EdgeLimits, EdgeServer, Request, Responder
from tests.fakes.ports import free_port

LIMITS = EdgeLimits(
    max_header_bytes=400, max_body_bytes=64, header_timeout_s=0.1, idle_timeout_s=0.3
)


class EdgeServerTest(unittest.IsolatedAsyncioTestCase):
    """Send bytes as callers do and read what comes back."""

    def setUp(self) -> None:
        self.requests: list[Request] = []
        self.cancelled = 0
        self.hold = False

    async def handle(self, request: Request, responder: Responder) -> None:
        self.requests.append(request)
        if self.hold:
            try:
                await anyio.sleep(5)
            except anyio.get_cancelled_exc_class():
                self.cancelled += 1
                raise
        await responder.send_response(200, [], b"answer")

    async def exchange(self, *parts: bytes, leave: bool = False) -> bytes:
        """Send parts with a pause between them and return all that comes back."""
        port = free_port()
        server = EdgeServer(f"127.0.0.1:{port}", self.handle, anyio.current_time, lambda: LIMITS)
        received = b""
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for part in parts:
                    await stream.send(part)
                    await anyio.sleep(0.03)
                if not leave:
                    with anyio.move_on_after(0.6):
                        while True:
                            try:
                                received += await stream.receive()
                            except anyio.EndOfStream:
                                break
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        return received

    async def test_kept_connection_serves_request_after_request(self) -> None:
        request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        received = await self.exchange(request, request)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)

    async def test_pipelined_request_is_answered_in_its_turn(self) -> None:
        request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        self.assertEqual((await self.exchange(request * 2)).count(b"HTTP/1.1 200"), 2)

    async def test_two_framings_at_once_are_rejected_and_the_connection_ends(self) -> None:
        received = await self.exchange(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        self.assertIn(b"HTTP/1.1 400", received)
        self.assertEqual(self.requests, [])

    async def test_headers_and_bodies_beyond_the_limits_are_rejected(self) -> None:
        long = b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 500 + b"\r\n\r\n"
        self.assertIn(b" 431 ", await self.exchange(long))
        large = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" + b"x" * 65
        self.assertIn(b" 413 ", await self.exchange(large))
        chunked = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertIn(b" 413 ", await self.exchange(chunked + b"50\r\n" + b"x" * 80 + b"\r\n"))
        self.assertEqual(self.requests, [])

    async def test_header_that_comes_too_slowly_is_cut(self) -> None:
        received = await self.exchange(b"GET /a HTT", b"P/1.1\r", b"\nHo", b"st", b": h", b"x")
        self.assertIn(b" 408 ", received)

    async def test_work_ends_when_the_caller_leaves(self) -> None:
        self.hold = True
        await self.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", leave=True)
        self.assertEqual(self.cancelled, 1)

    async def test_chunked_body_arrives_whole(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.exchange(head, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(self.requests[0].body, b"abcde")
