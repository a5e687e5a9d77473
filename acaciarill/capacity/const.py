"""Define the periods and thresholds of capacity orders."""

DECISION_PERIOD_S = 5.0
TARGET_UTILIZATION = 0.7
SCALE_DOWN_UTILIZATION = 0.45
SCALE_DOWN_AFTER_DECISIONS = 6
CHEAP_RETRY_AFTER_DECISIONS = 12
"""Cheap upstreams are ordered again this many decisions after fewer were granted than ordered."""
INTENT_PREFIX = "intent/orders/"
