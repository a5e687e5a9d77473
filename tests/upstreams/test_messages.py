"""Test that the response to a generation is cut at the limit that its tokens set."""

import unittest
from collections.abc import AsyncIterator

from acaciarill.callers._generate import prepare_engine_request
from acaciarill.errors import UpstreamError
from acaciarill.upstreams import UpstreamRequest, UpstreamResponse, generation_limit_bytes

CHUNK = b"x" * 10_000


async def endless_chunks() -> AsyncIterator[bytes]:
    while True:
        yield CHUNK


async def close() -> None:
    return


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """Read responses that do not end."""

    # review/1 on a related path: a sample's response and a stream's last line had no limit.
    async def test_endless_generation_is_cut_and_counts_as_cut_short(self) -> None:
        request = UpstreamRequest("id", "c", "m", "POST", "/", [], b"", 0.0)
        prepare_engine_request(request, b'{"prompt":"p","max_tokens":100}')
        self.assertEqual(request.max_response_bytes, generation_limit_bytes(100))
        ends: list[bool] = []
        response = UpstreamResponse(
            200, [], endless_chunks(), close, max_bytes=request.max_response_bytes
        )
        response.on_end = ends.append
        with self.assertRaises(UpstreamError):
            await response.read()
        self.assertEqual(ends, [False])
        self.assertLessEqual(response.received_bytes, request.max_response_bytes + len(CHUNK))

    async def test_response_without_a_limit_is_passed_on_as_it_comes(self) -> None:
        response = UpstreamResponse(200, [], endless_chunks(), close)
        chunks = response.chunks()
        for _ in range(1000):
            self.assertEqual(await anext(chunks), CHUNK)
