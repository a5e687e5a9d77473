"""Name the limits of the Object API."""

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 1.0
WATCH_GRACE_S = 2.0
