"""Test how many upstreams are ordered in which data centre."""

import unittest

from acaciarill.control import FleetDemand, plan_fleet
from acaciarill.control._scale import SCALE_DOWN_DELAY_S, distribute_upstreams
from acaciarill.fleet import Scaling

SCALING = Scaling(1, 3, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})


class PlanFleetTest(unittest.TestCase):
    """Scale with the demand of training steps that start every few seconds."""

    def test_fleet_scales_up_at_once(self) -> None:
        plan = plan_fleet(None, {"a": 1, "b": 1}, FleetDemand(48, 8), SCALING, 0.0)
        self.assertEqual(plan.regular, {"a": 3, "b": 2, "c": 3})

    def test_fleet_stays_within_the_maximum_per_data_centre(self) -> None:
        plan = plan_fleet(None, {"a": 1}, FleetDemand(1000, 8), SCALING, 0.0)
        self.assertEqual(plan.regular, {"a": 3, "b": 3, "c": 3})

    def test_fleet_scales_down_only_after_the_delay(self) -> None:
        plan = plan_fleet(None, {}, FleetDemand(48, 8), SCALING, 0.0)
        idle = FleetDemand(0, 8)
        later = plan_fleet(plan, {}, idle, SCALING, 1.0)
        self.assertEqual(later.total, plan.total)
        later = plan_fleet(later, {}, idle, SCALING, 1.0 + SCALE_DOWN_DELAY_S)
        self.assertEqual(later.total, plan.total - 1)

    def test_distribution_keeps_upstreams_where_they_are(self) -> None:
        self.assertEqual(
            distribute_upstreams(5, SCALING, {"a": 1, "b": 3, "c": 1}), {"a": 1, "b": 3, "c": 1}
        )
