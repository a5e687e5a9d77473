"""Accept connections as long as the process runs."""

import errno
import fcntl
import socket
import ssl
import struct
import termios
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio
import anyio.abc
from anyio.streams.tls import TLSStream
from eliot import log_message

from .addresses import split_address
from .connection_budget import SOCKET_BUFFER_BYTES

DEFAULT_BACKLOG = 512
_INT = struct.Struct("i")
ACCEPT_RETRY_DELAY_S = 0.2
MAX_READ_BYTES = 64 * 1024
"""Limit of one read from a socket; the loop's default is 256 KB, for each connection."""
TLS_HANDSHAKE_TIMEOUT_S = 5.0
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
    tls: ssl.SSLContext | None = None,
) -> None:
    """Serve a listener in a task group; go on accepting after temporary errors.

    One connection is accepted in each turn of the event loop. Accepting all that wait at once would
    start a burst of requests together, and each of them would have to wait for all the others.
    """
    raw_socket = listener.extra(anyio.abc.SocketAttribute.raw_socket)
    while True:
        await anyio.wait_readable(raw_socket)
        try:
            connection, _address = raw_socket.accept()
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise
            log_message(
                message_type="listener:accept_failed",
                reason=str(error),
                action=f"accept again in {ACCEPT_RETRY_DELAY_S} s",
            )
            await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            continue
        task_group.start_soon(_serve_socket, connection, handler, tls)


async def _serve_socket(
    connection: socket.socket,
    handler: Callable[[Any], Awaitable[None]],
    tls: ssl.SSLContext | None,
) -> None:
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream: Any = await anyio.abc.SocketStream.from_socket(connection)
        pause_reading(stream)
        if tls is not None:
            with anyio.fail_after(TLS_HANDSHAKE_TIMEOUT_S):
                stream = await TLSStream.wrap(
                    stream, server_side=True, ssl_context=tls, standard_compatible=False
                )
        await handler(stream)
    except Exception as error:  # an error on one connection must not stop the server
        connection.close()
        log_message(message_type="listener:connection_failed", error=repr(error))


def pause_reading(stream: anyio.abc.ByteStream) -> None:
    """Read from a connection only while somebody waits for its bytes.

    The transport of an accepted connection reads from the start, and goes on without bound until a
    `receive` has found nothing to return.
    """
    transport = _transport(stream)
    transport.max_size = MAX_READ_BYTES
    transport.pause_reading()


def unsent_bytes(stream: anyio.abc.ByteStream) -> int:
    """Return the bytes in the kernel that the other host has not confirmed."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with suppress(OSError):
        data = fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        return int(_INT.unpack(data)[0])
    return 0


def abort_stream(stream: anyio.abc.ByteStream) -> None:
    """Close a connection without waiting for what is unsent."""
    _transport(stream).abort()


def _transport(stream: anyio.abc.ByteStream) -> Any:
    if isinstance(stream, TLSStream):
        stream = stream.transport_stream
    return stream._transport  # type: ignore[attr-defined]  # not public in anyio
