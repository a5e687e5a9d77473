"""Test the outcomes that the HTTP client reports for failed connections."""

import unittest

import anyio

from acaciarill.edge import HttpPool
from acaciarill.edge.const import MAX_INLINE_REQUEST_BYTES
from acaciarill.errors import Outcome, UpstreamError
from tests.fakes.ports import free_port
from tests.fakes.upstream import FakeUpstream, ResponseScript, close_without_response, respond_with

BODIES = (b"x", b"x" * (MAX_INLINE_REQUEST_BYTES + 1))


class HttpPoolTest(unittest.IsolatedAsyncioTestCase):
    """Test exchanges with connections that fail or are reused, with short and long bodies."""

    async def request(self, body: bytes, *responses: ResponseScript, times: int = 1) -> HttpPool:
        upstream = FakeUpstream(*responses)
        pool = HttpPool(anyio.current_time)
        async with anyio.create_task_group() as tasks:
            await upstream.start(tasks)
            try:
                for _ in range(times):
                    await pool.request(upstream.address, "POST", "/", [], body)
            finally:
                tasks.cancel_scope.cancel()
        return pool

    async def test_lost_response_has_unknown_outcome_for_any_body_size(self) -> None:
        # inc-e811: a body of over 32 KB is sent by a task group, which wrapped the error in an
        # ExceptionGroup, so that it ended the batch's runner.
        for body in BODIES:
            try:
                await self.request(body, close_without_response)
            except* UpstreamError as group:
                self.assertEqual(len(group.exceptions), 1)
                self.assertIs(group.exceptions[0].outcome, Outcome.UNKNOWN)
            with self.assertRaises(BaseException) as caught:
                await self._request_outside_task_group(body)
            self.assertIsInstance(caught.exception, UpstreamError)

    async def _request_outside_task_group(self, body: bytes) -> None:
        """Send to a peer that closes without a response; raise the error outside a task group."""

        async def close(stream: anyio.abc.SocketStream) -> None:
            await stream.receive()
            await stream.aclose()

        port = free_port()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, close)
            failure: BaseException | None = None
            try:
                await HttpPool(anyio.current_time).request(
                    f"127.0.0.1:{port}", "POST", "/", [], body
                )
            except BaseException as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def test_refused_connection_has_outcome_not_run(self) -> None:
        with self.assertRaises(UpstreamError) as caught:
            await HttpPool(anyio.current_time).request(
                f"127.0.0.1:{free_port()}", "GET", "/", [], b""
            )
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    async def test_connection_is_reused_after_complete_response(self) -> None:
        pool = await self.request(b"x", respond_with(200), times=3)
        self.assertEqual(pool.opened_count, 1)
