"""Hold requests of clients and the limits of their connections."""

from dataclasses import dataclass, field
from typing import Any

from .const import (
    DEFAULT_HEADER_TIMEOUT_S,
    DEFAULT_IDLE_TIMEOUT_S,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
)


@dataclass(slots=True)
class EdgeLimits:
    """Define the size limits of a request and the timeouts of a connection."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(slots=True)
class Request:
    """Hold one complete request.

    `headers` has the header names as the client sent them; `headers_by_name` has the first value of
    each header by its lower-case name. `received_at` is on the server's clock. `head_error` says
    why the request is rejected before its body is read; `head_result` is what else the check of the
    head has found.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
    headers_by_name: dict[bytes, bytes] = field(default_factory=dict)
    head_error: Exception | None = None
    head_result: Any = None

    def get(self, name: bytes) -> str:
        """Return the first value of a header by its lower-case name, or an empty string."""
        return self.headers_by_name.get(name, b"").decode("latin-1")


class RequestRejectedError(Exception):
    """Report that the server rejects a request itself."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status
