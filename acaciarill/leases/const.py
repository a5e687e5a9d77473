"""Name the times of the leases."""

LEASE_PREFIX = "lease/"
LEASE_TTL_S = 4.0
LEASE_RENEW_PERIOD_S = 1.0
LEASE_MARGIN_S = 0.5
LEASE_DRIFT_SHARE = 0.01
