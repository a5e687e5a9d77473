"""Test the size of orders and how much of it may be cheap."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.capacity import Demand, Plan, cheap_allowance, plan_target
from acaciarill.capacity._plan import needed_upstreams
from acaciarill.config import Spend

SPEND = Spend("m", minimum=1, maximum=20, spare_share=0.25)


class PlanTest(unittest.TestCase):
    """Plan one target in one data centre."""

    def test_it_grows_at_once_and_shrinks_slowly(self) -> None:
        plan = plan_target(None, Demand(100, 10), SPEND)
        high = plan.count
        decisions = 0
        while plan.count == high:
            plan = plan_target(plan, Demand(10, 10), SPEND)
            decisions += 1
        self.assertEqual((plan.count, decisions), (high - 1, 6))
        self.assertGreater(plan_target(plan, Demand(130, 10), SPEND).count, high)

    def test_a_short_lull_changes_nothing(self) -> None:
        plan = plan_target(None, Demand(100, 10), SPEND)
        lull = plan_target(plan, Demand(5, 10), SPEND)
        again = plan_target(lull, Demand(100, 10), SPEND)
        self.assertEqual((again.count, again.low_load_decisions), (plan.count, 0))

    def test_unavailable_cheap_ones_are_made_up_for_by_the_next_plan(self) -> None:
        demand = Demand(200, 10, 4)
        plan = plan_target(None, demand, SPEND)
        self.assertGreater(plan.cheap, 0)
        plan.record_granted_cheap(0)
        following = plan_target(plan, demand, SPEND)
        self.assertEqual((following.cheap, following.count), (0, plan.count))
        for _ in range(12):
            following = plan_target(following, demand, SPEND)
        self.assertGreater(following.cheap, 0)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.floats(0, 2000),
        st.integers(1, 64),
        st.integers(1, 7),
        st.floats(0, 1),
        st.integers(0, 40),
    )
    def test_losing_one_data_centres_cheap_part_leaves_the_service(
        self, queued, slots, data_centres, spare, count
    ) -> None:
        demand = Demand(queued, slots, data_centres)
        spend = Spend("m", 0, 100, spare)
        cheap = cheap_allowance(demand, spend, count)
        self.assertTrue(0 <= cheap <= count)
        if cheap:
            left = count * data_centres - cheap
            self.assertGreaterEqual(left, needed_upstreams(demand, 0.0))

    def test_an_order_is_within_its_bounds(self) -> None:
        self.assertEqual(plan_target(None, Demand(0, 10), SPEND).count, 1)
        self.assertEqual(plan_target(None, Demand(1e6, 10), SPEND).count, 20)
        self.assertEqual(plan_target(Plan(30), Demand(0, 10), SPEND).count, 20)
