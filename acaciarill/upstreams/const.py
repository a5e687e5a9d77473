"""Define timeouts, limits and weights for requests and orders to upstreams."""

CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MAX_CONTROL_RESPONSE_BYTES = 16 * 1024 * 1024
"""Limit of a response that is read whole: reports, scores, listings of the platform."""
LOAD_POLL_PERIOD_S = 2.0
LOAD_POLL_TIMEOUT_S = 1.0
POLLERS_PER_UPSTREAM = 2

CONSECUTIVE_FAILURES_TO_EJECT = 3
EJECTION_BASE_S = 5.0
"""Duration of the first ejection, which doubles with each further one up to EJECTION_MAX_S."""
EJECTION_MAX_S = 60.0
SLOW_START_S = 10.0
SLOW_START_PENALTY = 4.0
"""Load score added when an ejection ends; it falls to zero during the slow start."""

AFFINITY_CANDIDATES = 3
"""Number of upstreams that a prompt prefix maps to; the first with a low load score is used."""
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.1
"""A candidate's load score is low up to AFFINITY_LOAD_FACTOR times the mean plus this slack."""
LOCAL_OCCUPANCY_LIMIT = 1.0
"""Requests may leave the data centre once every local upstream reaches this occupancy."""
IN_FLIGHT_WEIGHT = 3.0
"""Weight of this daemon's in-flight requests in the load score."""
ESTIMATED_LOAD_WEIGHT = 0.5
"""Weight of the estimated load in the load score; low because load reports are seconds old."""
AFFINITY_PREFIX_CHARACTERS = 64
"""Length of the prompt prefix that determines the affinity of a request."""

RETRIES_PER_SUCCESS = 0.1
INITIAL_RETRY_BALANCE = 5.0
MAX_RETRY_BALANCE = 20.0
MAX_ATTEMPTS = 4
"""Number of attempts of a request, the first one included."""

MAX_BYTES_PER_TOKEN = 1024
"""Limit of what a token takes in a generation's response, as text and in records of its own."""
RECORD_OVERHEAD_BYTES = 64 * 1024
"""Room in a generation's response for what does not grow with its tokens."""

MAX_CONNECTIONS_PER_POOL = 512
MAX_IDLE_CONNECTIONS_PER_POOL = 16
KEEPALIVE_EXPIRY_S = 15.0

ORDER_TIMEOUT_S = 2.0
ORDER_TCP_USER_TIMEOUT_MS = 2_000
"""Limits how long the kernel resends unacknowledged bytes of an order."""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Client headers that are not forwarded to upstreams, besides the hop-by-hop headers."""
