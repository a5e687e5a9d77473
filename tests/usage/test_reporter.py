"""Test that repeated reports of a window are identical."""

import unittest

from acaciarill.config import ConfigCoordinator
from acaciarill.errors import AcaciarillError, Step
from acaciarill.leases import Lease
from acaciarill.usage import UsageCounter, UsageCounts, UsageReporter, report_sender
from acaciarill.usage._counter import ShardKey
from acaciarill.usage._shards import shard_object_key
from tests.fakes.store import FakeStore

WINDOW_S = 60


class FakeSender:
    """Record reports; lose the responses of the next ones on demand, after they took effect."""

    def __init__(self) -> None:
        self.reports: list[tuple[str, int, dict]] = []
        self.lost_responses = 0

    async def send(self, method: str, url: str, epoch: int, order: dict) -> dict:
        self.reports.append((url, epoch, order))
        if self.lost_responses:
            self.lost_responses -= 1
            raise AcaciarillError("the response was lost", step=Step.REPORT)
        return {}


class ReporterTest(unittest.IsolatedAsyncioTestCase):
    """Report windows of one owner on a virtual wall clock."""

    def setUp(self) -> None:
        self.now = 6000.0
        self.store = FakeStore()
        self.sender = FakeSender()
        self.counter = UsageCounter(ConfigCoordinator(), "me", lambda: self.now)
        self.reporter = self.new_reporter()

    def new_reporter(self) -> UsageReporter:
        return UsageReporter(
            "almaty",
            self.counter,
            self.store,
            self.sender,
            report_sender("http://usage"),
            lambda: self.now,
        )

    async def write_shard(self, window: int, incarnation: str, requests: int) -> None:
        key = shard_object_key(ShardKey("almaty", window, incarnation))
        body = b'{"acme":{"requests":%d,"tokens":0}}' % requests
        current = await self.store.get(key)
        await self.store.put(key, body, current[1] if current else 0)

    def reports_of(self, window: int) -> list[dict]:
        return [body for url, _, body in self.sender.reports if url.endswith(f"/acme/{window}")]

    async def test_next_lease_holder_repeats_the_sealed_report(self) -> None:
        await self.write_shard(6000, "a", 3)
        self.now = 6000 + WINDOW_S * 1.5
        self.sender.lost_responses = 1
        with self.assertRaises(AcaciarillError):
            await self.reporter.run_once(Lease(1, 0))
        await self.write_shard(6000, "late", 5)
        await self.new_reporter().run_once(Lease(2, 0))
        self.assertEqual(len(self.reports_of(6000)), 2)
        self.assertEqual(self.reports_of(6000)[0], self.reports_of(6000)[1])
        self.now += WINDOW_S
        await self.new_reporter().run_once(Lease(3, 0))
        self.assertEqual(self.reports_of(6060)[0]["corrections"]["6000"]["requests"], 5)

    async def test_store_outage_over_the_end_of_a_window_makes_its_report_late(self) -> None:
        await self.write_shard(6000, "a", 3)
        self.store.unavailable = True
        self.now = 6000 + WINDOW_S * 4
        with self.assertRaises(AcaciarillError):
            await self.reporter.run_once(Lease(1, 0))
        self.store.unavailable = False
        await self.reporter.run_once(Lease(1, 0))
        self.assertEqual(self.reports_of(6000), [{"requests": 3, "tokens": 0, "corrections": {}}])
        self.assertGreater(self.reporter.late_reports, 0)

    async def test_repeated_report_differs_when_the_sealed_window_is_deleted(self) -> None:
        """Check that identical reports depend on the sealed window in the store."""
        await self.write_shard(6000, "a", 3)
        self.now = 6000 + WINDOW_S * 1.5
        self.sender.lost_responses = 1
        with self.assertRaises(AcaciarillError):
            await self.reporter.run_once(Lease(1, 0))
        await self.store.delete("usage/sealed/almaty/6000")
        await self.write_shard(6000, "late", 5)
        await self.new_reporter().run_once(Lease(2, 0))
        self.assertNotEqual(self.reports_of(6000)[0], self.reports_of(6000)[1])

    async def test_counts_are_merged_by_maximum(self) -> None:
        counts = UsageCounts(3, 30)
        self.assertFalse(counts.merge_maximum(UsageCounts(2, 20)))
        self.assertTrue(counts.merge_maximum(UsageCounts(4, 10)))
        self.assertEqual((counts.requests, counts.tokens), (4, 30))
