"""Name the timeouts, limits and weights of serving a shared fleet of upstreams."""

ATTEMPT_OBJECTIVE_FACTOR = 2.0
"""An attempt that may be repeated is given up after so many times the route's objective."""
ATTEMPT_MIN_S = 0.25
EJECT_S = 1.5
"""How long an upstream that did not answer is left alone; longer than most restarts' resets."""
EJECT_MAX_S = 6.0
FULL_BACK_OFF_S = 0.2
"""How long an upstream that said it was full is passed over while others have room."""
LOAD_REPORT_KEPT_S = 1.0
"""An upstream's own load figures are believed for so long; its load changes within a second."""
PACE_WEIGHT = 0.2
"""Share of the newest pause in an engine's running mean; some ten events settle it."""
PACE_KEPT_S = 4.0
"""An engine that was slow is tried again after so long; slow spells last 5 to 8 s."""
PACE_OUTLIER_S = 0.4
"""Longer pauses are loads or losses, not the pace of generation."""
SLOW_ENGINE_FACTOR = 1.7
"""An engine is slow when its events take so many times as long as those of the fastest one."""
RETRY_PAUSE_S = 0.03
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_SPREAD_S = 0.3
DEADLINE_RESERVE_S = 0.02
"""Kept back of a caller's time so that the final answer still reaches it."""

PING_PERIOD_S = 1.0
PING_TIMEOUT_S = 0.8
SUSPECT_AFTER_S = 2.5
"""A daemon that answered no ping for so long is passed over; two periods and a time-out."""
STORE_FRESH_S = 3.0
"""A peer that had an answer of the store within this time may relay calls to it."""

STORE_CALL_TIMEOUT_S = 1.0
"""Calls take 4 ms, and 60 times as long while the store is slow."""
STORE_AVOID_S = 2.0
"""How long calls go through peers after the store turned this host away."""
WATCH_TIMEOUT_MARGIN_S = 1.5
VIEW_FETCH_DELAY_S = 0.4
"""A view that lacks for so long what a peer knows is taken from that peer; changes are gathered for
0.3 s before the next watch."""

DUTY_LEASE_TTL_S = 2.0
"""Without a holder no engine gets new weights, and steps come every 4 s."""
DUTY_LEASE_RENEW_PERIOD_S = 0.5
USAGE_COLLECTION_PERIOD_S = 1.0
USAGE_REPORT_DELAY_S = 2.5
"""A window is summed so long after its end; all daemons answer polls within this time."""
USAGE_RETAINED_WINDOWS = 8
WEIGHTS_PERIOD_S = 0.2
ORDER_TIMEOUT_S = 0.4
"""Engines answer within ms; an unanswered order is sent again, made safe by its condition."""
ORDER_RETRY_DELAY_S = 2.0
SCALE_PERIOD_S = 1.0
RETIRE_PERIOD_S = 0.5

DRAIN_NOTICE_S = 2.6
"""The balancer takes a daemon out after two missed questions, asked once a second."""
DRAIN_MARGIN_S = 0.8
DRAIN_POLL_S = 0.05
