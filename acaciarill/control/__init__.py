"""Run the singleton duties: usage reports, scaling, weight loads and host retirements."""

from ._load_limit import LoadLimit
from ._retire import RetireDuty
from ._scale import FleetDemand, FleetPlan, ScaleDuty, plan_fleet
from ._usage import StartedRequestCounter, UsageDuty
from ._weights import (
    OrderBackoff,
    OrderOutcome,
    OrderWeightLoad,
    PendingWeightLoad,
    ReadLoadedVersion,
    WeightLoad,
    WeightsDuty,
    assign_models,
    choose_weight_loads,
)

__all__ = [
    "FleetDemand",
    "FleetPlan",
    "LoadLimit",
    "OrderBackoff",
    "OrderOutcome",
    "OrderWeightLoad",
    "PendingWeightLoad",
    "ReadLoadedVersion",
    "RetireDuty",
    "ScaleDuty",
    "StartedRequestCounter",
    "UsageDuty",
    "WeightLoad",
    "WeightsDuty",
    "assign_models",
    "choose_weight_loads",
    "plan_fleet",
]
