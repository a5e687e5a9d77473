"""Track the other daemons and exchange configuration, load and demand with them."""

from ._demand import Demand, DemandTable, Relation
from ._heartbeats import HeartbeatService
from ._loads import LoadTable
from ._membership import Membership

__all__ = ["Demand", "DemandTable", "LoadTable", "Membership", "Relation", "HeartbeatService"]
