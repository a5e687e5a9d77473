"""Serve ASGI applications with hypercorn; read request bodies up to a size limit."""

import logging
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import hypercorn.asyncio
import hypercorn.config

from .const import MAX_BODY_BYTES, MAX_HEADER_BYTES
from .errors import BadRequestError, Step

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

GRACEFUL_TIMEOUT_S = 30.0
KEEP_ALIVE_TIMEOUT_S = 60.0


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


async def read_body(receive: Receive, limit: int = MAX_BODY_BYTES) -> bytes:
    """Read a request body of at most `limit` bytes; raise BadRequestError or CallerGoneError."""
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            raise BadRequestError(
                f"request body exceeds {limit} bytes", step=Step.PARSE, status=413, code="too-large"
            )
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Send a complete response with its content length."""
    headers = [*headers, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
