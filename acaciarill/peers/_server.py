"""Answer the calls of other daemons."""

import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
from anyio.streams.tls import TLSListener
from eliot import log_message

from ..addresses import split_address
from ..errors import AcaciarillError, BadRequestError, Outcome, RefusedError, Step
from ._framing import CONNECTION_ERRORS, FrameStream
from ._messages import messages
from .const import GREETING_TIMEOUT_S, PROTOCOL_VERSION

CallHandler = Callable[[Any], Awaitable[dict[str, Any]]]
StreamHandler = Callable[[Any], AsyncIterator[dict[str, Any]]]

_MEMBERS = [spec[1] for spec in messages.Frame.thrift_spec.values()]


class PeerServer:
    """Accept connections and hand each frame to the handler of its member."""

    def __init__(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        self.address = address
        self.tls = tls
        self.handlers: dict[str, CallHandler] = {}
        self.stream_handlers: dict[str, StreamHandler] = {}
        self.connections: dict[int, FrameStream] = {}
        self.active_streams = 0
        self.draining = False
        self.closed_bytes = 0

    def control_bytes(self) -> int:
        """Return the bytes sent and received on incoming connections."""
        frames = self.connections.values()
        return self.closed_bytes + sum(item.bytes_sent + item.bytes_received for item in frames)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        host, port = split_address(self.address)
        listener: anyio.abc.Listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        if self.tls is not None:
            listener = TLSListener(listener, self.tls, standard_compatible=False)
        task_status.started()
        async with listener:
            await listener.serve(self._serve_connection)

    async def notify_all(self) -> None:
        """Tell every connected daemon that something newer is here."""
        for frames in list(self.connections.values()):
            with anyio.move_on_after(GREETING_TIMEOUT_S):
                try:
                    await frames.send(messages.Frame(call_id=0, notify=messages.Notify()))
                except CONNECTION_ERRORS:
                    continue

    async def _serve_connection(self, stream: anyio.abc.ByteStream) -> None:
        frames = FrameStream(stream)
        try:
            peer = await _read_greeting(frames)
            self.connections[id(frames)] = frames
            async with anyio.create_task_group() as task_group:
                await self._receive_calls(frames, peer, task_group)
                task_group.cancel_scope.cancel()
        except (*CONNECTION_ERRORS, TimeoutError):
            pass
        except AcaciarillError as error:
            _log_rejected(error)
        finally:
            self.connections.pop(id(frames), None)
            self.closed_bytes += frames.bytes_sent + frames.bytes_received
            with anyio.CancelScope(shield=True):
                await frames.aclose()

    async def _receive_calls(
        self, frames: FrameStream, peer: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        """Start an answer to each call until the connection ends or a frame is malformed."""
        try:
            while True:
                frame = await frames.receive()
                if frame.heartbeat is not None:
                    frame.heartbeat.daemon = peer
                task_group.start_soon(self._answer, frames, frame)
        except CONNECTION_ERRORS:
            return
        except AcaciarillError as error:
            _log_rejected(error)

    async def _answer(self, frames: FrameStream, frame: Any) -> None:
        member = next(
            (name for name in _MEMBERS if name != "call_id" and getattr(frame, name) is not None),
            "",
        )
        try:
            if member in self.stream_handlers:
                await self._answer_stream(frames, frame, member)
            elif member in self.handlers:
                answer = await self.handlers[member](getattr(frame, member))
                await frames.send(messages.Frame(call_id=frame.call_id, **answer))
            else:
                raise BadRequestError(f"unknown message {member!r}", step=Step.PARSE)
        except AcaciarillError as error:
            await _send_failure(frames, frame.call_id, error)
        except CONNECTION_ERRORS:
            return
        except Exception as error:  # a fault in one handler must not end the connection
            log_message(message_type="peer:handler_failed", member=member, error=repr(error))
            internal = AcaciarillError("internal error", step=Step.FORWARD)
            await _send_failure(frames, frame.call_id, internal)

    async def _answer_stream(self, frames: FrameStream, frame: Any, member: str) -> None:
        if self.draining:
            raise RefusedError("the daemon is stopping", step=Step.FORWARD, code="draining")
        self.active_streams += 1
        try:
            async for answer in self.stream_handlers[member](getattr(frame, member)):
                await frames.send(messages.Frame(call_id=frame.call_id, **answer))
        finally:
            self.active_streams -= 1


def _log_rejected(error: AcaciarillError) -> None:
    log_message(message_type="peer:rejected", code=error.code, reason=error.message)


async def _read_greeting(frames: FrameStream) -> str:
    """Return the name of the daemon that opened a connection."""
    with anyio.fail_after(GREETING_TIMEOUT_S):
        frame = await frames.receive()
    if frame.greeting is None or frame.greeting.protocol_version != PROTOCOL_VERSION:
        raise BadRequestError("unknown protocol version", step=Step.CONNECT, code="bad-greeting")
    return frame.greeting.daemon or ""


async def _send_failure(frames: FrameStream, call_id: int, error: AcaciarillError) -> None:
    outcome = error.outcome if isinstance(error.outcome, Outcome) else Outcome.UNKNOWN
    failed = messages.Failed(
        outcome=str(outcome), code=error.code, message=error.message, step=str(error.step)
    )
    try:
        await frames.send(messages.Frame(call_id=call_id, failed=failed))
    except CONNECTION_ERRORS:
        return
