"""Run the singleton duties: usage reports, scaling, weight loads and host retirements."""

from ._retire import RetireDuty
from ._scale import FleetDemand, FleetPlan, ScaleDuty, plan_fleet
from ._usage import StartedRequestCounter, UsageDuty
from ._weights import (
    OrderOutcome,
    PendingWeightLoad,
    ReadLoadedVersion,
    SendLoadOrder,
    WeightLoad,
    WeightsDuty,
    assign_models,
    choose_weight_loads,
)

__all__ = [
    "FleetDemand",
    "FleetPlan",
    "OrderOutcome",
    "PendingWeightLoad",
    "ReadLoadedVersion",
    "RetireDuty",
    "ScaleDuty",
    "SendLoadOrder",
    "StartedRequestCounter",
    "UsageDuty",
    "WeightLoad",
    "WeightsDuty",
    "assign_models",
    "choose_weight_loads",
    "plan_fleet",
]
