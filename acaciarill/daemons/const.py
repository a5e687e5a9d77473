"""Define periods and limits of heartbeats, membership and the load and demand tables."""

HEARTBEAT_PERIOD_S = 1.0
SUSPICION_TTL_S = 5.0
FRESHNESS_BOUND_S = 8.0

REMOTE_DATA_CENTRES_PER_HEARTBEAT = 1.5
"""Average number of other data centres that a relay contacts in each heartbeat."""

UNKNOWN_AGE_MS = 65_535

MAX_HOST_LIST_SNAPSHOTS = 16
"""Number of host lists kept for sending only the changes since one of them."""

LOAD_STEPS = 32
"""Number of steps into which an occupancy of 1 is quantised."""
LOAD_ROW_MIN_PERIOD_S = 1.5
"""With a heartbeat each second, a child gets the row in every second reply.

That is as often as the loads are polled.
"""
LOAD_RESEND_PERIOD_S = 10.0
"""Period after which an unchanged load is sent to the parent again."""
UNKNOWN_LOAD = 255
OBSERVED_LOAD_TTL_S = 5.0
"""Period in which a load polled by this daemon takes precedence over the parent's row."""
DEMAND_TTL_S = 10.0
MAX_CHANGES_PER_MESSAGE = 6
ROTATED_CHANGES_PER_MESSAGE = 2
"""Number of changes in a message that are sent in rotation, whatever their size."""

SOURCE_STORE = "store"
"""Name of the Object API among the sources of contact; the others are data centres."""
