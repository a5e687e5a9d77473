"""Define the object kinds, limits and times of batches."""

KIND_HEADS = "batches"
KIND_PARTS = "batch-parts"
KIND_RESULTS = "batch-results"
KIND_TEXTS = "batch-texts"

MAX_PART_CHARACTERS = 300_000
"""The store limits an object to 1 MB, and escaping may triple the size of a part."""
MAX_SEGMENT_BYTES = 500_000
MAX_RESULT_BYTES = 1_000_000
"""Limit of one result as JSON, since a response to a reader is limited to 1 MB."""
RESULT_OVERHEAD_BYTES = 16 * 1024
"""Room in a stored object for what a result has besides its text."""
TEXT_MEMORY_SHARE = 0.125
"""Share of the process's memory for unfinished texts, and as much again for reusable results."""
SUBMISSION_MEMORY_SHARE = 0.125
"""Share of the process's memory for the submissions of open batches, and as much again for cached
ones."""
VALUE_BYTES = 200
"""Memory that one decoded JSON value may take."""
ITEM_OVERHEAD_BYTES = 1500
"""Memory that an item takes beside its bodies."""
UNRESTRICTED_TEXT_BYTES = 64 * 1024
"""Longer texts may not grow while all texts together exceed their share of the memory."""
MAX_PAGE_CHARACTERS = 700_000
"""A response to a reader is limited to 1 MB."""

CHECKPOINT_PERIOD_S = 1.0
"""Long unfinished texts are saved at this interval: the longest take 7 s, a save costs one call."""
MIN_CHECKPOINT_EVENTS = 20
"""Shorter texts are not saved, because they are generated again within a second."""
MAX_CHECKPOINT_CHARACTERS = 500_000
TAKEOVER_DELAY_S = 1.0
"""Time that a former owner which is still alive may need to see a takeover and stop its runner."""

APPEND_LINGER_S = 0.05
"""Results that finish within this time after a completed group share its write to the store."""
MAX_APPEND_DELAY_S = 0.5
"""Results of incomplete groups, of no use to a reader yet, wait up to this time to be written."""
APPEND_RETRY_DELAY_S = 0.2
WRITE_RETRY_DELAY_S = 0.15
RUN_RETRY_DELAY_S = 0.3
ROUTE_POLL_PERIOD_S = 0.1
"""Interval at which an owner checks whether its configuration is as new as its batch's."""
LOAD_TURN_TIMEOUT_S = 2.0
"""How long a batch waits while others are loaded from the store, about as a call to it may take."""
ACCEPT_TIMEOUT_S = 8.0
"""Accepting a batch takes at most this time; clients wait 12 s."""
READ_POLL_PERIOD_S = 0.3
READ_TIMEOUT_MARGIN_S = 1.0
"""Time added to a reader's wait before the request to the owner times out."""
END_TIMEOUT_S = 4.0
RETRY_AFTER_ROOM_S = 1.0
"""Retry-After of a batch for which its owner has no room."""

MAX_TRACKED_GROUPS = 2000
"""Groups whose last engine is remembered: about ten steps of 512 samples in groups of 4."""
STALL_TIMEOUT_S = 2.5
"""A stream without an event for this time is resumed elsewhere; a weight load takes 0.9 s."""
SOFT_STALL_TIMEOUT_S = 0.7
"""A stream without an event for this time is resumed on another engine if one has a free slot:
events come every 40 ms, processing a prompt again takes a few ms, and a weight load stops events
for 0.9 s."""
PREFIX_LOAD_MARGIN = 0.125
"""An engine that has processed a group's prompt is preferred while its load, as a share of its
slots, is at most this much above the lowest: a more loaded engine generates more slowly."""
STOP_STALLED = "no event within the stall timeout"
STOP_LIMITED = "rate limit"
STOP_IDLE = "no event lately and another engine is free"
STOP_SLOW = "slow engine"
EVENTS_PER_PACE_SAMPLE = 4
"""Consecutive events of a stream from which its engine's event interval is measured."""
FASTEST_INTERVAL_TTL_S = 0.05
"""How long the fastest engine's event interval is used before it is determined again."""
BURST_GAP_S = 0.002
"""Events of a stream that arrive within this time of each other were read together."""
MIN_SAVED_EVENTS = 8
"""A stream is moved if it is expected to end earlier by the time of this many events, which is more
than processing the prompt and the text again takes."""
MIN_ATTEMPT_S = 0.5
"""An engine gets at least this time for an item, also shortly before the item is given up."""
UNLIMITED_ATTEMPT_S = 600.0
"""Time that an engine gets for an item of a route without a queue time."""
LOG_REFRESH_PERIOD_S = 0.5
"""How often an owner that has taken a batch over reads the end of its log from the store, while
clients ask for more than it knows."""
LOG_REFRESH_TIMEOUT_S = 0.2
FULL_RETRY_DELAY_S = 0.1
FAILED_RETRY_DELAY_S = 0.2
SCORE_TIMEOUT_S = 3.0
SCORE_RETRY_DELAY_S = 0.3

CLAIM_PERIOD_S = 0.5
DEFAULT_RETENTION_S = 120.0
RETENTION_MARGIN_S = 30.0
"""How much longer than promised an ended batch is kept, as clocks differ; also how long it is kept
after its end at the least, so that whoever has ended it can still read it."""
MAX_CACHED_BATCHES = 32
"""Limit of cached submissions, and of cached logs that were read from the store."""

STATE_COMPLETED = "completed"
STATE_FAILED = "failed"
