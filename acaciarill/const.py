"""Define the units, limits, defaults and header names that several packages share."""

MS_PER_S = 1000

DIGEST_MASK = 0x7FFFFFFF
"""Clears the top bit of a 32-bit checksum, which messages carry as a signed 32-bit integer."""

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_OBJECT_BYTES = 1024 * 1024

RETRY_AFTER_SHORT_S = 1.0
RETRY_AFTER_LONG_S = 5.0

HEADER_REQUEST_ID = "x-request-id"
HEADER_DEADLINE_MS = "x-deadline-ms"
HEADER_FENCING_TOKEN = "x-fencing-number"
HEADER_IDEMPOTENCY_KEY = "idempotency-key"
HEADER_OUTCOME = "x-outcome"
HEADER_TRACE_PARENT = "traceparent"
