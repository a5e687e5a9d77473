"""Translate between the headers of the platform and attempts and answers."""

from ..batches.const import REQUEST_ID_PLACEHOLDER
from ..edge import ResponseHead
from ..fleet import Attempt, LoadReport, ResponseMetadata, UpstreamCodec
from .const import (
    CONNECTION_HEADERS,
    HEADER_DEADLINE_MS,
    HEADER_EXPECT_INSTANCE,
    HEADER_EXPECT_VERSION,
    HEADER_LAST_EVENT,
    HEADER_LOAD,
    HEADER_NOT_RUN,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
    HEADER_STAMP,
    HEADER_TENANT,
    HEADER_VERSIONS,
    SET_BY_US,
)

MS_PER_S = 1000
STATUS_MISDIRECTED = 421

Headers = list[tuple[bytes, bytes]]


def encode_attempt(headers: Headers, attempt: Attempt) -> Headers:
    """Return the headers of one attempt at an upstream."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = CONNECTION_HEADERS | SET_BY_US | named
    found: Headers = []
    for name, value in headers:
        lower = name.lower()
        if lower == REQUEST_ID_PLACEHOLDER:
            found.append((HEADER_REQUEST_ID, value))
        elif lower == HEADER_LAST_EVENT and attempt.resume_after is not None:
            continue
        elif lower not in dropped:
            found.append((name, value))
    left_ms = max(1, int(attempt.remaining_s * MS_PER_S))
    found.append((HEADER_DEADLINE_MS, str(left_ms).encode()))
    found.append((HEADER_EXPECT_INSTANCE, attempt.upstream.id.encode()))
    if attempt.customer:
        found.append((HEADER_TENANT, attempt.customer.encode()))
    if attempt.priority is not None:
        found.append((HEADER_PRIORITY, str(attempt.priority).encode()))
    if attempt.resume_after is not None:
        found.append((HEADER_LAST_EVENT, str(attempt.resume_after).encode()))
    if attempt.expected_version is not None:
        found.append((HEADER_EXPECT_VERSION, str(attempt.expected_version).encode()))
    return found


def decode_answer(head: ResponseHead) -> ResponseMetadata:
    """Return what the head of an upstream's answer says."""
    version = head.get(HEADER_VERSIONS)
    return ResponseMetadata(
        request_id=head.get(HEADER_REQUEST_ID) or "",
        not_run=head.get(HEADER_NOT_RUN) is not None or head.status == STATUS_MISDIRECTED,
        server_stamp=head.get(HEADER_STAMP) or "",
        load=_load(head.get(HEADER_LOAD)),
        weight_version=int(version) if version and version.isdigit() else None,
    )


def _load(text: str | None) -> LoadReport | None:
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return LoadReport(running, waiting, slots)


def answer_headers(head: ResponseHead) -> Headers:
    """Return the headers of an upstream's answer that the caller gets."""
    return [(name, value) for name, value in head.headers if name not in CONNECTION_HEADERS]


CODEC = UpstreamCodec(encode_attempt, decode_answer)
