"""Name the limits of exchanges with upstreams."""

CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
LOAD_POLL_PERIOD_S = 2.0
LOAD_CALL_TIMEOUT_S = 1.0
LOAD_WATCHERS = 2

FAILURES_TO_EJECT = 3
EJECT_FOR_S = 5.0
EJECT_FOR_MAX_S = 60.0
SLOW_RETURN_S = 10.0
SLOW_RETURN_PENALTY = 4.0

AFFINITY_CANDIDATES = 3
"""How many upstreams a prompt prefix maps to; the first with room is taken."""
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.1
LOCAL_OCCUPANCY_LIMIT = 1.0
OWN_WEIGHT = 3.0
REPORT_WEIGHT = 0.5
AFFINITY_PREFIX_CHARACTERS = 64

RETRY_SHARE = 0.1
RETRY_RESERVE = 5.0
RETRY_LIMIT = 20.0
MAX_ATTEMPTS = 4

MAX_CONNECTIONS = 512
MAX_KEEPALIVE = 16
KEEPALIVE_EXPIRY_S = 15.0

ORDER_TIMEOUT_S = 2.0
ORDER_TCP_USER_TIMEOUT_MS = 2_000

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
CLIENT_ONLY_HEADERS = frozenset(
    {b"authorization", b"cookie", b"x-api-key", b"host", b"content-length", b"idempotency-key"}
)
"""Headers of a caller that no upstream sees, besides those that end at each hop."""
