"""Name the kinds, limits and times of batches."""

KIND_HEADS = "batches"
KIND_PARTS = "batch-parts"
KIND_RESULTS = "batch-results"
KIND_TEXTS = "batch-texts"

PART_CHARACTERS = 300_000
"""A stored object holds at most 1 MB; escaping may triple what a part takes."""
SEGMENT_BYTES = 500_000
PAGE_BYTES = 700_000
"""An answer to a reader holds at most 1 MB."""

CHECKPOINT_S = 1.0
"""How often long unfinished texts are saved; the longest take 7 s, and a save costs one call."""
MIN_CHECKPOINT_EVENTS = 20
"""Shorter texts are generated again within a second."""
CHECKPOINT_BYTES = 500_000
TAKEOVER_SETTLE_S = 1.0
"""How long a former owner that lives may need to see the takeover and to end its runs."""

APPEND_LINGER_S = 0.05
"""Results that end within this time of a completed group share its write to the store."""
APPEND_PARTIAL_S = 0.5
"""Results of groups that are not complete wait so long for company: nobody can use them yet."""
APPEND_RETRY_S = 0.2
ACCEPT_RETRY_S = 0.15
RUN_RETRY_S = 0.3
ROUTE_POLL_S = 0.1
"""How often an owner looks whether its configuration has become as new as its batch."""
ACCEPT_LIMIT_S = 8.0
"""Acceptance is settled for at most so long; callers wait 12 s."""
READ_RETRY_S = 0.3
READ_GRACE_S = 1.0
END_LIMIT_S = 4.0

GROUPS_KEPT = 2000
"""Groups of which an owner remembers the engine; some ten steps of 512 samples in groups of 4."""
STALL_S = 2.5
"""A stream without an event for so long is resumed elsewhere; a change of weights takes 0.9 s."""
RESUME_AFTER_S = 0.7
"""A stream that is silent for so long is resumed on another engine if one has room: events come
every 40 ms, reading a prompt again takes some ms, a change of weights stops them for 0.9 s."""
SLOW_AFTER_EVENTS = 6
FULL_PAUSE_S = 0.1
FAILED_PAUSE_S = 0.2
SCORE_TIMEOUT_S = 3.0
SCORE_RETRY_S = 0.3

CLAIM_PERIOD_S = 0.5
KEEP_AFTER_S = 150.0
"""Batches are deleted so long after their submission, beyond the 120 s in which they are read."""
KEPT_LOGS = 32
"""Finished or foreign batches whose results are kept in memory."""

STATE_COMPLETED = "completed"
STATE_FAILED = "failed"

REQUEST_ID_PLACEHOLDER = b"x-request-id"
"""Names the request's own id among the headers; the codec writes it as upstreams expect it."""
