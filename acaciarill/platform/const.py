"""Define the paths, headers, object kinds and states of the platform's protocol."""

SETTINGS_VARIABLE = "ACACIARILL_SETTINGS"
SETTINGS_PATH = "/etc/acaciarill/node.toml"

METRICS_PORT = 9464
"""Must match the port in deploy/system.toml, since the settings have no address for metrics."""

KIND_CONFIG = "config"
KIND_UPSTREAMS = "servers"
KIND_PUBLISHED_VERSIONS = "versions"
KIND_RETIREMENTS = "retirements"
CONFIG_OBJECT_NAME = "main"

HEADER_REQUEST_ID = b"x-acaciarill-attempt-id"
HEADER_DEADLINE_MS = b"x-acaciarill-deadline-ms"
HEADER_SERVER_STAMP = b"x-acaciarill-server-stamp"
"""Proves that the upstream ran the request; the stamp of a scorer is the score in the results."""

HEADER_CUSTOMER = b"x-acaciarill-tenant"
HEADER_EXPECTED_UPSTREAM = b"x-acaciarill-expect-instance"
HEADER_EXPECTED_VERSION = b"x-acaciarill-expect-version"
HEADER_RATE_LIMIT = b"server-limit"
HEADER_LEAVING = b"server-leaving"
LEAVING = "1"
HEADER_UPSTREAM_LOAD = b"x-acaciarill-instance-load"
HEADER_NOT_RUN = b"x-acaciarill-not-run"
HEADER_DUTY_HOLDER = b"X-Acaciarill-Duty-Holder"
HEADER_FENCING_TOKEN = b"X-Acaciarill-Fence-Token"
HEADER_WAIT_MS = b"x-acaciarill-wait-ms"
HEADER_PRIORITY = b"x-acaciarill-request-priority"
HEADER_WEIGHT_VERSIONS = b"x-acaciarill-weight-versions"
"""Also the name of the field of a stream event that has the event's weight version."""

HEADER_LENGTH_HINT = "x-acaciarill-length-hint"
HEADER_TOKEN_COUNT = "x-acaciarill-token-count"
"""The number of prompt tokens and the maximum number of output tokens, separated by a comma."""
HEADER_LAST_EVENT_ID = b"last-event-id"
HEADER_RESUMED_ID = b"resumes"
"""Names the request that brought the first event of the stream that a client takes up."""
HEADER_AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = "bearer "

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"proxy-authenticate",
        b"proxy-authorization",
    }
)
"""Headers of one connection only, and framing headers that are set again for the next hop."""

HEADERS_OF_KV_CACHES = frozenset(
    {b"kv-from", b"kv-fetch", b"x-acaciarill-kv-backup", b"x-acaciarill-hold"}
)
"""Name memory of an engine, which may hold another customer's requests."""

RESERVED_HEADERS = HEADERS_OF_KV_CACHES | {
    HEADER_REQUEST_ID,
    HEADER_DEADLINE_MS,
    HEADER_CUSTOMER,
    HEADER_EXPECTED_UPSTREAM,
    HEADER_EXPECTED_VERSION,
    HEADER_AUTHORIZATION,
    HEADER_PRIORITY,
}
"""Client headers that are never forwarded: this system sets its own value or withholds the key."""

RESUMPTION_HEADERS = frozenset({HEADER_LAST_EVENT_ID, HEADER_RESUMED_ID})
"""Headers with which clients take up streams. The texts of items are taken up by this system."""

PATH_BATCHES = "/lots/"
PATH_ITEMS = "/items/"
MAX_RESULT_WAIT_MS = 1000

UPSTREAM_STATE_DRAINING = "draining"
UPSTREAM_STATE_READY = "ready"
RETIREMENT_STATE_COMPLETED = "completed"
RESULT_STATE_ERRORED = "errored"
