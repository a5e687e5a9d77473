"""Define the limits, error codes and paths of the callers' interface."""

MAX_QUEUED_PER_CUSTOMER = 128
DEFICIT_QUANTUM_TOKENS = 64
DEFAULT_COST_TOKENS = 64
MAX_TOKENS_PER_REQUEST = 4096

MAX_RECORDED_DURATIONS = 64
MIN_RECORDED_DURATIONS = 16
MIN_TIME_LEFT_FACTOR = 1.5
"""A queued request is refused once less than this many times its median duration remains."""

CLAIM_PREFIX = "claim/"
MAX_IDEMPOTENCY_KEY_LENGTH = 200

CODE_CALLER_GONE = "caller-gone"
CODE_KEY_WITHDRAWN = "key-withdrawn"
CODE_KEYS_NOT_FRESH = "keys-not-fresh"

OPEN_CUSTOMER = ""
"""The customer of requests on open routes, which need no key."""
KEY_SECRET_BYTES = 24

PATH_LIVENESS = "/healthz"
PATH_READINESS = "/readyz"
PATH_STEPS = "/v1/steps"
STEPS_TIMEOUT_S = 60.0

TAIL_TRIM_THRESHOLD_BYTES = 4096
"""Above this size, the buffered end of a stream is trimmed to its last line."""
