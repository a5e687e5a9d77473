"""Define the keys, defaults, limits and storage locations of the configuration document."""

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
"""Default of the largest number of weight versions that a sample may lag behind."""
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_UPSTREAM_SLOTS = 16
DEFAULT_USAGE_WINDOW_S = 60
DEFAULT_SPARE_SHARE = 0.2
"""Default of the capacity beyond the demand, as a fraction of the demand."""

STATE_PREFIX = "config/state/"
"""Prefix of the objects that change, which relays watch; sections are immutable."""
HEAD_KEY = "config/state/head"
SECTION_PREFIX = "config/section/"
WITHDRAWN_KEYS_OBJECT_KEY = "config/state/withdrawn"

MAX_SHARE_OR_PRICE = 1_000_000.0
"""Upper bound of a customer's share and of a price; it also rejects infinity."""

MAX_RECENT_CHANGES = 64
"""Number of accepted changes that the head lists; a repeated change is recognised by them."""
MAX_APPLY_ATTEMPTS = 8
"""Attempts to write an object that other writers change at the same time."""
