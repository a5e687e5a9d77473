"""Name the periods and thresholds of ordering."""

DECISION_PERIOD_S = 5.0
TARGET_UTILIZATION = 0.7
SHRINK_LOAD = 0.45
SHRINK_AFTER_DECISIONS = 6
CHEAP_RETRY_DECISIONS = 12
"""After how many decisions cheap upstreams are asked for again where there were none."""
INTENT_PREFIX = "intent/orders/"
