"""Test the client of the Object API."""

import unittest

import httpx

from acaciarill.errors import Outcome, StoreConflictError, StoreError
from acaciarill.object_store import ObjectStore


def store_responding_with(status: int) -> ObjectStore:
    transport = httpx.MockTransport(lambda request: httpx.Response(status))
    return ObjectStore("http://127.0.0.1:1", httpx.AsyncClient(transport=transport))


class ResponseStatusTest(unittest.IsolatedAsyncioTestCase):
    """Test that each response status becomes a value or a typed error."""

    async def test_rate_limited_calls_raise_with_outcome_not_run(self) -> None:
        store = store_responding_with(429)
        for call in (store.get("a"), store.put("a", b"", 0), store.list("a"), store.delete("a")):
            with self.assertRaises(StoreError) as raised:
                await call
            self.assertIs(raised.exception.outcome, Outcome.NOT_RUN)

    async def test_error_statuses_raise_store_error(self) -> None:
        for status in (400, 403, 500, 503):
            with self.assertRaises(StoreError):
                await store_responding_with(status).put("a", b"", 0)

    async def test_missing_object_is_none(self) -> None:
        self.assertIsNone(await store_responding_with(404).get("a"))

    async def test_failed_precondition_raises_conflict(self) -> None:
        with self.assertRaises(StoreConflictError):
            await store_responding_with(412).put("a", b"", 1)
