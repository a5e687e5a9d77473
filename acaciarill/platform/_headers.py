"""Encode attempts as the platform's request headers and decode its response headers."""

import math

from ..edge import ResponseHead
from ..fleet import Attempt, LoadReport, ResponseMetadata, UpstreamCodec
from ..numerals import parse_natural
from .const import (
    HEADER_CUSTOMER,
    HEADER_DEADLINE_MS,
    HEADER_EXPECTED_UPSTREAM,
    HEADER_EXPECTED_VERSION,
    HEADER_LAST_EVENT_ID,
    HEADER_LEAVING,
    HEADER_NOT_RUN,
    HEADER_PRIORITY,
    HEADER_RATE_LIMIT,
    HEADER_REQUEST_ID,
    HEADER_SERVER_STAMP,
    HEADER_UPSTREAM_LOAD,
    HEADER_WEIGHT_VERSIONS,
    HOP_BY_HOP_HEADERS,
    LEAVING,
    RESERVED_HEADERS,
)

MS_PER_S = 1000
STATUS_MISDIRECTED_REQUEST = 421
"""The process at the address is not the expected upstream, so it did not run the request."""

Headers = list[tuple[bytes, bytes]]


def encode_attempt(headers: Headers, attempt: Attempt) -> Headers:
    """Return the headers of a request as one attempt sends them to an upstream.

    Headers that the request's Connection header lists are hop-by-hop headers too. Each header with
    a meaning to this system is set from the attempt alone, whatever the client sent.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    removed_names = HOP_BY_HOP_HEADERS | RESERVED_HEADERS | connection_options
    encoded: Headers = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == HEADER_LAST_EVENT_ID and attempt.resume_after is not None:
            continue
        if lower_name not in removed_names:
            encoded.append((name, value))
    if attempt.request_id:
        encoded.append((HEADER_REQUEST_ID, attempt.request_id.encode("latin-1")))
    remaining_ms = max(1, int(attempt.remaining_s * MS_PER_S))
    encoded.append((HEADER_DEADLINE_MS, str(remaining_ms).encode()))
    encoded.append((HEADER_EXPECTED_UPSTREAM, attempt.upstream.id.encode()))
    if attempt.customer:
        encoded.append((HEADER_CUSTOMER, attempt.customer.encode()))
    if attempt.priority is not None:
        encoded.append((HEADER_PRIORITY, str(attempt.priority).encode()))
    if attempt.resume_after is not None:
        encoded.append((HEADER_LAST_EVENT_ID, str(attempt.resume_after).encode()))
    if attempt.expected_version is not None:
        encoded.append((HEADER_EXPECTED_VERSION, str(attempt.expected_version).encode()))
    return encoded


def decode_response(head: ResponseHead) -> ResponseMetadata:
    """Return the metadata in the head of an upstream's response."""
    version = head.get(HEADER_WEIGHT_VERSIONS)
    request_id = head.get(HEADER_REQUEST_ID) or ""
    is_misdirected = head.status == STATUS_MISDIRECTED_REQUEST
    return ResponseMetadata(
        request_id=request_id,
        not_run=head.get(HEADER_NOT_RUN) is not None or is_misdirected,
        server_stamp=head.get(HEADER_SERVER_STAMP) or "",
        load=_decode_load(head.get(HEADER_UPSTREAM_LOAD)),
        weight_version=parse_natural(version) if version else None,
        rate_limit=_decode_rate_limit(head.get(HEADER_RATE_LIMIT)),
        is_leaving=(
            head.get(HEADER_LEAVING) == LEAVING and bool(request_id) and not is_misdirected
        ),
    )


def _decode_rate_limit(text: str | None) -> float | None:
    """Return the requests per second of a limit, or None if it is missing or malformed."""
    try:
        limit = float(text or "")
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0.0 else None


def _decode_load(text: str | None) -> LoadReport | None:
    """Return the load of `running,waiting,slots`, or None if it is missing or malformed."""
    numbers = [parse_natural(part) for part in (text or "").split(",")]
    match numbers:
        case [int(running), int(waiting), int(slots)]:
            return LoadReport(running, waiting, slots)
    return None


def response_headers(head: ResponseHead) -> Headers:
    """Return the headers of an upstream's response that are forwarded to the client."""
    return [(name, value) for name, value in head.headers if name not in HOP_BY_HOP_HEADERS]


UPSTREAM_CODEC = UpstreamCodec(encode_attempt, decode_response)
