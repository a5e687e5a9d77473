"""Define the exit codes, environment variables, defaults and timeouts of the command line."""

DEFAULT_DAEMON_URL = "http://127.0.0.1:8081"
ENV_DAEMON = "ACACIARILL_DAEMON"
ENV_AUTHORITY = "ACACIARILL_AUTHORITY"
ENV_TOKEN = "ACACIARILL_TOKEN"

EXIT_FAILED = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
EXIT_NOT_IN_FORCE = 6

CALL_TIMEOUT_S = 30.0
"""Longer than a key withdrawal waits for confirmations, so that its result is received."""
COVERAGE_POLL_PERIOD_S = 0.3
APPLY_WAIT_TIMEOUT_S = 15.0
