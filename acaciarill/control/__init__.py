"""Carry out the duties of one daemon at a time: usage, fleet size, weights, retirements."""

from ._retire import RetireDuty
from ._scale import FleetDemand, FleetPlan, ScaleDuty, plan_fleet
from ._usage import RunCounter, UsageDuty
from ._weights import (
    Load,
    Loading,
    OrderOutcome,
    ReadVersion,
    SendOrder,
    WeightsDuty,
    assign_homes,
    choose_loads,
)

__all__ = [
    "FleetDemand",
    "FleetPlan",
    "Load",
    "Loading",
    "SendOrder",
    "assign_homes",
    "OrderOutcome",
    "ReadVersion",
    "RetireDuty",
    "RunCounter",
    "ScaleDuty",
    "UsageDuty",
    "WeightsDuty",
    "choose_loads",
    "plan_fleet",
]
