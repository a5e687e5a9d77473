"""Define the limits and timeouts of the protocol between daemons."""

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_ELEMENTS = 100_000
"""Limit of the elements of all containers in a message: a decoded one takes hundreds of bytes."""
MAX_STRUCT_DEPTH = 32
LENGTH_PREFIX_BYTES = 4
READ_CHUNK_BYTES = 64 * 1024
MAX_CONCURRENT_CALLS = 1024
"""Limit of the calls of one connection that run at a time; beyond it, no more are read."""
CALL_OVERHEAD_BYTES = 4096
"""What a call holds beside its frame."""
SEND_TIMEOUT_S = 10.0
"""How long another daemon may read nothing of what is sent to it."""
MAX_CALL_ID = 2**31 - 1
"""The largest value of the signed 32-bit `call_id` field; call ids start again at 1 after it."""

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
GREETING_TIMEOUT_S = 2.0
"""Limits the wait for the greeting of a new connection and each send of a notification."""

FAILURE_NOT_CONNECTED = "not connected"
FAILURE_TIMEOUT = "timeout"
FAILURE_CONNECTION_LOST = "connection lost"

STREAM_BUFFER_FRAMES = 64
"""Buffered response frames of one call; while they fill the buffer, its connection is not read."""

RELAYS_PER_DATA_CENTRE = 2
TREE_FAN_OUT = 4
"""The maximum number of children of each daemon in the distribution tree."""
