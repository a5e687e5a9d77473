"""Define the key prefix, TTL and safety margins of leases."""

LEASE_PREFIX = "lease/"
LEASE_TTL_S = 4.0
LEASE_RENEW_PERIOD_S = 1.0
LEASE_SAFETY_MARGIN_S = 0.5
"""A holder stops this long before the TTL ends; a successor waits this long after TTL and drift."""
LEASE_CLOCK_DRIFT_RATIO = 0.01
"""Share of the TTL by which the clocks of two hosts may drift apart within one TTL."""
