"""Define the roles and states of hosts and the timing of calls to the host list."""

ROLE_ENTRY = "entry"
ROLE_UPSTREAM = "upstream"

STATE_LIVE = "live"
STATE_LEAVING = "leaving"

POLL_PERIOD_S = 1.0
CALL_TIMEOUT_S = 2.0
