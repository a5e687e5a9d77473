"""Know the other daemons: membership, spread, and what daemons tell each other."""

from ._demand import Demand, DemandTable, Relation
from ._loads import LoadTable
from ._membership import Membership
from ._spread import Spread

__all__ = ["Demand", "DemandTable", "LoadTable", "Membership", "Relation", "Spread"]
