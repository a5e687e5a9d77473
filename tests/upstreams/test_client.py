"""Test which responses of an upstream count for an attempt."""

import time
import unittest
from dataclasses import replace

import anyio
import httpx

from acaciarill.config import Upstream
from acaciarill.errors import Outcome, UpstreamError
from acaciarill.upstreams import UpstreamClient, UpstreamRequest
from acaciarill.upstreams.const import MAX_CONTROL_RESPONSE_BYTES
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawUpstream

UPSTREAM = Upstream(
    name="portal-1",
    serves="portal",
    kind="plain",
    data_centre="dc-1",
    address="127.0.0.1:1",
    price_per_hour=1.0,
    slots=4,
    declares_not_run=True,
)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Refuse a request, and name a request in the response."""

    async def outcome(self, **headers: str) -> Outcome:
        client = UpstreamClient()
        client.pools[UPSTREAM.address] = httpx.AsyncClient(
            transport=httpx.MockTransport(
                lambda request: httpx.Response(503, headers={"x-outcome": "not-run"} | headers)
            )
        )
        request = UpstreamRequest("id", "c", "portal", "POST", "/", [], b"", 0.0)
        with self.assertRaises(UpstreamError) as caught:
            await client.send(UPSTREAM, request, "attempt-1", 1.0)
        await client.aclose()
        return caught.exception.outcome

    async def test_refusal_of_this_attempt_or_of_no_named_one_counts(self) -> None:
        self.assertIs(await self.outcome(), Outcome.NOT_RUN)
        self.assertIs(await self.outcome(**{"x-request-id": "attempt-1"}), Outcome.NOT_RUN)

    # review/4 on a related path: the refusal of another request was believed.
    async def test_refusal_of_another_request_does_not_count(self) -> None:
        self.assertIs(await self.outcome(**{"x-request-id": "attempt-0"}), Outcome.UNKNOWN)


class FaultyUpstreamTest(PlainLoopTestCase):
    """Call upstreams whose responses are none."""

    # Reported by other operators: a response of status 000 was passed on as an answer.
    async def test_status_that_is_none_is_an_error(self) -> None:
        for status in (b"000", b"099", b"600", b"999"):
            upstream = RawUpstream(
                lambda request, status=status: RawAnswer(
                    b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 0\r\n\r\n"
                )
            )
            client = UpstreamClient()
            request = UpstreamRequest("id", "c", "portal", "POST", "/", [], b"", 0.0)
            async with anyio.create_task_group() as tasks:
                await upstream.start(tasks)
                with self.subTest(status), self.assertRaises(UpstreamError) as caught:
                    await client.send(
                        replace(UPSTREAM, address=upstream.address), request, "attempt-1", 1.0
                    )
                tasks.cancel_scope.cancel()
            await client.aclose()
            self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    # Reported by other operators: a body without end was kept until the memory was exhausted.
    async def test_response_without_end_to_a_call_of_the_daemon_is_cut(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        upstream = RawUpstream(lambda request: RawAnswer(head, repeated=b"x" * 0x10000))
        client = UpstreamClient()
        async with anyio.create_task_group() as tasks:
            await upstream.start(tasks)
            with anyio.fail_after(10):
                with self.assertRaisesRegex(httpx.ReadError, str(MAX_CONTROL_RESPONSE_BYTES)):
                    await client.control_http.get(f"http://{upstream.address}/load")
                started_at = time.monotonic()
                await client.cancel(replace(UPSTREAM, address=upstream.address), "attempt-1")
                self.assertLess(time.monotonic() - started_at, 2.0)
            tasks.cancel_scope.cancel()
        await client.aclose()
