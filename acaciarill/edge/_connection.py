"""Read requests from one connection of a client and send the responses."""

import socket
import struct
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import h11
from eliot import log_message

from ..connection_budget import RETRY_AFTER_S, SOCKET_BUFFER_BYTES, ConnectionAccount
from ..listening import abort_stream
from ..numerals import parse_natural
from ._pieces import split_bytes
from ._requests import EdgeLimits, Request, RequestRejectedError
from ._responder import Responder
from .const import CLOSE_LINGER_S, READ_CHUNK_BYTES

if TYPE_CHECKING:
    from ._server import EdgeServer

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close resets the connection."""

END_BODY = b'{"code":"stopping"}'

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class ServerConnection:
    """Read requests from one connection and respond to them one at a time."""

    def __init__(
        self, server: "EdgeServer", stream: anyio.abc.SocketStream, account: ConnectionAccount
    ) -> None:
        self.server = server
        self.stream = stream
        self.account = account
        self.limits = server.limits()
        self.protocol = _new_protocol(self.limits)
        self.buffered_bytes = 0
        self.idle_scope: anyio.CancelScope | None = None
        self.receive_scope: anyio.CancelScope | None = None
        self.handler_scope: anyio.CancelScope | None = None
        self.must_abort = False

    def must_close(self) -> bool:
        """Return whether the response must announce that the connection closes after it."""
        return self.server.draining or self.protocol.their_state is not h11.DONE

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        while await self._wait_for_turn() and await self._serve_next():
            pass

    async def _wait_for_turn(self) -> bool:
        """Let few requests that were sent ahead begin at a time, of all connections together.

        Otherwise clients that send ahead would leave the others a small part of the processor.
        Return whether the connection may go on.
        """
        if not self.protocol.trailing_data[0]:
            return True
        with anyio.CancelScope() as scope:
            self.receive_scope = scope
            async with self.server.sent_ahead_limiter:
                await anyio.lowlevel.checkpoint()
        self.receive_scope = None
        return not scope.cancelled_caught

    async def _serve_next(self) -> bool:
        """Serve the next request; return whether another one may follow."""
        request = await self._read_request()
        if request is None:
            return False
        self.server.active_requests += 1
        self.account.is_running = True
        self._account_buffered()
        try:
            responder = Responder(self)
            await self._run_handler(request, responder)
        finally:
            self.server.active_requests -= 1
            self.account.is_running = False
        self.account.resize_body(0)
        self.account.record_step(self.server.clock())
        return responder.finished and self._start_next_cycle()

    def give_way(self) -> None:
        """End the connection, since others need what it holds.

        A request that is being received is answered with 503; a connection that is idle, or whose
        client does not read its response or sends too much ahead, is aborted.
        """
        account = self.account
        if account.is_overfull or account.sending_since is not None or self.idle_scope is not None:
            self.must_abort = True
            abort_stream(self.stream)
            if self.handler_scope is not None:
                self.handler_scope.cancel()
        elif self.receive_scope is not None:
            self.receive_scope.cancel()

    async def send(self, data: bytes) -> None:
        """Send bytes piece by piece, while what is unsent counts as held."""
        account, clock = self.account, self.server.clock
        account.hold(len(data))
        account.start_sending(self.limits.idle_timeout_s, clock())
        try:
            for piece in split_bytes(data):
                await self.stream.send(piece)
                if self.must_abort:
                    raise anyio.BrokenResourceError
                account.record_progress(len(piece), clock())
        except CONNECTION_ERRORS:
            self.must_abort = True
            raise
        finally:
            account.finish_sending()
            account.release(len(data))

    async def close(self) -> None:
        """Close the connection; read what the client still sends unless it must be aborted."""
        if self._ends_early():
            with suppress(OSError):  # a lost connection has no socket any more
                raw_socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.must_abort = True
        if not self.must_abort and self.server.may_linger():
            self.server.lingering_count += 1
            try:
                await self.stream.send_eof()
                with anyio.move_on_after(CLOSE_LINGER_S):
                    while True:
                        await self.stream.receive(READ_CHUNK_BYTES)
            except CONNECTION_ERRORS:
                pass
            finally:
                self.server.lingering_count -= 1
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
            try:
                await self.server.handler(request, responder)
            except CONNECTION_ERRORS:
                if not self.must_abort:
                    raise
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
        try:
            while self.buffered_bytes <= self.limits.max_header_bytes:
                self.protocol.receive_data(await self.stream.receive(READ_CHUNK_BYTES))
                self._account_buffered()
        except CONNECTION_ERRORS:
            self.must_abort = True
            scope.cancel()
            return
        # Nobody reads meanwhile what arrives, up to the size of the kernel's buffer.
        self.account.is_overfull = True
        self.account.hold(SOCKET_BUFFER_BYTES)
        try:
            await anyio.sleep_forever()
        finally:
            self.account.is_overfull = False
            self.account.release(SOCKET_BUFFER_BYTES)

    def _account_buffered(self) -> None:
        """Account for what the parser holds beside the request that runs."""
        size = len(self.protocol.trailing_data[0])
        if size > self.buffered_bytes:
            self.account.hold(size - self.buffered_bytes)
        elif size < self.buffered_bytes:
            self.account.release(self.buffered_bytes - size)
        self.buffered_bytes = size

    async def _read_request(self) -> Request | None:
        try:
            return await self._read_complete_request()
        except RequestRejectedError as rejected:
            await self._reject(rejected.status)
        except h11.RemoteProtocolError as error:
            await self._reject(error.error_status_hint or 400)
        return None

    async def _read_complete_request(self) -> Request | None:
        head = await self._read_head()
        if head is None:
            return None
        headers_by_name = {
            bytes(name): bytes(value) for name, value in reversed(list(head.headers))
        }
        is_chunked = b"transfer-encoding" in headers_by_name
        if is_chunked and b"content-length" in headers_by_name:
            # With two framings, two hops can disagree on where the body ends (request smuggling).
            raise RequestRejectedError(400)
        request = Request(
            head.method.decode(),
            head.target.decode("latin-1"),
            [(bytes(name), bytes(value)) for name, value in head.headers.raw_items()],
            b"",
            self.server.clock(),
            headers_by_name,
        )
        # h11 has checked that it is a number.
        length = parse_natural(headers_by_name.get(b"content-length", b"0"))
        if length is None or length > self.limits.max_body_bytes:
            raise RequestRejectedError(413)
        if length or is_chunked:
            request.head_error = self.server.check_head(request)
        if request.head_error is None:
            request.body = await self._read_body(request, length)
        else:
            self._skip_buffered_body()
        return request

    async def _read_head(self) -> h11.Request | None:
        """Return the next request's head, or None to close the connection without a response.

        That is the case if the client disconnected or stayed idle, if the server is draining, or if
        other connections need the place.
        """
        limits = self.limits
        event = self.protocol.next_event()
        if event is h11.NEED_DATA and not self.protocol.trailing_data[0]:
            if self.server.draining or self.account.is_ending:
                return None
            with anyio.move_on_after(limits.idle_timeout_s) as scope:
                self.idle_scope = self.receive_scope = scope
                data = await self._receive()
            self.idle_scope = self.receive_scope = None
            if scope.cancelled_caught or not data:
                return None
            self.account.record_step(self.server.clock())
            limits = self._apply_current_limits()
            self.protocol.receive_data(data)
            event = self.protocol.next_event()
        started_at = time.monotonic()
        while event is h11.NEED_DATA:
            self._account_buffered()
            if self.buffered_bytes > limits.max_header_bytes:
                raise RequestRejectedError(431)
            data = await self._receive_within(
                started_at + limits.header_timeout_s - time.monotonic()
            )
            if not data:
                return None
            self.protocol.receive_data(data)
            event = self.protocol.next_event()
        if not isinstance(event, h11.Request):
            return None
        # The 4 bytes are the colon, the space and the line end of each header.
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size + len(event.target) > limits.max_header_bytes:
            raise RequestRejectedError(431)
        return event

    def _apply_current_limits(self) -> EdgeLimits:
        """Apply the limits that are in force, before the first byte of a request is parsed."""
        limits = self.server.limits()
        if limits != self.limits:
            self.limits = limits
            self.protocol = _new_protocol(limits)
        return limits

    async def _read_body(self, request: Request, length: int) -> bytes:
        """Read the body of a request, `length` bytes or, if that is 0, in chunks."""
        self._find_room(length)
        if request.get(b"expect").lower() == "100-continue":
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(self.protocol.send(continue_response) or b"")
        body = bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive_within(self.limits.idle_timeout_s)
                if not data:
                    raise anyio.EndOfStream
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.max_body_bytes:
                    raise RequestRejectedError(413)
                if not length:
                    self._find_room(len(body))
            else:
                return bytes(body)

    def _find_room(self, body_bytes: int) -> None:
        if not self.account.resize_body(body_bytes):
            raise RequestRejectedError(503)

    def _skip_buffered_body(self) -> None:
        """Skip the body of a rejected request if all of it has arrived already."""
        while isinstance(self.protocol.next_event(), h11.Data):
            pass

    async def _receive_within(self, timeout_s: float) -> bytes:
        """Return what the client sends next; raise RequestRejectedError if nothing came in time."""
        if self.account.is_ending:
            raise RequestRejectedError(503)
        with anyio.move_on_after(timeout_s) as scope:
            self.receive_scope = scope
            data = await self._receive()
        self.receive_scope = None
        if scope.cancelled_caught:
            raise RequestRejectedError(503 if self.account.is_ending else 408)
        self.account.record_progress(len(data), self.server.clock())
        return data

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(READ_CHUNK_BYTES)
        except CONNECTION_ERRORS:
            self.must_abort = True
            return b""

    async def _reject(self, status: int) -> None:
        """Answer a request that has not been passed to the handler, and close after it."""
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.account.resize_body(0)
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == 503:
            headers.append((b"Retry-After", str(RETRY_AFTER_S).encode()))
        data = self.protocol.send(h11.Response(status_code=status, headers=headers)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        log_message(message_type="edge:rejected", status=status)
        await self.send(data)


def _new_protocol(limits: EdgeLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + READ_CHUNK_BYTES
    )
