"""Test that each usage window is reported with the same counts by every holder of the duty."""

import unittest

from acaciarill.control import StartedRequestCounter, UsageDuty
from acaciarill.leases import Lease
from tests.fakes.store import FakeStore

LEASE = Lease(1, 1e9)


class UsageTest(unittest.IsolatedAsyncioTestCase):
    """Report windows of five seconds with the counts of two daemons."""

    def setUp(self) -> None:
        self.now = 1000.0
        self.store = FakeStore()
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.accepted = True
        self.counters = {name: StartedRequestCounter(5.0, lambda: self.now) for name in ("a", "b")}

    def duty(self) -> UsageDuty:
        async def collect(window: int) -> dict[str, dict[int, dict[str, int]]]:
            return {name: counter.counts_since(window) for name, counter in self.counters.items()}

        async def report(window: int, counts: dict[str, int], lease: Lease) -> bool:
            self.reports.append((window, counts))
            return self.accepted

        return UsageDuty(self.counters["a"], collect, report, self.store)

    async def test_counts_of_all_daemons_are_summed_by_start_time(self) -> None:
        duty = self.duty()
        await duty.take_over(LEASE)
        self.counters["a"].count("x", 1000.2)
        self.counters["b"].count("x", 1004.9)
        self.counters["b"].count("y", 1005.0)
        self.counters["b"].count("", 1003.0)
        self.now = 1008.0
        await duty.run_once(LEASE)
        self.assertEqual(self.reports[-1], (200, {"x": 2}))
        self.now = 1013.0
        await duty.run_once(LEASE)
        self.assertEqual(self.reports[-1], (201, {"y": 1}))

    async def test_counts_collected_before_a_daemon_was_killed_are_reported(self) -> None:
        duty = self.duty()
        await duty.take_over(LEASE)
        self.counters["b"].count("x", 1001.0)
        await duty.run_once(LEASE)
        del self.counters["b"]
        self.now = 1008.0
        await duty.run_once(LEASE)
        self.assertEqual(self.reports[-1], (200, {"x": 1}))

    async def test_failed_report_is_sent_again_with_the_same_counts(self) -> None:
        duty = self.duty()
        await duty.take_over(LEASE)
        self.counters["a"].count("x", 1001.0)
        self.now = 1004.0
        await duty.run_once(LEASE)
        self.now, self.accepted = 1008.0, False
        await duty.run_once(LEASE)
        self.counters["a"].count("x", 1002.0)
        self.accepted = True
        await duty.run_once(LEASE)
        self.assertEqual([item for item in self.reports if item[0] == 200], [(200, {"x": 1})] * 2)

    async def test_second_holder_reports_the_totals_sealed_by_the_first(self) -> None:
        first, second = self.duty(), self.duty()
        await first.take_over(LEASE)
        await second.take_over(LEASE)
        self.counters["a"].count("x", 1001.0)
        self.now = 1008.0
        await first.run_once(LEASE)
        self.counters["a"].count("x", 1002.0)
        await second.run_once(LEASE)
        self.assertEqual([item for item in self.reports if item[0] == 200], [(200, {"x": 1})] * 2)
