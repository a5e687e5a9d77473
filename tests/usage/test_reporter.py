"""Test that a window is reported once with one figure, whatever is repeated."""

import unittest

from acaciarill.config import ConfigCoordinator
from acaciarill.errors import AcaciarillError, Step
from acaciarill.leases import Lease
from acaciarill.usage import Figures, UsageCounter, UsageReporter, report_sender
from acaciarill.usage._counter import SlotKey
from acaciarill.usage._shards import slot_name
from tests.fakes.store import FakeStore

WINDOW_S = 60


class FakeSender:
    """Note reports; fail the next ones on demand, after they took effect."""

    def __init__(self) -> None:
        self.reports: list[tuple[str, int, dict]] = []
        self.lose_next = 0

    async def send(self, method: str, url: str, epoch: int, order: dict) -> dict:
        self.reports.append((url, epoch, order))
        if self.lose_next:
            self.lose_next -= 1
            raise AcaciarillError("the answer was lost", step=Step.REPORT)
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

    async def write_slot(self, window: int, incarnation: str, requests: int) -> None:
        key = slot_name(SlotKey("almaty", window, incarnation))
        body = b'{"acme":{"requests":%d,"tokens":0}}' % requests
        current = await self.store.get(key)
        await self.store.put(key, body, current[1] if current else 0)

    def figures(self, window: int) -> list[dict]:
        return [body for url, _, body in self.sender.reports if url.endswith(f"/acme/{window}")]

    async def test_a_successor_repeats_the_sealed_figure(self) -> None:
        await self.write_slot(6000, "a", 3)
        self.now = 6000 + WINDOW_S * 1.5
        self.sender.lose_next = 1
        with self.assertRaises(AcaciarillError):
            await self.reporter.run_once(Lease(1, 0))
        await self.write_slot(6000, "late", 5)
        await self.new_reporter().run_once(Lease(2, 0))
        self.assertEqual(len(self.figures(6000)), 2)
        self.assertEqual(self.figures(6000)[0], self.figures(6000)[1])
        self.now += WINDOW_S
        await self.new_reporter().run_once(Lease(3, 0))
        self.assertEqual(self.figures(6060)[0]["corrections"]["6000"]["requests"], 5)

    async def test_an_outage_over_the_end_of_a_window_makes_it_late(self) -> None:
        await self.write_slot(6000, "a", 3)
        self.store.down = True
        self.now = 6000 + WINDOW_S * 4
        with self.assertRaises(AcaciarillError):
            await self.reporter.run_once(Lease(1, 0))
        self.store.down = False
        await self.reporter.run_once(Lease(1, 0))
        self.assertEqual(self.figures(6000), [{"requests": 3, "tokens": 0, "corrections": {}}])
        self.assertGreater(self.reporter.late, 0)

    async def test_without_a_stored_seal_the_figures_differ(self) -> None:
        """Show that the check fails when sealing is taken out."""
        await self.write_slot(6000, "a", 3)
        self.now = 6000 + WINDOW_S * 1.5
        self.sender.lose_next = 1
        with self.assertRaises(AcaciarillError):
            await self.reporter.run_once(Lease(1, 0))
        await self.store.delete("usage/sealed/almaty/6000")
        await self.write_slot(6000, "late", 5)
        await self.new_reporter().run_once(Lease(2, 0))
        self.assertNotEqual(self.figures(6000)[0], self.figures(6000)[1])

    async def test_a_slot_only_grows(self) -> None:
        held = Figures(3, 30)
        self.assertFalse(held.raise_to(Figures(2, 20)))
        self.assertTrue(held.raise_to(Figures(4, 10)))
        self.assertEqual((held.requests, held.tokens), (4, 30))
