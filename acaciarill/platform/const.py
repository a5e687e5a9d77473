"""Spell the names that the users' platform speaks."""

SETTINGS_VARIABLE = "ACACIARILL_SETTINGS"
SETTINGS_PATH = "/etc/acaciarill/node.toml"

METRICS_PORT = 9464
"""Stands in deploy/system.toml as well, since the settings name no address for metrics."""

KIND_CONFIG = "config"
KIND_SERVERS = "servers"
KIND_VERSIONS = "versions"
KIND_RETIREMENTS = "retirements"
CONFIG_NAME = "main"

HEADER_REQUEST_ID = b"x-acaciarill-attempt-id"
HEADER_DEADLINE_MS = b"x-acaciarill-deadline-ms"
HEADER_STAMP = b"x-acaciarill-server-stamp"
HEADER_TENANT = b"x-acaciarill-tenant"
HEADER_EXPECT_INSTANCE = b"x-acaciarill-expect-instance"
HEADER_EXPECT_VERSION = b"x-acaciarill-expect-version"
HEADER_LOAD = b"x-acaciarill-instance-load"
HEADER_NOT_RUN = b"x-acaciarill-not-run"
HEADER_HOLDER = b"X-Acaciarill-Duty-Holder"
HEADER_FENCE = b"X-Acaciarill-Fence-Token"
HEADER_WAIT_MS = b"x-acaciarill-wait-ms"
HEADER_PRIORITY = b"x-acaciarill-request-priority"
HEADER_VERSIONS = b"x-acaciarill-weight-versions"
HEADER_LENGTH_HINT = "x-acaciarill-length-hint"
HEADER_LAST_EVENT = b"last-event-id"
HEADER_AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = "bearer "

CONNECTION_HEADERS = frozenset(
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
"""Headers that concern one connection only, or that the next hop gets anew."""
SET_BY_US = frozenset(
    {
        HEADER_DEADLINE_MS,
        HEADER_TENANT,
        HEADER_EXPECT_INSTANCE,
        HEADER_EXPECT_VERSION,
        HEADER_AUTHORIZATION,
        HEADER_PRIORITY,
    }
)
"""Headers of a caller that are never passed on: this system sets or keeps them itself."""

PATH_BATCHES = "/lots/"
PATH_ITEMS = "/items/"
MAX_WAIT_MS = 1000

STATE_DRAINING = "draining"
STATE_READY = "ready"
STATE_COMPLETED = "completed"
RESULT_ERRORED = "errored"
