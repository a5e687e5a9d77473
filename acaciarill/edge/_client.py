"""Send HTTP/1.1 requests and report for each error whether the peer can have run the request."""

import select
import socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import anyio
import anyio.abc
import h11

from ..addresses import check_address, split_address
from ..errors import Outcome, Step, UpstreamError
from ..listening import unsent_bytes
from ._checks import idle_reuse_s, is_final_status
from ._pieces import split_bytes
from ._responses import BodyReader, HttpResponse, ResponseBuffers, ResponseHead
from .const import (
    CONNECT_TIMEOUT_S,
    MAX_EVENTS_WITHOUT_PAUSE,
    MAX_INLINE_REQUEST_BYTES,
    MAX_INTERIM_HEADS,
    MAX_RECENT_REQUEST_IDS,
    READ_CHUNK_BYTES,
    TCP_USER_TIMEOUT_MS,
)

Headers = Sequence[tuple[bytes, bytes]]
OpenStream = Callable[[str, float], Awaitable[anyio.abc.SocketStream]]
"""Connect to an address within some seconds; raise OSError, TimeoutError or ValueError."""
BeforeSend = Callable[[], None]
"""Raise an error right before the first byte is sent if the request must not be sent."""

CONNECTION_LOST = "connection-lost"
"""Code of the error for a connection that ended before the response was complete."""
CONNECTION_REFUSED = "connection-refused"
"""Code of the error for an address at which no process listens."""
ABORTED = "connection was given up before the response was complete"
CLOSED_EARLY = "connection was closed before the response was complete"

_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)

_CONNECT_ERRORS = (OSError, TimeoutError, ValueError)
"""An address that is not `ip:port` raises the last one."""


@dataclass(slots=True)
class _Connection:
    address: str
    stream: anyio.abc.SocketStream
    protocol: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    used: bool = False
    usable_until: float = 0.0
    recent_request_ids: deque[str] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_REQUEST_IDS)
    )

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open and has no unsolicited bytes to read."""
        connection_socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poller = select.poll()
        poller.register(connection_socket.fileno(), select.POLLIN | select.POLLERR | select.POLLHUP)
        return not poller.poll(0)


class Exchange(BodyReader):
    """Run one request on one connection of a pool.

    An error's outcome is NOT_RUN only if no byte of the request can have been sent. `is_first` says
    that the connection has carried no request before. `on_receive` is called when bytes arrive.
    """

    def __init__(
        self,
        connection: _Connection,
        buffers: ResponseBuffers,
        is_first: bool = True,
        on_receive: Callable[[], None] | None = None,
    ) -> None:
        super().__init__(buffers)
        self.connection = connection
        self.is_first = is_first
        self.on_receive = on_receive
        self.send_started = False
        self.is_aborted = False
        self.head: ResponseHead | None = None
        self.events_without_pause = 0

    def build_error(self, message: str, step: Step, code: str | None = None) -> UpstreamError:
        outcome = Outcome.UNKNOWN if self.send_started else Outcome.NOT_RUN
        return UpstreamError(
            message, step=step, peer=self.connection.address, outcome=outcome, code=code
        )

    async def send(self, parts: Sequence[bytes]) -> None:
        """Send the parts of the encoded request; raise UpstreamError."""
        self.send_started = True
        try:
            for part in parts:
                for piece in split_bytes(part):
                    await self.connection.stream.send(piece)
        except _CONNECTION_ERRORS as error:
            raise self.build_error(
                "connection was lost while the request was being sent", Step.SEND, CONNECTION_LOST
            ) from error

    async def _next_event(self) -> h11.Event:
        protocol = self.connection.protocol
        closed = False
        while True:
            try:
                event = protocol.next_event()
            except h11.RemoteProtocolError as error:
                if closed:
                    raise self.build_error(CLOSED_EARLY, Step.RECEIVE, CONNECTION_LOST) from error
                raise self.build_error("response is malformed", Step.RECEIVE) from error
            if event is not h11.NEED_DATA:
                self.events_without_pause += 1
                if self.events_without_pause >= MAX_EVENTS_WITHOUT_PAUSE:
                    self.events_without_pause = 0
                    await anyio.lowlevel.checkpoint()
                return event
            self.events_without_pause = 0
            try:
                data = await self.connection.stream.receive(READ_CHUNK_BYTES)
            except anyio.EndOfStream as error:
                if self.is_aborted:  # not the peer's end, which may complete a response
                    raise self.build_error(ABORTED, Step.RECEIVE) from error
                data = b""
            except _CONNECTION_ERRORS as error:
                if self.is_aborted:
                    raise self.build_error(ABORTED, Step.RECEIVE) from error
                raise self.build_error(
                    "connection was lost before the response was complete",
                    Step.RECEIVE,
                    CONNECTION_LOST,
                ) from error
            closed = not data
            if data and self.on_receive is not None:
                self.on_receive()
            protocol.receive_data(data)

    def has_unacknowledged_bytes(self) -> bool:
        """Return whether the peer's host has not confirmed all bytes that were sent."""
        return unsent_bytes(self.connection.stream) > 0

    def abort(self) -> None:
        """End the connection, so that whoever reads the response gets an error."""
        self.is_aborted = True
        _abort_connection(self.connection)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response, after any informational ones; raise UpstreamError."""
        for _ in range(MAX_INTERIM_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if not is_final_status(event.status_code):
                    raise self.build_error(
                        f"response has the invalid status {event.status_code}", Step.RECEIVE
                    )
                self.head = ResponseHead(event.status_code, list(event.headers))
                return self.head
            if isinstance(event, h11.InformationalResponse):
                continue
            raise self.build_error(CLOSED_EARLY, Step.RECEIVE, CONNECTION_LOST)
        raise self.build_error(
            f"response has over {MAX_INTERIM_HEADS} informational heads", Step.RECEIVE
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive; raise UpstreamError if it is incomplete."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.response_complete = True
                return
            else:
                raise self.build_error(CLOSED_EARLY, Step.RECEIVE, CONNECTION_LOST)


class HttpPool:
    """Pool connections by address and by the lifetime of the upstream.

    An upstream's lifetime changes when it restarts, so no connection to its old process is reused.
    """

    def __init__(self, clock: Callable[[], float], open_stream: OpenStream | None = None) -> None:
        self.clock = clock
        self.open_stream = open_stream or _open_stream
        self.idle_connections: dict[tuple[str, str], list[_Connection]] = {}
        self.opened_count = 0
        self.buffers = ResponseBuffers()

    @asynccontextmanager
    async def exchange(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        *,
        lifetime: str = "",
        request_id: str = "",
        new_connection: bool = False,
        before_send: BeforeSend | None = None,
        on_receive: Callable[[], None] | None = None,
    ) -> AsyncIterator[Exchange]:
        """Send one request and yield the exchange to read the response from; raise UpstreamError.

        A request with the id of an earlier one gets another connection: a second copy of the
        earlier response could not be told from its own.
        The connection returns to the pool only if the block has read a complete response that
        allows reuse.
        """
        key = (address, lifetime)
        connection = None if new_connection else self._take_idle_connection(key, request_id)
        is_first = connection is None
        if connection is None:
            connection = await self._connect(address)
        connection.recent_request_ids.append(request_id)
        exchange = Exchange(connection, self.buffers, is_first, on_receive)
        returned_to_pool = False
        try:
            parts = self._encode(connection, method, target, headers, body)
            if before_send is not None:
                before_send()
            if sum(map(len, parts)) <= MAX_INLINE_REQUEST_BYTES:
                await exchange.send([b"".join(parts)])
                yield exchange
            else:
                failure: Exception | None = None
                async with anyio.create_task_group() as sender:
                    sender.start_soon(_send_ignoring_lost_connection, exchange, parts)
                    try:
                        yield exchange
                    except Exception as error:  # raised below, since the task group would wrap it
                        failure = error
                    if not exchange.response_complete:
                        sender.cancel_scope.cancel()
                if failure is not None:
                    raise failure
            returned_to_pool = exchange.response_complete and self._return_to_pool(key, exchange)
        finally:
            if not returned_to_pool:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(connection.stream)

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        **options: str | bool | BeforeSend | None,
    ) -> HttpResponse:
        """Send one request and return the complete response; raise UpstreamError."""
        async with self.exchange(address, method, target, headers, body, **options) as exchange:  # type: ignore[arg-type]
            head = await exchange.read_head()
            return HttpResponse(head, await exchange.read_body())

    async def is_refused(self, address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
        """Return whether no process listens at an address; False if that is not known in time."""
        try:
            stream = await self.open_stream(address, timeout_s)
        except _CONNECT_ERRORS as error:
            return _is_refusal(error)
        await anyio.aclose_forcefully(stream)
        return False

    async def can_connect(self, address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
        """Return whether a connection to an address can be opened in time."""
        try:
            stream = await self.open_stream(address, timeout_s)
        except _CONNECT_ERRORS:
            return False
        await anyio.aclose_forcefully(stream)
        return True

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address that may no longer respond."""
        for key in [key for key in self.idle_connections if key[0] == address]:
            for connection in self.idle_connections.pop(key):
                _abort_connection(connection)

    def close_expired_connections(self) -> None:
        """Close the idle connections that have become too old for reuse."""
        now = self.clock()
        for key, connections in list(self.idle_connections.items()):
            unexpired = [item for item in connections if item.usable_until > now]
            for connection in connections:
                if connection.usable_until <= now:
                    _abort_connection(connection)
            if unexpired:
                self.idle_connections[key] = unexpired
            else:
                del self.idle_connections[key]

    def _take_idle_connection(self, key: tuple[str, str], request_id: str) -> _Connection | None:
        """Return a usable connection that has not carried a request with this id lately."""
        connections = self.idle_connections.get(key, [])
        for connection in reversed(list(connections)):
            if request_id and request_id in connection.recent_request_ids:
                continue
            connections.remove(connection)
            if connection.usable_until > self.clock() and connection.is_reusable():
                return connection
            _abort_connection(connection)
        return None

    async def _connect(self, address: str) -> _Connection:
        try:
            stream = await self.open_stream(address, CONNECT_TIMEOUT_S)
        except _CONNECT_ERRORS as error:
            refused = _is_refusal(error)
            raise UpstreamError(
                "connection was refused" if refused else "connection attempt failed or timed out",
                step=Step.CONNECT,
                peer=address,
                outcome=Outcome.NOT_RUN,
                code=CONNECTION_REFUSED if refused else None,
            ) from error
        connection_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        connection_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.opened_count += 1
        return _Connection(address, stream)

    @staticmethod
    def _encode(
        connection: _Connection, method: str, target: str, headers: Headers, body: bytes
    ) -> list[bytes]:
        """Return the parts of the encoded request; that of the body is no copy."""
        request_headers = list(headers)
        if body or method in ("POST", "PUT"):
            request_headers.append((b"Content-Length", str(len(body)).encode()))
        if not any(name.lower() == b"host" for name, _ in request_headers):
            request_headers.insert(0, (b"Host", connection.address.encode()))
        protocol = connection.protocol
        parts = [
            protocol.send(h11.Request(method=method, target=target, headers=request_headers)) or b""
        ]
        if body:
            parts.append(protocol.send(h11.Data(data=body)) or b"")
        parts.append(protocol.send(h11.EndOfMessage()) or b"")
        connection.used = True
        return parts

    def _return_to_pool(self, key: tuple[str, str], exchange: Exchange) -> bool:
        connection = exchange.connection
        protocol = connection.protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        if protocol.trailing_data[0]:
            return False  # bytes after a complete response belong to no request
        protocol.start_next_cycle()
        keep_alive = exchange.head.get(b"keep-alive") if exchange.head is not None else None
        connection.usable_until = self.clock() + idle_reuse_s(keep_alive)
        self.idle_connections.setdefault(key, []).append(connection)
        return True


async def _open_stream(address: str, timeout_s: float) -> anyio.abc.SocketStream:
    """Connect to an address; raise one of _CONNECT_ERRORS."""
    host, port = split_address(check_address(address))
    with anyio.fail_after(timeout_s):
        return await anyio.connect_tcp(host, port)


def _is_refusal(error: Exception) -> bool:
    return isinstance(error.__cause__ or error, ConnectionRefusedError)


async def _send_ignoring_lost_connection(exchange: Exchange, parts: list[bytes]) -> None:
    """Send a long request; a lost connection is reported when the response is read."""
    try:
        await exchange.send(parts)
    except UpstreamError:
        return


def _abort_connection(connection: _Connection) -> None:
    connection_socket = connection.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with suppress(OSError):
        connection_socket.shutdown(socket.SHUT_RDWR)
    connection.stream._transport.abort()  # type: ignore[attr-defined]  # closes without waiting
