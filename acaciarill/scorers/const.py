"""Define the timeout and the retries of calls to scorers."""

CALL_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 5
BACKOFF_INITIAL_S = 0.2
BACKOFF_MAX_S = 5.0
