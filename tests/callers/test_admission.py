"""Test the fair queue, the quotas and admission."""

import unittest
from collections import Counter

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.callers import Admission, FairQueue, Quota, local_quota, max_min_allocation
from acaciarill.errors import RefusedError

NAMES = st.sampled_from("abcdef")


class FairQueueTest(unittest.TestCase):
    """Pop items by deficit round robin."""

    def pop_counts(self, shares: dict[str, float], count: int) -> Counter:
        queue: FairQueue[int] = FairQueue(shares.__getitem__)
        for name in shares:
            for number in range(count):
                queue.push(name, 64, number)
        return Counter(queue.pop()[0] for _ in range(count))

    def test_equal_shares_are_served_equally(self) -> None:
        self.assertEqual(self.pop_counts({"a": 1, "b": 1}, 100), {"a": 50, "b": 50})

    def test_larger_share_is_served_in_proportion(self) -> None:
        served = self.pop_counts({"a": 3, "b": 1}, 100)
        self.assertAlmostEqual(served["a"] / served["b"], 3, delta=0.2)

    def test_ineligible_customer_is_skipped(self) -> None:
        queue: FairQueue[int] = FairQueue(lambda name: 1)
        queue.push("a", 64, 1)
        queue.push("b", 64, 2)
        self.assertEqual(queue.pop(lambda name: name == "b"), ("b", 2))
        self.assertIsNone(queue.pop(lambda name: name == "b"))
        self.assertEqual(queue.size, 1)


class MaxMinTest(unittest.TestCase):
    """Divide a capacity among customers."""

    def test_unused_share_goes_to_other_customers(self) -> None:
        allocation = max_min_allocation(30, {"a": 4, "b": 100, "c": 100}, {"a": 1, "b": 1, "c": 1})
        self.assertEqual(allocation, {"a": 4, "b": 13, "c": 13})

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.floats(1, 1000),
        st.dictionaries(NAMES, st.floats(0.1, 500), min_size=1),
        st.dictionaries(NAMES, st.floats(0.1, 10)),
    )
    def test_allocation_is_at_most_demand_and_at_least_fair_share(
        self, capacity, demands, weights
    ) -> None:
        weights = {name: weights.get(name, 1.0) for name in demands}
        allocation = max_min_allocation(capacity, demands, weights)
        self.assertLessEqual(sum(allocation.values()), capacity * 1.0001)
        total = sum(weights.values())
        for name, demand in demands.items():
            fair_share = capacity * weights[name] / total
            self.assertLessEqual(allocation[name], demand * 1.0001)
            self.assertGreaterEqual(allocation[name] * 1.0001, min(demand, fair_share))
        if sum(demands.values()) >= capacity:
            self.assertAlmostEqual(sum(allocation.values()), capacity, delta=capacity * 0.001)

    def test_daemon_gets_its_part_of_customer_allocation(self) -> None:
        weights = {"big": 1, "small": 1}
        totals = {"big": 90, "small": 10}
        big = local_quota("big", 45, totals, 40, weights)
        self.assertEqual((big.limit, big.guaranteed), (15, 10.0))
        self.assertEqual(local_quota("small", 5, totals, 40, weights).limit, 5)

    def test_rounded_parts_add_up_to_capacity(self) -> None:
        """Twenty daemons share a capacity of 50 between two customers: 1.25 requests each."""
        totals, weights = {"a": 400, "b": 400}, {"a": 1, "b": 1}
        dithers = [(number + 0.5) / 20 for number in range(20)]
        limits = [
            local_quota(name, 20, totals, 50, weights, dither).limit
            for name in totals
            for dither in dithers
        ]
        self.assertEqual(sum(limits), 50)

    def test_customer_missing_from_totals_may_run(self) -> None:
        quota = local_quota("new", 1, {"big": 900}, 40, {"big": 1, "new": 1})
        self.assertGreaterEqual(quota.limit, 1)


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Admit, queue, refuse and release requests."""

    async def test_release_admits_queued_request(self) -> None:
        admission = Admission(1, lambda name: 1)
        await admission.acquire("m", "a", 64, 1)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(admission.acquire, "m", "b", 64, 5)
            await anyio.sleep(0.01)
            self.assertEqual(admission.queued_count, 1)
            admission.release("m", "a")
        self.assertEqual(admission.demand(), {("m", "b"): 1})

    async def test_full_queue_refuses_at_once_with_retry_after(self) -> None:
        admission = Admission(1, lambda name: 1)
        await admission.acquire("m", "a", 64, 1)
        async with anyio.create_task_group() as task_group:
            for _ in range(128):
                task_group.start_soon(admission.acquire, "m", "a", 64, 60)
            await anyio.sleep(0.01)
            with self.assertRaises(RefusedError) as caught:
                await admission.acquire("m", "a", 64, 60)
            task_group.cancel_scope.cancel()
        self.assertEqual((caught.exception.status, caught.exception.retry_after_s), (429, 1.0))
        self.assertEqual(admission.queued_count, 0)

    async def test_cancelled_wait_leaves_no_queued_request(self) -> None:
        admission = Admission(1, lambda name: 1)
        await admission.acquire("m", "a", 64, 1)
        with anyio.move_on_after(0.01):
            await admission.acquire("m", "b", 64, 60)
        admission.release("m", "a")
        self.assertEqual(
            (admission.running, admission.queued_count, admission.demand()), (0, 0, {})
        )

    async def test_customer_at_its_quota_does_not_block_another(self) -> None:
        limits = {"big": Quota(1, 1), "small": Quota(5, 5)}
        admission = Admission(10, lambda name: 1, lambda target, name, demand: limits[name])
        await admission.acquire("m", "big", 64, 1)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(admission.acquire, "m", "big", 64, 60)
            await anyio.sleep(0.01)
            await admission.acquire("m", "small", 64, 1)
            self.assertEqual(admission.queued_count, 1)
            task_group.cancel_scope.cancel()

    async def test_request_beyond_own_share_is_borrowed(self) -> None:
        admission = Admission(10, lambda name: 1, lambda target, name, demand: Quota(3, 2.0))
        borrowed = [await admission.acquire("m", "big", 64, 1) for _ in range(3)]
        self.assertEqual(borrowed, [False, False, True])
