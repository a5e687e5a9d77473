"""Test how many upstreams are ordered, and where."""

import unittest

from acaciarill.control import FleetDemand, plan_fleet
from acaciarill.control._scale import CALM_S, spread
from acaciarill.fleet import Scaling

SCALING = Scaling(1, 3, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


class PlanFleetTest(unittest.TestCase):
    """Follow the demand of steps that come every few seconds."""

    def test_step_that_needs_more_slots_grows_the_fleet_at_once(self) -> None:
        plan = plan_fleet(None, {"a": 1, "b": 1}, FleetDemand(48, 8), SCALING, 0.0)
        self.assertEqual(plan.regular, {"a": 3, "b": 2, "c": 3})

    def test_fleet_stays_within_its_bounds(self) -> None:
        plan = plan_fleet(None, {"a": 1}, FleetDemand(1000, 8), SCALING, 0.0)
        self.assertEqual(plan.regular, {"a": 3, "b": 3, "c": 3})

    def test_gap_between_two_steps_does_not_shrink_it(self) -> None:
        plan = plan_fleet(None, {}, FleetDemand(48, 8), SCALING, 0.0)
        idle = FleetDemand(0, 8)
        later = plan_fleet(plan, {}, idle, SCALING, 1.0)
        self.assertEqual(later.total, plan.total)
        later = plan_fleet(later, {}, idle, SCALING, 1.0 + CALM_S)
        self.assertEqual(later.total, plan.total - 1)

    def test_spread_moves_little(self) -> None:
        self.assertEqual(spread(5, SCALING, {"a": 1, "b": 3, "c": 1}), {"a": 1, "b": 3, "c": 1})
