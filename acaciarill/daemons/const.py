"""Define periods and limits of heartbeats, membership and the load and demand tables."""

HEARTBEAT_PERIOD_S = 1.0
SUSPICION_TTL_S = 5.0
FRESHNESS_BOUND_S = 8.0
"""Maximum time since the last contact of a daemon that counts as fresh."""

REMOTE_DATA_CENTRES_PER_HEARTBEAT = 1.5
"""Average number of other data centres that a relay contacts in each heartbeat."""

UNKNOWN_AGE_MS = 65_535
"""Value of an unknown contact age, or of one too long for 16 bits."""

MAX_HOST_LIST_SNAPSHOTS = 16
"""Number of host lists kept for sending only the changes since one of them."""

OCCUPANCY_STEPS = 32
"""Number of steps into which an occupancy of 1 is quantised."""
OCCUPANCY_ROW_MIN_PERIOD_S = 1.5
"""Minimum time between two rows that a parent sends to the same child.

With a heartbeat each second, the row is in every second reply: as often as loads are polled.
"""
OCCUPANCY_RESEND_PERIOD_S = 10.0
"""Period after which an unchanged occupancy is sent to the parent again."""
UNKNOWN_OCCUPANCY = 255
"""Value of a row for an upstream whose occupancy is unknown."""
OBSERVED_OCCUPANCY_TTL_S = 5.0
"""Period in which an occupancy polled by this daemon takes precedence over the parent's row."""
DEMAND_TTL_S = 10.0
MAX_CHANGES_PER_MESSAGE = 6
ROTATED_CHANGES_PER_MESSAGE = 2
"""Number of changes in a message that are sent in rotation, whatever their size."""

SOURCE_STORE = "store"
"""Name of the Object API among the sources of contact; the others are data centres."""
