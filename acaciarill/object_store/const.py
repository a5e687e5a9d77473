"""Define the timeouts of calls to the Object API."""

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 1.0
"""Time after which the Object API ends a watch without changes; sent with each watch."""

WATCH_TIMEOUT_MARGIN_S = 2.0
"""Time beyond WATCH_TIMEOUT_S in which the response to a watch must arrive."""
