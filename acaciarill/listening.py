"""Accept connections as long as the process runs."""

import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
from anyio.streams.tls import TLSStream
from eliot import log_message

from .addresses import split_address
from .connection_budget import SOCKET_BUFFER_BYTES

DEFAULT_BACKLOG = 512
ACCEPT_RETRY_DELAY_S = 0.2
MAX_READ_BYTES = 64 * 1024
"""Limit of one read from a socket; the loop's default is 256 KB, for each connection."""
TEMPORARY_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED}
)
"""Errors of accept that pass: no descriptor or buffer is free, or the client is gone already."""


async def listen(address: str, backlog: int = DEFAULT_BACKLOG) -> anyio.abc.Listener[Any]:
    """Listen on an address (`ip:port`); accepted connections have small buffers in the kernel."""
    host, port = split_address(address)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=backlog)
    for part in listener.listeners:
        raw_socket = part.extra(anyio.abc.SocketAttribute.raw_socket)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            raw_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return listener


async def serve_connections(
    listener: anyio.abc.Listener[Any],
    handler: Callable[[Any], Awaitable[None]],
    task_group: anyio.abc.TaskGroup,
) -> None:
    """Serve a listener in a task group; go on accepting after temporary errors."""

    async def serve_paused(stream: Any) -> None:
        pause_reading(stream)
        try:
            await handler(stream)
        except Exception as error:  # an error on one connection must not stop the server
            log_message(message_type="listener:connection_failed", error=repr(error))

    while True:
        failed = None
        try:
            await listener.serve(serve_paused, task_group)
        except* OSError as group:
            failed = group
        if failed is None:
            return
        if any(error.errno not in TEMPORARY_ERRORS for error in _flatten(failed)):
            raise failed
        log_message(
            message_type="listener:accept_failed",
            reason=str(_flatten(failed)[0]),
            action=f"accept again in {ACCEPT_RETRY_DELAY_S} s",
        )
        await anyio.sleep(ACCEPT_RETRY_DELAY_S)


def pause_reading(stream: anyio.abc.ByteStream) -> None:
    """Read from a connection only while somebody waits for its bytes.

    The transport of an accepted connection reads from the start, and goes on without bound until a
    `receive` has found nothing to return.
    """
    transport = _transport(stream)
    transport.max_size = MAX_READ_BYTES
    transport.pause_reading()


def abort_stream(stream: anyio.abc.ByteStream) -> None:
    """Close a connection without waiting for what is unsent."""
    _transport(stream).abort()


def _transport(stream: anyio.abc.ByteStream) -> Any:
    if isinstance(stream, TLSStream):
        stream = stream.transport_stream
    return stream._transport  # type: ignore[attr-defined]  # not public in anyio


def _flatten(group: BaseExceptionGroup[OSError]) -> list[OSError]:
    errors: list[OSError] = []
    for error in group.exceptions:
        errors += _flatten(error) if isinstance(error, BaseExceptionGroup) else [error]
    return errors
