"""Define the roles, object kinds and times of a daemon that serves a shared fleet."""

ROLE_KEEPER = "keeper"
"""A daemon without clients. It watches the store for the others and is preferred as duty holder."""
KIND_MEMBERS = "daemons"
DEFAULT_MAX_OBJECT_BYTES = 1024 * 1024
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024
MAX_CONTROL_BODY_BYTES = 4096
CONTROL_DUTY = "control"
"""The duty whose lease covers usage reports, scaling, weight loads and host retirements."""

CRASH_LEARNING_TIMEOUT_S = 1.0
"""How long a daemon that has just started waits for what others know before it is ready."""
REGISTRATION_RETRY_DELAY_S = 0.5
POOL_SWEEP_PERIOD_S = 1.0
MISSING_ENTRY_CHECK_PERIOD_S = 0.1
"""How often upstreams with a missing entry are checked for an expired grace period. Grace periods
are short, and their end is not a change in the store that would trigger the check."""
CHANGE_BATCHING_S = 0.3
"""How long changes are collected before the next watch. Every call to the store is priced, and
upstreams that leave keep serving for two seconds."""

OUTAGE_ENTRY_GRACE_S = 2.3
"""How long after a store outage an upstream is still used whose entry is missing. Entries that
expired during the outage are registered again within two seconds."""

FEED_POLL_WAIT_S = 1.0
"""Long-poll time of a call to the watcher. An unresponsive watcher is detected within this time
plus FEED_TIMEOUT_MARGIN_S, so that the drain of an upstream is noticed within two
seconds."""
FEED_TIMEOUT_MARGIN_S = 0.5
FEED_BACKOFF_S = 3.0
"""First backoff after a watcher did not answer; a suspended host resumes after some seconds."""
FEED_BACKOFF_MAX_S = 24.0
"""Longest backoff for a watcher that stays unresponsive. Each retry takes up to a second, during
which no mirror receives changes."""
FEED_REFUSED_BACKOFF_S = 1.0
"""Backoff after a watcher answered that its own mirrors are not up to date."""
FEED_RETRY_DELAY_S = 0.25
"""How long a daemon without a watcher waits before it looks for one again."""
FEED_STALE_AFTER_S = 1.0
"""A mirror whose watch has failed for longer than this is not served to other daemons; a lost watch
is reopened within 0.3 s."""
FEED_OVERDUE_AFTER_S = 0.3
"""A mirror of an urgent kind is not served either while its watch is overdue for longer than this;
a slow store answers within 0.25 s."""
FEED_BRIDGE_DELAY_S = 0.1
"""How long a daemon that has lost its watcher waits for the next one before it also follows the
store itself."""
