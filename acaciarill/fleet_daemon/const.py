"""Name the roles, kinds and times of a daemon that serves a shared fleet."""

ROLE_KEEPER = "keeper"
"""A daemon without callers; it watches the store for others and is preferred for the duties."""
KIND_MEMBERS = "daemons"
DUTY = "control"

REGISTER_RETRY_S = 0.5
POOL_SWEEP_S = 1.0
EXPIRE_PERIOD_S = 0.1
"""How often vanished upstreams are looked through; their time is short, and nobody else wakes."""
GATHER_S = 0.3
"""Every call to the store has a price; upstreams that leave serve on for two seconds."""

VANISHED_KEPT_S = 1.0
"""How long an upstream whose entry vanished is still used; it serves on for two seconds."""
LAPSED_KEPT_S = 2.3
"""The same after the store was away: entries that lapsed meanwhile are back within two seconds."""
OUTAGE_KEPT_S = 4.0
"""How long after the last failed watch entries may still be missing for that reason."""

FEED_WAIT_S = 1.0
"""How long a daemon waits for changes at a peer; a silent one is noticed within this and the grace,
so that drained upstreams are known within two seconds."""
FEED_GRACE_S = 0.5
FEED_AVOID_S = 3.0
"""How long a peer that fell silent is not followed; frozen hosts wake after some seconds."""
FEED_AVOID_MAX_S = 24.0
"""The same for one that stays silent: each try takes up to a second, in which no view grows."""
FEED_REFUSED_S = 1.0
"""The same for a peer that answered that it does not reach the store."""
FEED_RETRY_S = 0.25
FEED_FAILING_S = 1.0
"""A view that was not followed for so long is not passed on; a cut watch is back within 0.3 s."""
