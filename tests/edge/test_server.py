"""Test the HTTP server: limits, framing, persistent connections and disconnecting clients."""

import socket
import struct
import unittest
from dataclasses import replace

import anyio

from acaciarill.edge import EdgeLimits, EdgeServer, Request, Responder
from tests.fakes.ports import free_port

LIMITS = EdgeLimits(
    max_header_bytes=400, max_body_bytes=64, header_timeout_s=0.1, idle_timeout_s=0.3
)


class EdgeServerTest(unittest.IsolatedAsyncioTestCase):
    """Send raw bytes to a server and check its responses."""

    def setUp(self) -> None:
        self.requests: list[Request] = []
        self.cancelled_count = 0
        self.handler_blocks = False

    async def handle(self, request: Request, responder: Responder) -> None:
        self.requests.append(request)
        if self.handler_blocks:
            try:
                await anyio.sleep(5)
            except anyio.get_cancelled_exc_class():
                self.cancelled_count += 1
                raise
        await responder.send_response(200, [], b"answer")

    async def exchange(self, *parts: bytes, disconnect: bool = False) -> bytes:
        """Send parts with a pause between them and return all bytes that the server sends."""
        port = free_port()
        server = EdgeServer(f"127.0.0.1:{port}", self.handle, anyio.current_time, lambda: LIMITS)
        received = b""
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for part in parts:
                    await stream.send(part)
                    await anyio.sleep(0.03)
                if not disconnect:
                    with anyio.move_on_after(0.6):
                        while True:
                            try:
                                received += await stream.receive()
                            except anyio.EndOfStream:
                                break
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        return received

    async def test_connection_serves_several_requests(self) -> None:
        request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        received = await self.exchange(request, request)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)

    async def test_pipelined_requests_get_responses(self) -> None:
        request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        self.assertEqual((await self.exchange(request * 2)).count(b"HTTP/1.1 200"), 2)

    async def test_request_with_two_framings_is_rejected_and_connection_closed(self) -> None:
        received = await self.exchange(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        self.assertIn(b"HTTP/1.1 400", received)
        self.assertEqual(self.requests, [])

    async def test_headers_and_bodies_over_limits_are_rejected(self) -> None:
        long_headers = b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 500 + b"\r\n\r\n"
        self.assertIn(b" 431 ", await self.exchange(long_headers))
        large_body = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" + b"x" * 65
        self.assertIn(b" 413 ", await self.exchange(large_body))
        chunked_head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertIn(b" 413 ", await self.exchange(chunked_head + b"50\r\n" + b"x" * 80 + b"\r\n"))
        self.assertEqual(self.requests, [])

    # Found by the review (REPORT-2): a kept connection had the limits of when it was opened.
    async def test_kept_connection_follows_the_limits(self) -> None:
        current = [LIMITS]
        port = free_port()
        server = EdgeServer(
            f"127.0.0.1:{port}", self.handle, anyio.current_time, lambda: current[0]
        )
        large_body = LIMITS.max_body_bytes + 1
        fields = b"X: " + b"y" * 500 + b"\r\n"
        small = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
        large = b"POST /a HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s" % (
            fields,
            large_body,
            b"x" * large_body,
        )
        raised = replace(LIMITS, max_body_bytes=large_body, max_header_bytes=2000)
        statuses = []
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for limits, request in ((LIMITS, small), (raised, large), (LIMITS, large)):
                    current[0] = limits
                    await stream.send(request)
                    statuses.append((await stream.receive()).split()[1])
            tasks.cancel_scope.cancel()
        self.assertEqual(statuses, [b"200", b"200", b"431"])

    # On the path of other operators' report of bytes without end: these came from a client.
    async def test_bytes_without_end_beside_a_request_are_not_kept(self) -> None:
        port = free_port()
        finished = anyio.Event()

        async def handle(request: Request, responder: Responder) -> None:
            await finished.wait()
            await responder.send_response(200, [], b"answer")

        server = EdgeServer(f"127.0.0.1:{port}", handle, anyio.current_time, lambda: LIMITS)
        sent_bytes = 0
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
                with anyio.move_on_after(2.0):
                    while sent_bytes < 64 * 1024 * 1024:
                        await stream.send(b"x" * 0x10000)
                        sent_bytes += 0x10000
                finished.set()
                self.assertIn(b"HTTP/1.1 200", await stream.receive())
            tasks.cancel_scope.cancel()
        self.assertLess(sent_bytes, 32 * 1024 * 1024)  # what the kernel's buffers hold

    async def test_slow_headers_time_out(self) -> None:
        received = await self.exchange(b"GET /a HTT", b"P/1.1\r", b"\nHo", b"st", b": h", b"x")
        self.assertIn(b" 408 ", received)

    async def test_handler_is_cancelled_when_client_disconnects(self) -> None:
        self.handler_blocks = True
        await self.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", disconnect=True)
        self.assertEqual(self.cancelled_count, 1)

    async def test_chunked_body_is_read_completely(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.exchange(head, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(self.requests[0].body, b"abcde")

    # Found by the soak of odd clients: such a client ended the process.
    async def test_client_of_http_1_0_that_resets_a_streamed_response_leaves_the_server(
        self,
    ) -> None:
        port = free_port()
        started = anyio.Event()

        async def handle(request: Request, responder: Responder) -> None:
            await responder.start(200, [])
            await responder.send(b"part")
            started.set()
            while request.target == "/stream":
                await responder.send(b"x" * 0x10000)
                await anyio.sleep(0.01)
            await responder.finish()

        server = EdgeServer(f"127.0.0.1:{port}", handle, anyio.current_time)
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            for _ in range(5):
                client = socket.create_connection(("127.0.0.1", port))
                client.sendall(b"GET /stream HTTP/1.0\r\nHost: h\r\n\r\n")
                await started.wait()
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                client.close()
                await anyio.sleep(0.1)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
                self.assertIn(b"HTTP/1.1 200", await stream.receive())
            tasks.cancel_scope.cancel()
