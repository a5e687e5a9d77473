"""Name the keys and defaults of the configuration document."""

ATTR_CUSTOMERS = "customers"
ATTR_KEYS = "keys"
ATTR_MODELS = "models"
ATTR_ROUTES = "routes"
ATTR_SERVICES = "services"
ATTR_SPEND = "spend"
ATTR_UPSTREAMS = "upstreams"
ATTR_USAGE = "usage"

ACCESS_KEYED = "keyed"
ACCESS_OPEN = "open"

KIND_ENGINE = "engine"
KIND_PLAIN = "plain"

DEFAULT_SHARE = 1.0
DEFAULT_STALENESS_BOUND = 2
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_UPSTREAM_SLOTS = 16
DEFAULT_USAGE_WINDOW_S = 60
DEFAULT_SPARE_SHARE = 0.2

STATE_PREFIX = "config/state/"
HEAD_KEY = "config/state/head"
SECTION_PREFIX = "config/section/"
WITHDRAWN_KEY = "config/state/withdrawn"

MAX_FACTOR = 1_000_000.0
"""Largest share or price; also keeps infinity out."""

MAX_RECENT_CHANGES = 64
MAX_APPLY_ATTEMPTS = 8
