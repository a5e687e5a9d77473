"""Call HTTP/1.1 peers and know at each moment whether a request may have been run."""

import select
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import anyio
import anyio.abc
import h11

from ..addresses import split_address
from ..errors import Outcome, Step, UpstreamError
from .const import (
    CONNECT_TIMEOUT_S,
    IDLE_DEFAULT_S,
    IDLE_REUSE_MARGIN_S,
    INLINE_BODY_BYTES,
    READ_BYTES,
    USER_TIMEOUT_MS,
)

Headers = Sequence[tuple[bytes, bytes]]
SendCheck = Callable[[], None]
"""Raises right before the first byte is handed to the kernel when a request must not go out."""

_LOST = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


@dataclass(slots=True)
class ResponseHead:
    """Hold the status line and the headers of an answer; names are lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


@dataclass(slots=True)
class HttpResponse:
    """Hold a whole answer."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class _Connection:
    address: str
    stream: anyio.abc.SocketStream
    protocol: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    used: bool = False
    usable_until: float = 0.0

    def quiet(self) -> bool:
        """Tell whether an idle connection is open and holds no bytes that nobody asked for."""
        raw = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLIN | select.POLLERR | select.POLLHUP)
        return not poller.poll(0)


class Exchange:
    """Run one request on one connection; leave the block to give the connection back."""

    def __init__(self, connection: _Connection) -> None:
        self.connection = connection
        self.sent = False
        self.head: ResponseHead | None = None
        self.complete = False

    def _error(self, message: str, step: Step) -> UpstreamError:
        outcome = Outcome.UNKNOWN if self.sent else Outcome.NOT_RUN
        return UpstreamError(message, step=step, peer=self.connection.address, outcome=outcome)

    async def send(self, request: bytes, before_send: SendCheck | None) -> None:
        if before_send is not None:
            before_send()
        self.sent = True
        try:
            await self.connection.stream.send(request)
        except _LOST as error:
            raise self._error("the connection was lost while sending", Step.SEND) from error

    async def _next_event(self) -> h11.Event:
        protocol = self.connection.protocol
        while True:
            try:
                event = protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise self._error("the answer is malformed", Step.RECEIVE) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.connection.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            except _LOST as error:
                raise self._error("the connection was lost", Step.RECEIVE) from error
            protocol.receive_data(data)

    async def read_head(self) -> ResponseHead:
        """Return the head of the final answer; raise UpstreamError."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.head = ResponseHead(event.status_code, list(event.headers))
                return self.head
            if isinstance(event, h11.InformationalResponse):
                continue
            raise self._error("the connection ended before an answer", Step.RECEIVE)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise UpstreamError unless it ends complete."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            else:
                raise self._error("the answer was cut short", Step.RECEIVE)

    async def read_body(self) -> bytes:
        """Return the whole body; raise UpstreamError unless it is complete."""
        return b"".join([chunk async for chunk in self.chunks()])


class HttpPool:
    """Keep connections to upstreams, by address and lifetime of the upstream."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.idle: dict[tuple[str, str], list[_Connection]] = {}
        self.opened = 0

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
        new_connection: bool = False,
        before_send: SendCheck | None = None,
    ) -> AsyncIterator[Exchange]:
        """Send one request; the block reads the answer. Raise UpstreamError.

        The connection is kept only if the block has read a whole answer that allows it.
        """
        key = (address, lifetime)
        connection = None if new_connection else self._take_idle(key)
        if connection is None:
            connection = await self._connect(address)
        exchange = Exchange(connection)
        kept = False
        try:
            data = self._encode(connection, method, target, headers, body)
            if len(data) <= INLINE_BODY_BYTES:
                await exchange.send(data, before_send)
                yield exchange
            else:
                failure: Exception | None = None
                async with anyio.create_task_group() as sender:
                    sender.start_soon(_send_quietly, exchange, data, before_send)
                    try:
                        yield exchange
                    except Exception as error:  # raised below: the task group would wrap it
                        failure = error
                    if not exchange.complete:
                        sender.cancel_scope.cancel()
                if failure is not None:
                    raise failure
            kept = exchange.complete and self._give_back(key, exchange)
        finally:
            if not kept:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(connection.stream)

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        **options: str | bool | SendCheck | None,
    ) -> HttpResponse:
        """Return a whole answer; raise UpstreamError."""
        async with self.exchange(address, method, target, headers, body, **options) as exchange:  # type: ignore[arg-type]
            head = await exchange.read_head()
            return HttpResponse(head, await exchange.read_body())

    def close_idle_connections(self, address: str) -> None:
        """Drop the idle connections to an address that may have gone silent."""
        for key in [key for key in self.idle if key[0] == address]:
            for connection in self.idle.pop(key):
                _abort(connection)

    def close_expired_connections(self) -> None:
        """Close idle connections that will not be used again."""
        now = self.clock()
        for key, connections in list(self.idle.items()):
            live = [item for item in connections if item.usable_until > now]
            for connection in connections:
                if connection.usable_until <= now:
                    _abort(connection)
            if live:
                self.idle[key] = live
            else:
                del self.idle[key]

    def _take_idle(self, key: tuple[str, str]) -> _Connection | None:
        connections = self.idle.get(key)
        while connections:
            connection = connections.pop()
            if connection.usable_until > self.clock() and connection.quiet():
                return connection
            _abort(connection)
        return None

    async def _connect(self, address: str) -> _Connection:
        host, port = split_address(address)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            raise UpstreamError(
                "cannot connect", step=Step.CONNECT, peer=address, outcome=Outcome.NOT_RUN
            ) from error
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.opened += 1
        return _Connection(address, stream)

    @staticmethod
    def _encode(
        connection: _Connection, method: str, target: str, headers: Headers, body: bytes
    ) -> bytes:
        fields = list(headers)
        if body or method in ("POST", "PUT"):
            fields.append((b"Content-Length", str(len(body)).encode()))
        if not any(name.lower() == b"host" for name, _ in fields):
            fields.insert(0, (b"Host", connection.address.encode()))
        protocol = connection.protocol
        parts = [protocol.send(h11.Request(method=method, target=target, headers=fields)) or b""]
        if body:
            parts.append(protocol.send(h11.Data(data=body)) or b"")
        parts.append(protocol.send(h11.EndOfMessage()) or b"")
        connection.used = True
        return b"".join(parts)

    def _give_back(self, key: tuple[str, str], exchange: Exchange) -> bool:
        connection = exchange.connection
        protocol = connection.protocol
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return False
        if protocol.trailing_data[0]:
            return False  # bytes after a complete answer belong to no request
        protocol.start_next_cycle()
        connection.usable_until = self.clock() + _idle_s(exchange.head)
        self.idle.setdefault(key, []).append(connection)
        return True


async def _send_quietly(exchange: Exchange, data: bytes, before_send: SendCheck | None) -> None:
    """Send a long request; a loss shows where the answer is read."""
    try:
        await exchange.send(data, before_send)
    except UpstreamError:
        return


def _idle_s(head: ResponseHead | None) -> float:
    """Return how long an idle connection may be reused, by the peer's announcement."""
    announced = head.get(b"keep-alive") if head is not None else None
    for part in (announced or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_REUSE_MARGIN_S)
    return IDLE_DEFAULT_S


def _abort(connection: _Connection) -> None:
    transport = connection.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    with suppress(OSError):
        transport.shutdown(socket.SHUT_RDWR)
    connection.stream._transport.abort()  # type: ignore[attr-defined]  # closes without waiting
