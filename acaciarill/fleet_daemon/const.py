"""Define the roles, object kinds and times of a daemon that serves a shared fleet."""

ROLE_KEEPER = "keeper"
"""A daemon without callers. It watches the store for the others and is preferred as duty holder."""
KIND_MEMBERS = "daemons"
CONTROL_DUTY = "control"

REGISTER_RETRY_S = 0.5
POOL_SWEEP_PERIOD_S = 1.0
EXPIRE_PERIOD_S = 0.1
"""How often missing upstreams are checked for expiry. Their grace periods are short, and no change
of the store triggers the check."""
CHANGE_BATCHING_S = 0.3
"""How long changes are collected before the next watch. Every call to the store has a price, and
upstreams that leave keep serving for two seconds."""

MISSING_ENTRY_GRACE_S = 1.0
"""How long an upstream is still used after its entry has gone missing; it keeps serving for two
seconds."""
OUTAGE_ENTRY_GRACE_S = 2.3
"""How long an upstream is still used when its entry went missing around a store outage. Entries
that expired during the outage are registered again within two seconds."""
STORE_OUTAGE_WINDOW_S = 4.0
"""How long after the last failed watch a missing entry is attributed to the store outage."""

FEED_POLL_WAIT_S = 1.0
"""How long a daemon waits for changes at its watcher. An unresponsive watcher is noticed within the
wait and FEED_TIMEOUT_MARGIN_S, so that drained upstreams are known within two seconds."""
FEED_TIMEOUT_MARGIN_S = 0.5
FEED_BACKOFF_S = 3.0
"""Backoff after a watcher did not answer; a suspended host resumes after some seconds."""
FEED_BACKOFF_MAX_S = 24.0
"""Longest backoff for a watcher that stays unresponsive. Each retry takes up to a second, in which
no mirror receives changes."""
FEED_REFUSED_BACKOFF_S = 1.0
"""Backoff after a watcher answered that it does not reach the store."""
FEED_RETRY_S = 0.25
"""How often a daemon that has no watcher looks for one."""
FEED_STALE_AFTER_S = 1.0
"""A mirror whose watch has failed for this long is not passed on; a lost watch is open again within
0.3 s."""
