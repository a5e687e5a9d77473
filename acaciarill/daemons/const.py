"""Name the periods and limits of membership and spread."""

HEARTBEAT_PERIOD_S = 1.0
SUSPICION_TTL_S = 5.0
FRESHNESS_BOUND_S = 8.0

REMOTE_ASKED_PER_HEARTBEAT = 1.5
"""How many other data centres a relay asks in each heartbeat, on average."""

AGE_UNKNOWN = 65_535

HOST_LIST_SNAPSHOTS = 16
"""How many earlier host lists are kept, to send only what changed since."""

LOAD_STEPS = 32
LOAD_ROW_PERIOD_S = 1.5
"""A child that asks each second gets the row in every second answer, as often as loads are read."""
LOAD_RENEWAL_S = 10.0
"""An observation that does not change is passed on again after so long."""
LOAD_UNKNOWN = 255
OWN_LOAD_KEPT_S = 5.0
DEMAND_KEPT_S = 10.0
MAX_CHANGES_PER_MESSAGE = 6
CHANGES_IN_TURN = 2
"""How many of the changes in a message go to pairs in turn, whatever the size of the change."""

SOURCE_STORE = "store"
"""Name of the Object API among the sources of contact; the others are data centres."""
