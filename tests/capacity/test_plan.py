"""Test how many upstreams are ordered and how many of them may be cheap."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.capacity import Demand, Plan, max_cheap_upstreams, plan_target
from acaciarill.capacity._plan import required_upstreams
from acaciarill.config import SpendLimits

SPEND = SpendLimits("m", minimum=1, maximum=20, spare_share=0.25)


class PlanTest(unittest.TestCase):
    """Plan one target in one data centre."""

    def test_scales_up_at_once_and_down_slowly(self) -> None:
        plan = plan_target(None, Demand(100, 10), SPEND)
        peak_count = plan.count
        decisions = 0
        while plan.count == peak_count:
            plan = plan_target(plan, Demand(10, 10), SPEND)
            decisions += 1
        self.assertEqual((plan.count, decisions), (peak_count - 1, 6))
        self.assertGreater(plan_target(plan, Demand(130, 10), SPEND).count, peak_count)

    def test_short_low_load_keeps_count(self) -> None:
        plan = plan_target(None, Demand(100, 10), SPEND)
        low = plan_target(plan, Demand(5, 10), SPEND)
        recovered = plan_target(low, Demand(100, 10), SPEND)
        self.assertEqual((recovered.count, recovered.low_load_decisions), (plan.count, 0))

    def test_next_plan_replaces_unavailable_cheap_upstreams(self) -> None:
        demand = Demand(200, 10, 4)
        plan = plan_target(None, demand, SPEND)
        self.assertGreater(plan.cheap, 0)
        plan.record_granted_cheap(0)
        next_plan = plan_target(plan, demand, SPEND)
        self.assertEqual((next_plan.cheap, next_plan.count), (0, plan.count))
        for _ in range(12):
            next_plan = plan_target(next_plan, demand, SPEND)
        self.assertGreater(next_plan.cheap, 0)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.floats(0, 2000),
        st.integers(1, 64),
        st.integers(1, 7),
        st.floats(0, 1),
        st.integers(0, 40),
    )
    def test_service_survives_loss_of_one_data_centres_cheap_upstreams(
        self, outstanding, slots, data_centres, spare_share, count
    ) -> None:
        demand = Demand(outstanding, slots, data_centres)
        spend = SpendLimits("m", 0, 100, spare_share)
        cheap = max_cheap_upstreams(demand, spend, count)
        self.assertTrue(0 <= cheap <= count)
        if cheap:
            remaining = count * data_centres - cheap
            self.assertGreaterEqual(remaining, required_upstreams(demand, 0.0))

    def test_count_stays_within_minimum_and_maximum(self) -> None:
        self.assertEqual(plan_target(None, Demand(0, 10), SPEND).count, 1)
        self.assertEqual(plan_target(None, Demand(1e6, 10), SPEND).count, 20)
        self.assertEqual(plan_target(Plan(30), Demand(0, 10), SPEND).count, 20)
