"""Serve HTTP/1.1 requests of clients over persistent connections."""

import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import h11
from eliot import log_message

from ..addresses import split_address
from ..listening import serve_connections
from ..numerals import parse_natural
from .const import (
    CLOSE_LINGER_S,
    DEFAULT_HEADER_TIMEOUT_S,
    DEFAULT_IDLE_TIMEOUT_S,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    END_POLL_S,
    END_TIMEOUT_S,
    READ_CHUNK_BYTES,
)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

END_BODY = b'{"code":"stopping"}'

_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
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
    each header by its lower-case name. `received_at` is on the server's clock.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
    headers_by_name: dict[bytes, bytes] = field(default_factory=dict)

    def get(self, name: bytes) -> str:
        """Return the first value of a header by its lower-case name, or an empty string."""
        return self.headers_by_name.get(name, b"").decode("latin-1")


class _RequestRejectedError(Exception):
    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Responder:
    """Send the response to one request, either complete or as a stream.

    A stream that is not finished ends with an aborted connection, so that the client cannot take it
    for a complete response.
    """

    def __init__(self, connection: "_ServerConnection") -> None:
        self.connection = connection
        self.started = False
        self.finished = False

    async def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b""
    ) -> None:
        """Send a complete response."""
        response_headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        data = self._encode_head(status, response_headers)
        protocol = self.connection.protocol
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        await self.connection.stream.send(data)
        self.finished = True

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a streamed response."""
        await self.connection.stream.send(
            self._encode_head(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        )

    async def send(self, data: bytes) -> None:
        """Send one chunk of a streamed response."""
        await self.connection.stream.send(self.connection.protocol.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """End a streamed response as complete."""
        await self.connection.stream.send(self.connection.protocol.send(h11.EndOfMessage()) or b"")
        self.finished = True

    def _encode_head(self, status: int, response_headers: list[tuple[bytes, bytes]]) -> bytes:
        self.started = True
        if self.connection.must_close():
            response_headers.append((b"Connection", b"close"))
        response = h11.Response(status_code=status, headers=response_headers)
        return self.connection.protocol.send(response) or b""


Handler = Callable[[Request, Responder], Awaitable[None]]


class EdgeServer:
    """Accept connections and call the handler for each complete request."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        clock: Callable[[], float],
        limits: Callable[[], EdgeLimits] = EdgeLimits,
    ) -> None:
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.draining = False
        self.ending = False
        self.active_requests = 0
        self.connections: set[_ServerConnection] = set()
        self._listener_scope = anyio.CancelScope()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        host, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=512)
        task_status.started()
        async with anyio.create_task_group() as tasks:
            with self._listener_scope:
                async with listener:
                    await serve_connections(listener, self._serve_connection, tasks)

    def stop_accepting(self) -> None:
        """Close the listener; open connections stay in use."""
        self._listener_scope.cancel()

    def drain(self) -> None:
        """Close idle connections now and the others after their next response."""
        self.draining = True
        for connection in list(self.connections):
            if connection.idle_scope is not None:
                connection.idle_scope.cancel()

    async def end_requests(self) -> None:
        """Answer the requests that still run with 504, as their outcome is unknown.

        The connection of one whose response has begun is aborted.
        """
        self.ending = True
        for connection in list(self.connections):
            if connection.handler_scope is not None:
                connection.handler_scope.cancel()
        with anyio.move_on_after(END_TIMEOUT_S):
            while self.active_requests:  # noqa: ASYNC110
                await anyio.sleep(END_POLL_S)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        connection = _ServerConnection(self, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        except _CONNECTION_ERRORS:
            pass
        except Exception as error:  # an error on one connection must not stop the server
            log_message(message_type="edge:connection_failed", error=repr(error))
        finally:
            self.connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await connection.close()


class _ServerConnection:
    """Read requests from one connection and respond to them one at a time."""

    def __init__(self, server: EdgeServer, stream: anyio.abc.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.limits = server.limits()
        self.protocol = _new_protocol(self.limits)
        self.idle_scope: anyio.CancelScope | None = None
        self.handler_scope: anyio.CancelScope | None = None
        self.must_abort = False

    def must_close(self) -> bool:
        """Return whether the response must announce that the connection closes after it."""
        return self.server.draining or self.protocol.their_state is h11.MUST_CLOSE

    async def run(self) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            self.server.active_requests += 1
            try:
                responder = Responder(self)
                await self._run_handler(request, responder)
            finally:
                self.server.active_requests -= 1
            if not responder.finished or not self._start_next_cycle():
                return

    async def close(self) -> None:
        """Close the connection; read what the client still sends unless it must be aborted."""
        if self._ends_early():
            raw_socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.must_abort = True
        if self.must_abort:
            await anyio.aclose_forcefully(self.stream)
            return
        try:
            await self.stream.send_eof()
            with anyio.move_on_after(CLOSE_LINGER_S):
                while True:
                    await self.stream.receive(READ_CHUNK_BYTES)
        except _CONNECTION_ERRORS:
            pass
        await anyio.aclose_forcefully(self.stream)

    def _ends_early(self) -> bool:
        """Return whether a response of which the end of the connection is the end is incomplete."""
        is_sending = self.protocol.our_state is h11.SEND_BODY
        return is_sending and self.protocol.their_http_version == b"1.0"

    def _start_next_cycle(self) -> bool:
        """Prepare for the next request; return whether the connection may serve one."""
        protocol = self.protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        return not (self.server.draining and not protocol.trailing_data[0])

    async def _run_handler(self, request: Request, responder: Responder) -> None:
        async with anyio.create_task_group() as tasks:
            self.handler_scope = tasks.cancel_scope
            tasks.start_soon(self._cancel_on_disconnect, tasks.cancel_scope)
            await self.server.handler(request, responder)
            tasks.cancel_scope.cancel()
        self.handler_scope = None
        if self.server.ending and not responder.started and not self.must_abort:
            log_message(message_type="edge:request_ended", target=request.target)
            await responder.send_response(504, [], END_BODY)
        if not responder.finished:
            self.must_abort = True  # a client must not take a truncated response for a complete one

    async def _cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel the handler if the client disconnects; buffer the bytes of pipelined requests.

        What goes beyond the limit of a head is read after the response, so that a client cannot
        fill the memory meanwhile; its disconnection is then noticed only when the response is sent.
        """
        buffered_bytes = 0
        try:
            while buffered_bytes <= self.limits.max_header_bytes:
                data = await self.stream.receive(READ_CHUNK_BYTES)
                buffered_bytes += len(data)
                self.protocol.receive_data(data)
        except _CONNECTION_ERRORS:
            self.must_abort = True
            scope.cancel()

    async def _read_request(self) -> Request | None:
        try:
            return await self._read_complete_request()
        except _RequestRejectedError as rejected:
            await self._reject(rejected.status)
        except h11.RemoteProtocolError as error:
            await self._reject(error.error_status_hint or 400)
        return None

    async def _read_complete_request(self) -> Request | None:
        head = await self._read_head()
        if head is None:
            return None
        received_at = self.server.clock()
        headers_by_name = {
            bytes(name): bytes(value) for name, value in reversed(list(head.headers))
        }
        if b"transfer-encoding" in headers_by_name and b"content-length" in headers_by_name:
            # With two framings, two hops can disagree on where the body ends (request smuggling).
            raise _RequestRejectedError(400)
        body = await self._read_body(headers_by_name)
        return Request(
            head.method.decode(),
            head.target.decode("latin-1"),
            [(bytes(name), bytes(value)) for name, value in head.headers.raw_items()],
            body,
            received_at,
            headers_by_name,
        )

    async def _read_head(self) -> h11.Request | None:
        """Return the next request's head, or None to close the connection without a response.

        That is the case if the client disconnected or stayed idle, or if the server is draining.
        """
        limits = self.limits
        event = self.protocol.next_event()
        if event is h11.NEED_DATA and not self.protocol.trailing_data[0]:
            if self.server.draining:
                return None
            with anyio.move_on_after(limits.idle_timeout_s) as scope:
                self.idle_scope = scope
                data = await self._receive()
            self.idle_scope = None
            if scope.cancelled_caught or not data:
                return None
            limits = self._apply_current_limits()
            self.protocol.receive_data(data)
            event = self.protocol.next_event()
        started_at = time.monotonic()
        while event is h11.NEED_DATA:
            if len(self.protocol.trailing_data[0]) > limits.max_header_bytes:
                raise _RequestRejectedError(431)
            with anyio.move_on_after(
                started_at + limits.header_timeout_s - time.monotonic()
            ) as scope:
                data = await self._receive()
            if scope.cancelled_caught:
                raise _RequestRejectedError(408)
            if not data:
                return None
            self.protocol.receive_data(data)
            event = self.protocol.next_event()
        if not isinstance(event, h11.Request):
            return None
        # The 4 bytes are the colon, the space and the line end of each header.
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size + len(event.target) > limits.max_header_bytes:
            raise _RequestRejectedError(431)
        return event

    def _apply_current_limits(self) -> EdgeLimits:
        """Apply the limits that are in force, before the first byte of a request is parsed."""
        limits = self.server.limits()
        if limits != self.limits:
            self.limits = limits
            self.protocol = _new_protocol(limits)
        return limits

    async def _read_body(self, headers_by_name: dict[bytes, bytes]) -> bytes:
        limits = self.limits
        content_length = headers_by_name.get(b"content-length", b"0")
        length = parse_natural(content_length)
        if length is None or length > limits.max_body_bytes:  # h11 has checked that it is a number
            raise _RequestRejectedError(413)
        if headers_by_name.get(b"expect", b"").lower() == b"100-continue":
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send(self.protocol.send(continue_response) or b"")
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                with anyio.move_on_after(limits.idle_timeout_s) as scope:
                    data = await self._receive()
                if scope.cancelled_caught:
                    raise _RequestRejectedError(408)
                if not data:
                    raise anyio.EndOfStream
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise _RequestRejectedError(413)
                parts.append(bytes(event.data))
            else:
                return b"".join(parts)

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(READ_CHUNK_BYTES)
        except _CONNECTION_ERRORS:
            self.must_abort = True
            return b""

    async def _reject(self, status: int) -> None:
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        data = self.protocol.send(h11.Response(status_code=status, headers=headers)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        await self.stream.send(data)
        log_message(message_type="edge:rejected", status=status)


def _new_protocol(limits: EdgeLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + READ_CHUNK_BYTES
    )
