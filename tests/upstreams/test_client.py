"""Test which responses of an upstream count for an attempt."""

import unittest

import httpx

from acaciarill.config import Upstream
from acaciarill.errors import Outcome, UpstreamError
from acaciarill.upstreams import UpstreamClient, UpstreamRequest

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
