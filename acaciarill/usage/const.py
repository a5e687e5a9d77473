"""Name the periods and object names of usage accounting."""

USAGE_COPY_PERIOD_S = 1.0
COPIES = 2
USAGE_FLUSH_PERIOD_S = 1.0
SEAL_GRACE_SHARE = 0.25
SEAL_GRACE_MIN_S = 2.0
COPY_RESCUE_SHARE = 0.15
LOOK_BACK_WINDOWS = 5
RETAINED_WINDOWS = 60

SLOT_PREFIX = "usage/slots/"
SEALED_PREFIX = "usage/sealed/"
PROGRESS_PREFIX = "usage/progress/"
"""Objects that name the last window reported for each owner."""

REPORT_TIMEOUT_S = 2.0
