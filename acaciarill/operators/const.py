"""Define the platform's owner name, the periods and the limits of the operator endpoints."""

PLATFORM_OWNER = "platform"
"""Owner whose operator token may see and change every section."""

CONFIRM_RETRY_PERIOD_S = 0.3
CONFIRM_TIMEOUT_MARGIN_S = 1.5
"""Time beyond the freshness bound for which a withdrawal waits for confirmations."""
MAX_GRANT_ATTEMPTS = 5
