"""Know the other daemons: membership, spread, and what daemons tell each other."""

from ._demand import Demand, DemandTable, Relation
from ._heartbeats import HeartbeatService
from ._loads import LoadTable
from ._membership import Membership

__all__ = ["Demand", "DemandTable", "LoadTable", "Membership", "Relation", "HeartbeatService"]
