"""Serve ASGI applications with hypercorn; read request bodies within limits."""

import logging
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import hypercorn.asyncio
import hypercorn.config

from .connection_budget import KIND_CALLERS, ConnectionAccount, ConnectionBudget
from .const import MAX_BODY_BYTES, MAX_HEADER_BYTES, RETRY_AFTER_SHORT_S
from .errors import BadRequestError, RefusedError, Step
from .numerals import parse_natural

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

GRACEFUL_TIMEOUT_S = 30.0
KEEP_ALIVE_TIMEOUT_S = 60.0
BODY_IDLE_TIMEOUT_S = 15.0
"""How long a client may send nothing of a body that it has begun."""


class _HypercornConfig(hypercorn.config.Config):
    """Make hypercorn use an existing TLS context, so that its certificate can be reloaded."""

    def __init__(self, tls: ssl.SSLContext | None) -> None:
        super().__init__()
        self.tls = tls

    @property
    def ssl_enabled(self) -> bool:
        """Return whether connections use TLS."""
        return self.tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the TLS context given at construction."""
        return self.tls


class CallerGoneError(Exception):
    """Signal that a client disconnected before its request body was read completely."""


async def serve_app(
    app: Any,
    address: str,
    shutdown: Callable[[], Awaitable[None]],
    tls: ssl.SSLContext | None = None,
) -> None:
    """Serve until `shutdown` returns, then drain active requests for up to GRACEFUL_TIMEOUT_S."""
    config = _HypercornConfig(tls)
    config.bind = [address]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    logging.getLogger("hypercorn.error").disabled = True
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=shutdown)


@asynccontextmanager
async def held_body(
    receive: Receive, content_length: str, budget: ConnectionBudget, limit: int = MAX_BODY_BYTES
) -> AsyncIterator[bytes]:
    """Yield the body of a request, which counts as held by its client until the block ends.

    Raise BadRequestError if it is longer than `limit` bytes or stalls, RefusedError if there is no
    room for it, and CallerGoneError.
    """
    scope = anyio.CancelScope()
    account = budget.open(KIND_CALLERS, scope.cancel)
    if account is None:
        raise _no_room()
    try:
        body = b""
        with scope:
            body = await _read_body(receive, parse_natural(content_length) or 0, account, limit)
        if account.is_ending:
            raise _no_room()
        account.is_running = True
        yield body
    finally:
        account.close()


async def _read_body(
    receive: Receive, length: int, account: ConnectionAccount, limit: int
) -> bytes:
    """Read a body of `length` bytes, or of any up to the limit if that is 0."""
    body = bytearray()
    while True:
        size = max(length, len(body))
        if size > limit:
            raise BadRequestError(
                f"request body exceeds {limit} bytes", step=Step.PARSE, status=413, code="too-large"
            )
        if not account.resize_body(size):
            raise _no_room()
        with anyio.move_on_after(BODY_IDLE_TIMEOUT_S) as idle_scope:
            message = await receive()
        if idle_scope.cancelled_caught:
            raise BadRequestError(
                f"nothing of the request body arrived for {BODY_IDLE_TIMEOUT_S} s",
                step=Step.PARSE,
                status=408,
                code="timeout",
            )
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunk = message.get("body", b"")
        account.record_progress(len(chunk), account.budget.clock())
        body += chunk
        if not message.get("more_body"):
            return bytes(body)


def _no_room() -> RefusedError:
    return RefusedError(
        "the bodies of other requests leave no room for this one",
        step=Step.ADMIT,
        code="no-room",
        retry_after_s=RETRY_AFTER_SHORT_S,
    )


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Send a complete response with its content length."""
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
