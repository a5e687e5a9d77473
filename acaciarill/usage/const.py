"""Define periods, limits and object keys of usage accounting."""

USAGE_COPY_PERIOD_S = 1.0
COPIES_PER_SHARD = 2
USAGE_FLUSH_PERIOD_S = 1.0
SEAL_GRACE_SHARE = 0.25
"""Share of a window to wait after its end before it is sealed, but at least SEAL_GRACE_MIN_S."""
SEAL_GRACE_MIN_S = 2.0
COPY_FLUSH_DELAY_SHARE = 0.15
"""Share of a window from its end until the other daemons write their copies of its shards."""
CORRECTION_WINDOWS = 5
"""Number of earlier windows whose late counts are reported as corrections."""
RETAINED_WINDOWS = 60
"""Number of windows after which a window's stored objects are deleted."""

SHARD_PREFIX = "usage/slots/"
SEALED_PREFIX = "usage/sealed/"
PROGRESS_PREFIX = "usage/progress/"
"""Prefix of the objects that hold the last reported window of each owner."""

REPORT_TIMEOUT_S = 2.0
