"""Test that crowds of clients cannot end a process, and that others are served beside them.

The limits of the processes are those of their settings, which are lowered here; a process uses some
40 MB before any client comes.
"""

import anyio

from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.clients.cases import (
    CLIENT_LIMITS,
    LARGE_BODIES,
    MAX_BODY_BYTES,
    PIPELINES,
    CrowdTestCase,
    PeakUsage,
    body_in_chunks,
    body_with_length,
    requests_sent_ahead,
)
from tests.platform.clients.deployment import MB, ProcessLimits, running_deployment


class CalmTest(PlainLoopTestCase):
    """Check that limits for crowds leave a single client inside the pages' limits alone."""

    async def test_one_body_of_the_largest_legal_size(self) -> None:
        limits = ProcessLimits(memory_mb=160)
        client_limits = CLIENT_LIMITS | {"max_body_bytes": 32 * MB}
        async with running_deployment(limits, client_limits) as deployment:
            usage = PeakUsage()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(usage.watch, deployment.front)
                response = await deployment.call("front", "POST", "/p/1", b"x" * (32 * MB))
                tasks.cancel_scope.cancel()
        self.assertEqual((response.head.status, response.body), (200, b"33554432 bytes"))
        self.assertLess(usage.memory_bytes, limits.memory_mb * MB)


class CrowdTest(CrowdTestCase):
    """Guard against clients that make a process hold more than its machine's memory.

    Reported by the users: in a trial, such clients ended a process, which ran out of memory.
    """

    async def test_whole_bodies_of_legal_size(self) -> None:
        await self.check_beside(
            [body_with_length(MAX_BODY_BYTES, MAX_BODY_BYTES) for _ in range(LARGE_BODIES)]
        )

    async def test_whole_bodies_in_chunks(self) -> None:
        await self.check_beside([body_in_chunks(MAX_BODY_BYTES, True) for _ in range(LARGE_BODIES)])

    async def test_bodies_that_stop_a_byte_short(self) -> None:
        await self.check_beside(
            [body_with_length(MAX_BODY_BYTES, MAX_BODY_BYTES - 1) for _ in range(LARGE_BODIES)]
        )

    async def test_bodies_without_a_key_that_stop_a_byte_short(self) -> None:
        await self.check_beside(
            [
                body_with_length(MAX_BODY_BYTES, MAX_BODY_BYTES - 1, key="unknown")
                for _ in range(LARGE_BODIES)
            ]
        )

    async def test_bodies_in_chunks_without_the_last(self) -> None:
        await self.check_beside(
            [body_in_chunks(MAX_BODY_BYTES, False) for _ in range(LARGE_BODIES)]
        )

    async def test_requests_sent_ahead_without_headers(self) -> None:
        request = b"GET / HTTP/1.1\r\n\r\n"
        await self.check_beside([requests_sent_ahead(request) for _ in range(PIPELINES)])

    async def test_requests_sent_ahead_without_a_key(self) -> None:
        request = b"GET /p/1 HTTP/1.1\r\nHost: h.example\r\n\r\n"
        await self.check_beside([requests_sent_ahead(request) for _ in range(PIPELINES)])

    async def test_requests_sent_ahead_to_a_public_route(self) -> None:
        request = b"GET /s/1 HTTP/1.1\r\nHost: h.example\r\n\r\n"
        await self.check_beside([requests_sent_ahead(request) for _ in range(PIPELINES)])

    async def test_requests_sent_ahead_to_the_ready_path(self) -> None:
        request = b"GET /ready HTTP/1.1\r\nHost: h.example\r\n\r\n"
        await self.check_beside([requests_sent_ahead(request) for _ in range(PIPELINES)], "ready")
