"""Define the shares and sizes by which connections are limited."""

CONTENT_MEMORY_SHARE = 0.2
"""Share of a process's memory for what clients send and have not read: bodies, bytes read ahead,
unsent responses, and unread bytes of connections that are not being read."""
LARGE_BODY_SHARE = 0.75
"""Share of that memory for large bodies, so that small requests always find room."""
MEMORY_BYTES_PER_CONNECTION = 256 * 1024
"""Memory of a process for each connection that it accepts."""
DESCRIPTOR_SHARE = 0.5
"""Share of the free descriptors for accepted connections; each request needs another one to an
upstream."""
RESERVED_DESCRIPTORS = 200
"""Descriptors for files and other sockets of the process."""
MIN_CONNECTIONS = 16
CALLER_CONNECTION_SHARE = 0.875
"""Share of the connections for callers, so that probes, operators and daemons find a place."""
CLOSING_ALLOWANCE = 1.25
"""How many times `max_connections` there may be while those that gave way are being closed."""

LARGE_BODY_BYTES = 64 * 1024
"""A larger body has to find room before it is read."""
SOCKET_BUFFER_BYTES = 64 * 1024
"""Size of the kernel's buffers of an accepted connection in each direction."""
MIN_PROGRESS_BYTES = 16 * 1024
"""Bytes after which a connection that is receiving or sending counts as going on."""
STALLED_AFTER_S = 1.0
"""A body without progress for this long gives way to another large one."""
FREED_SHARE = 0.125
"""Share of the limit that is freed at once, so that not each further byte starts a search."""

DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024
DEFAULT_MAX_DESCRIPTORS = 4096
RETRY_AFTER_S = 0.5
"""Retry-After of a request that finds no room."""
CLOSE_STALLED_PERIOD_S = 1.0
"""How often responses that nobody reads are looked for."""
