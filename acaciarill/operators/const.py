"""Name the limits of the operators' endpoints."""

OWNER_PLATFORM = "platform"
"""Owner in the settings whose token may see and change every section."""

CONFIRM_PERIOD_S = 0.3
CONFIRM_GRACE_S = 1.5
GRANT_ATTEMPTS = 5
