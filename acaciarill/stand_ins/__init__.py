"""Simulate the platform's interfaces and the upstreams, for development and tests."""

from ._base import StandIn, run_stand_in
from .capacity import CapacityStandIn
from .engine import EngineStandIn
from .host_list import HostListStandIn
from .object_api import ObjectApiStandIn
from .plain_service import PlainServiceStandIn
from .scorer import ScorerStandIn
from .usage import UsageStandIn
from .weight_store import WeightStoreStandIn

__all__ = [
    "CapacityStandIn",
    "EngineStandIn",
    "HostListStandIn",
    "ObjectApiStandIn",
    "PlainServiceStandIn",
    "ScorerStandIn",
    "StandIn",
    "UsageStandIn",
    "WeightStoreStandIn",
    "run_stand_in",
]
