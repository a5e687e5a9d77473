"""Test that each window is reported once, with one figure, by whoever holds the duty."""

import unittest

from acaciarill.control import RunCounter, UsageDuty
from acaciarill.leases import Lease
from tests.fakes.store import FakeStore

LEASE = Lease(1, 1e9)


class UsageTest(unittest.IsolatedAsyncioTestCase):
    """Report windows of five seconds over two daemons."""

    def setUp(self) -> None:
        self.now = 1000.0
        self.store = FakeStore()
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.taken = True
        self.counters = {name: RunCounter(5.0, lambda: self.now) for name in ("a", "b")}

    def duty(self) -> UsageDuty:
        async def collect(window: int) -> dict[str, dict[int, dict[str, int]]]:
            return {name: counter.since(window) for name, counter in self.counters.items()}

        async def report(window: int, counts: dict[str, int], lease: Lease) -> bool:
            self.reports.append((window, counts))
            return self.taken

        return UsageDuty(self.counters["a"], collect, report, self.store)

    async def test_counts_of_all_daemons_are_summed_by_the_time_of_the_run(self) -> None:
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

    async def test_counts_of_a_killed_daemon_stay(self) -> None:
        duty = self.duty()
        await duty.take_over(LEASE)
        self.counters["b"].count("x", 1001.0)
        await duty.run_once(LEASE)
        del self.counters["b"]
        self.now = 1008.0
        await duty.run_once(LEASE)
        self.assertEqual(self.reports[-1], (200, {"x": 1}))

    async def test_unanswered_report_is_repeated_with_the_same_figure(self) -> None:
        duty = self.duty()
        await duty.take_over(LEASE)
        self.counters["a"].count("x", 1001.0)
        self.now = 1004.0
        await duty.run_once(LEASE)
        self.now, self.taken = 1008.0, False
        await duty.run_once(LEASE)
        self.counters["a"].count("x", 1002.0)
        self.taken = True
        await duty.run_once(LEASE)
        self.assertEqual([item for item in self.reports if item[0] == 200], [(200, {"x": 1})] * 2)

    async def test_second_holder_reports_what_the_first_sealed(self) -> None:
        first, second = self.duty(), self.duty()
        await first.take_over(LEASE)
        await second.take_over(LEASE)
        self.counters["a"].count("x", 1001.0)
        self.now = 1008.0
        await first.run_once(LEASE)
        self.counters["a"].count("x", 1002.0)
        await second.run_once(LEASE)
        self.assertEqual([item for item in self.reports if item[0] == 200], [(200, {"x": 1})] * 2)
