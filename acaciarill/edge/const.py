"""Name the limits and timeouts of single HTTP connections."""

READ_BYTES = 64 * 1024

CONNECT_TIMEOUT_S = 0.4
"""Upstreams are at most some tens of ms away; a lost opening packet is sent again after 1 s."""
USER_TIMEOUT_MS = 2500
"""How long sent bytes may stay unacknowledged: below the contact bounds of the deployments."""
INLINE_BODY_BYTES = 32 * 1024
"""Larger bodies are sent while the answer is read, since a peer may answer before reading all."""

IDLE_REUSE_MARGIN_S = 1.0
"""How long before its announced timeout an idle connection is no longer used."""
IDLE_DEFAULT_S = 4.0
"""How long an idle connection is kept when the peer announces no timeout."""

LINGER_S = 0.5
"""How long the rest of a rejected request is read, so that the answer is not lost by a reset."""
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
