"""Check what is sent and received on connections; pure functions."""

from collections.abc import Sequence

import h11

from ..errors import Outcome, Step, UpstreamError
from ..numerals import parse_natural
from .const import (
    DEFAULT_IDLE_REUSE_S,
    IDLE_REUSE_MARGIN_S,
    MAX_EVENT_BYTES,
    MAX_STATUS,
    MIN_FINAL_STATUS,
)


def check_request(target: str, headers: Sequence[tuple[bytes, bytes]]) -> None:
    """Raise ValueError if a request with this target and these headers cannot be sent."""
    try:
        h11.Request(method="POST", target=target, headers=list(headers))
    except h11.LocalProtocolError as error:
        raise ValueError(f"request cannot be sent: {error}") from error


def is_final_status(status: int) -> bool:
    """Return whether a status is one that a final response may have."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def check_event_size(partial_event: bytes) -> None:
    """Raise UpstreamError if the incomplete event at the end of a stream is too long."""
    if len(partial_event) > MAX_EVENT_BYTES:
        raise UpstreamError(
            f"event is longer than {MAX_EVENT_BYTES} bytes",
            step=Step.RECEIVE,
            outcome=Outcome.UNKNOWN,
        )


def idle_reuse_s(keep_alive: str | None) -> float:
    """Return the seconds for which an idle connection may be reused, by the Keep-Alive header."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and (timeout_s := parse_natural(value)) is not None:
            return max(0.0, timeout_s - IDLE_REUSE_MARGIN_S)
    return DEFAULT_IDLE_REUSE_S
