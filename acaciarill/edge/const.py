"""Define the limits and timeouts of HTTP connections."""

READ_CHUNK_BYTES = 64 * 1024
MAX_EVENTS_WITHOUT_PAUSE = 64
"""How many parts of a response are parsed before other tasks run. A read may bring 10,000 chunks of
one byte, and other requests must not wait for them all."""

CONNECT_TIMEOUT_S = 0.4
"""Upstreams are at most some tens of ms away, and a lost SYN is only retransmitted after 1 s."""

TCP_USER_TIMEOUT_MS = 2500
"""Time that sent bytes may stay unacknowledged, shorter than the deployments' contact bounds."""

MAX_INLINE_REQUEST_BYTES = 32 * 1024
"""Larger requests are sent while the response is read: a peer may respond before reading all."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Limit of a buffered response; the largest valid ones are listings of the store, of about 1 MB."""
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Limit of the sum of all response bodies that a pool buffers. Beyond it, a response may only grow
to UNRESTRICTED_RESPONSE_BYTES."""
UNRESTRICTED_RESPONSE_BYTES = 64 * 1024
MAX_INTERIM_HEADS = 8
"""Limit of informational heads before the response's own."""
MAX_RECENT_REQUEST_IDS = 8
"""How many ids of requests a connection remembers, so that none of them is sent on it again."""
MAX_EVENT_BYTES = 256 * 1024
"""Limit of the bytes of a stream that are buffered until the end of an event."""

MIN_FINAL_STATUS = 200
MAX_STATUS = 599
"""Statuses beyond are not defined by HTTP; a peer that sends one is at fault."""

IDLE_REUSE_MARGIN_S = 1.0
"""Margin before the idle timeout that a peer announces, in which its connection is not reused."""

DEFAULT_IDLE_REUSE_S = 4.0
"""Time that an idle connection may be reused if the peer announces no timeout."""

CLOSE_LINGER_S = 0.5
"""Time to read the rest of a rejected request, since a TCP reset would discard the response."""
SENT_AHEAD_STARTS_AT_ONCE = 8
"""How many requests that were sent ahead may begin in one turn of the event loop or two."""
MAX_LINGERING_CONNECTIONS = 64
"""Limit of the connections of a server that do so at a time; others are closed at once."""

END_TIMEOUT_S = 0.2
"""Time to send the last answers when the process stops."""
END_POLL_S = 0.01

DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
