"""Send requests to upstreams through other daemons."""

import select
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
from eliot import log_message

from ..addresses import split_address
from ..edge import BodyReader, ResponseBuffers, ResponseHead, is_final_status
from ..errors import AcaciarillError, Outcome, PeerError, Step, UpstreamError
from ..fleet import RELAY_CUT_OFF, ROLE_FRONT, EncodedRequest, Members
from ..peers import CONNECTION_ERRORS, FrameStream, messages
from ._decisions import RelayCandidate, order_relays
from .const import (
    MAX_RELAYS_TRIED,
    RELAY_BACKOFF_S,
    RELAY_CONNECT_TIMEOUT_S,
    RELAY_IDLE_REUSE_S,
    RELAY_REFUSED,
    RELAY_TCP_USER_TIMEOUT_MS,
)

RETRYABLE_CODES = (RELAY_CUT_OFF, RELAY_REFUSED)
CALL_ID = 1
"""A connection carries one exchange at a time, so all of them have the same id."""


class RelayedExchange(BodyReader):
    """Read the response to a request that another daemon passes on.

    Its errors carry what that daemon knows of the outcome; if the connection to it is lost, the
    request may have run.
    """

    def __init__(self, relay: str, frame_stream: FrameStream, buffers: ResponseBuffers) -> None:
        super().__init__(buffers)
        self.relay = relay
        self.frame_stream = frame_stream
        self.is_first = True  # the relay has checked that the response is the one to the request

    async def read_frame(self) -> Any:
        """Return the next frame; raise UpstreamError."""
        try:
            frame = await self.frame_stream.receive()
            while frame.notify is not None:
                frame = await self.frame_stream.receive()
        except (*CONNECTION_ERRORS, AcaciarillError) as error:
            raise UpstreamError(
                "connection to the relaying daemon was lost",
                step=Step.FORWARD,
                peer=self.relay,
                outcome=Outcome.UNKNOWN,
            ) from error
        if frame.failed is not None:
            self.response_complete = True  # the connection can carry the next exchange
            raise UpstreamError(
                frame.failed.message,
                step=Step(frame.failed.step),
                peer=self.relay,
                outcome=Outcome(frame.failed.outcome),
                code=frame.failed.code,
            )
        return frame

    async def read_head(self) -> ResponseHead:
        """Return the head of the response; raise UpstreamError."""
        head = (await self.read_frame()).forward_head
        if head is None:
            raise self.build_error("relaying daemon sent no head", Step.FORWARD)
        if not is_final_status(head.status):
            # Builds before this check pass such a status on; the upstream is at fault.
            raise self.build_error(f"response has the invalid status {head.status}", Step.RECEIVE)
        return ResponseHead(head.status, [(h.name, h.value) for h in head.headers or []])

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive; raise UpstreamError if it is incomplete."""
        while True:
            frame = await self.read_frame()
            if frame.forward_end is not None:
                self.response_complete = True
                return
            if frame.forward_chunk is None:
                raise self.build_error("relaying daemon sent an unexpected frame", Step.FORWARD)
            yield frame.forward_chunk.data

    def build_error(self, message: str, step: Step, code: str | None = None) -> UpstreamError:
        """Return an error of a request that may have run."""
        return UpstreamError(
            message, step=step, peer=self.relay, outcome=Outcome.UNKNOWN, code=code
        )


@dataclass(slots=True)
class _IdleConnection:
    frame_stream: FrameStream
    stream: anyio.abc.SocketStream
    usable_until: float

    def is_reusable(self, now: float) -> bool:
        raw_socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poller = select.poll()
        poller.register(raw_socket.fileno(), select.POLLIN | select.POLLERR | select.POLLHUP)
        return self.usable_until > now and not poller.poll(0)


class RelayClient:
    """Exchange requests through the daemons that reach the upstreams.

    Each exchange has a connection of its own while it lasts: closing it tells the relay to end the
    exchange, and a slow response does not hold up others.
    """

    def __init__(
        self,
        members: Members,
        greeting: Any,
        clock: Callable[[], float],
        ping: Callable[[str], None],
        buffers: ResponseBuffers,
        on_exchange: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.members = members
        self.greeting = greeting
        self.clock = clock
        self.ping = ping
        self.buffers = buffers
        self.on_exchange = on_exchange
        self.avoided_until: dict[str, float] = {}
        self.idle_connections: dict[str, list[_IdleConnection]] = {}
        self.relays_in_use: dict[str, int] = {}

    def relay_order(self) -> list[str]:
        """Return the names of the daemons that may relay, the preferred one first."""
        own = self.members.own
        candidates = [
            RelayCandidate(
                member.name,
                member.data_centre,
                member.role == ROLE_FRONT,
                member.unreachable_since is None,
                member.draining,
                member.is_cut_off,
                self.avoided_until.get(member.name, 0.0),
            )
            for member in self.members.by_name.values()
            if member is not own
        ]
        return order_relays(candidates, own.name, own.data_centre, self.clock())

    async def ping_relays(self) -> None:
        """Show the relays that this daemon is alive, as they end the exchanges of a silent one."""
        for name in self.relays_in_use:
            if name in self.members.by_name:
                self.ping(name)

    @asynccontextmanager
    async def exchange(
        self, request: EncodedRequest, before_send: Callable[[], None]
    ) -> AsyncIterator[tuple[RelayedExchange, ResponseHead]]:
        """Send a request and yield the exchange after its head; raise UpstreamError.

        The error's outcome is NOT_RUN only if no relay can have sent a byte to the upstream, and
        only then another relay is tried.
        """
        for name in self.relay_order()[:MAX_RELAYS_TRIED]:
            try:
                frame_stream, stream = await self._take_connection(name)
            except PeerError as error:
                self._avoid(name, error.message)
                continue
            exchange = RelayedExchange(name, frame_stream, self.buffers)
            self.relays_in_use[name] = self.relays_in_use.get(name, 0) + 1
            sent_at = self.clock()
            head: ResponseHead | None = None
            try:
                before_send()
                try:
                    head = await self._send(exchange, request)
                except UpstreamError as error:
                    if error.outcome is Outcome.NOT_RUN and error.code in RETRYABLE_CODES:
                        self._avoid(name, error.message)
                        continue
                    raise
                self.on_exchange("relayed")
                yield exchange, head
                return
            finally:
                self._release(name)
                if exchange.response_complete:
                    self._return_to_pool(name, frame_stream, stream)
                else:
                    with anyio.CancelScope(shield=True):
                        await frame_stream.aclose()
                    if head is None and self.clock() - sent_at > RELAY_CONNECT_TIMEOUT_S:
                        self._avoid(name, "it did not respond")
        self.on_exchange("no relay")
        raise UpstreamError(
            "no daemon can relay the request to the upstream",
            step=Step.FORWARD,
            peer=request.upstream.id,
            outcome=Outcome.NOT_RUN,
            code=RELAY_CUT_OFF,
        )

    async def _send(self, exchange: RelayedExchange, request: EncodedRequest) -> ResponseHead:
        relay = messages.Relay(
            daemon=self.members.name,
            upstream=request.upstream.id,
            lifetime=request.upstream.lifetime,
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=[messages.Header(name=name, value=value) for name, value in request.headers],
            body=request.body,
        )
        try:
            await exchange.frame_stream.send(messages.Frame(call_id=CALL_ID, relay=relay))
        except PeerError as error:  # nothing was sent
            raise UpstreamError(
                error.message, step=Step.FORWARD, outcome=Outcome.NOT_RUN, code=error.code
            ) from error
        except CONNECTION_ERRORS as error:
            raise exchange.build_error(
                "connection to the relaying daemon was lost", Step.FORWARD
            ) from error
        return await exchange.read_head()

    async def _take_connection(self, name: str) -> tuple[FrameStream, anyio.abc.SocketStream]:
        """Return an open connection to a daemon; raise PeerError."""
        member = self.members.by_name.get(name)
        if member is None:
            raise _connect_error(name)
        idle = self.idle_connections.get(name, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(self.clock()):
                return connection.frame_stream, connection.stream
            await connection.frame_stream.aclose()
        host, port = split_address(member.address)
        try:
            with anyio.fail_after(RELAY_CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
                raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw_socket.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, RELAY_TCP_USER_TIMEOUT_MS
                )
                frame_stream = FrameStream(stream)
                await frame_stream.send(messages.Frame(call_id=0, greeting=self.greeting))
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            raise _connect_error(name) from error
        return frame_stream, stream

    def _return_to_pool(
        self, name: str, frame_stream: FrameStream, stream: anyio.abc.SocketStream
    ) -> None:
        usable_until = self.clock() + RELAY_IDLE_REUSE_S
        connection = _IdleConnection(frame_stream, stream, usable_until)
        self.idle_connections.setdefault(name, []).append(connection)

    async def close_expired_connections(self) -> None:
        """Close the idle connections that have become too old for reuse."""
        now = self.clock()
        for name, connections in list(self.idle_connections.items()):
            expired = [item for item in connections if item.usable_until <= now]
            self.idle_connections[name] = [c for c in connections if c.usable_until > now]
            if not self.idle_connections[name]:
                del self.idle_connections[name]
            for connection in expired:
                await connection.frame_stream.aclose()

    def _release(self, name: str) -> None:
        self.relays_in_use[name] -= 1
        if not self.relays_in_use[name]:
            del self.relays_in_use[name]

    def _avoid(self, name: str, reason: str) -> None:
        self.avoided_until[name] = self.clock() + RELAY_BACKOFF_S
        log_message(
            message_type="relay:avoided", peer=name, reason=reason, backoff_s=RELAY_BACKOFF_S
        )


def _connect_error(name: str) -> PeerError:
    return PeerError(
        "cannot connect to the relaying daemon",
        step=Step.CONNECT,
        peer=name,
        outcome=Outcome.NOT_RUN,
    )
