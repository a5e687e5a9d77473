"""Serve the calls of other daemons."""

import ssl
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import anyio.abc
from eliot import log_message

from ..connection_budget import KIND_DAEMONS, ConnectionBudget
from ..errors import AcaciarillError, BadRequestError, Outcome, RefusedError, Step
from ..listening import abort_stream, listen, serve_connections, unsent_bytes
from ._framing import CONNECTION_ERRORS, FrameStream
from ._messages import messages
from .const import (
    CALL_OVERHEAD_BYTES,
    GREETING_TIMEOUT_S,
    MAX_CONCURRENT_CALLS,
    PROTOCOL_VERSION,
)

CallHandler = Callable[[Any], Awaitable[dict[str, Any]]]
"""Handle a request and return the member of the response frame by its name."""
StreamHandler = Callable[[Any], AsyncIterator[dict[str, Any]]]
"""Handle a request and yield the member of each response frame by its name."""
PushHandler = Callable[[Any, Callable[..., Awaitable[None]]], Awaitable[None]]
"""Handle a request and send each response frame with the function that is given, by its member."""

_FRAME_MEMBERS = [spec[1] for spec in messages.Frame.thrift_spec.values()]


class PeerServer:
    """Accept connections and pass each request to the handler of its frame member.

    While `draining` is set, new streams are refused; `active_streams` counts the open ones.
    """

    def __init__(
        self,
        address: str,
        tls: ssl.SSLContext | None = None,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self.address = address
        self.tls = tls
        self.budget = budget or ConnectionBudget(time.monotonic)
        self.handlers: dict[str, CallHandler] = {}
        self.stream_handlers: dict[str, StreamHandler] = {}
        self.push_handlers: dict[str, PushHandler] = {}
        self.connections: dict[int, FrameStream] = {}
        self.active_streams = 0
        self.draining = False
        self.closed_connection_bytes = 0

    def control_bytes(self) -> int:
        """Return the bytes sent and received on incoming connections, including closed ones."""
        streams = self.connections.values()
        return self.closed_connection_bytes + sum(
            item.bytes_sent + item.bytes_received for item in streams
        )

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Listen on the address and serve connections until cancelled."""
        listener = await listen(self.address)
        task_status.started()
        async with listener, anyio.create_task_group() as tasks:
            await serve_connections(listener, self._serve_connection, tasks, self.tls)

    async def notify_all(self) -> None:
        """Notify every connected daemon that this one has newer state to fetch."""
        for frame_stream in list(self.connections.values()):
            with anyio.move_on_after(GREETING_TIMEOUT_S):
                try:
                    await frame_stream.send(messages.Frame(call_id=0, notify=messages.Notify()))
                except CONNECTION_ERRORS:
                    continue

    async def _serve_connection(self, stream: anyio.abc.ByteStream) -> None:
        account = self.budget.open(KIND_DAEMONS, lambda: abort_stream(stream))
        if account is None:
            await anyio.aclose_forcefully(stream)
            return
        account.measure_unsent = partial(unsent_bytes, stream)
        frame_stream = FrameStream(stream, account)
        try:
            peer = await _read_greeting(frame_stream)
            self.connections[id(frame_stream)] = frame_stream
            async with anyio.create_task_group() as task_group:
                await self._receive_calls(frame_stream, peer, task_group)
                task_group.cancel_scope.cancel()
        except (*CONNECTION_ERRORS, TimeoutError):
            pass
        except AcaciarillError as error:
            _log_rejected_frame(error)
        finally:
            self.connections.pop(id(frame_stream), None)
            self.closed_connection_bytes += frame_stream.bytes_sent + frame_stream.bytes_received
            with anyio.CancelScope(shield=True):
                await frame_stream.aclose()
            account.close()

    async def _receive_calls(
        self, frame_stream: FrameStream, peer: str, task_group: anyio.abc.TaskGroup
    ) -> None:
        """Start a handler for each call until the connection ends or a frame is malformed."""
        calls = anyio.Semaphore(MAX_CONCURRENT_CALLS)
        try:
            while True:
                await calls.acquire()
                received_before = frame_stream.bytes_received
                frame = await frame_stream.receive()
                if frame.heartbeat is not None:
                    frame.heartbeat.daemon = peer
                size = frame_stream.bytes_received - received_before + CALL_OVERHEAD_BYTES
                task_group.start_soon(self._run_call, frame_stream, frame, size, calls)
        except CONNECTION_ERRORS:
            return
        except AcaciarillError as error:
            _log_rejected_frame(error)

    async def _run_call(
        self, frame_stream: FrameStream, frame: Any, size: int, calls: anyio.Semaphore
    ) -> None:
        """Handle a call and account for what it holds meanwhile, `size` bytes."""
        account = frame_stream.account
        if account is not None:
            account.hold(size)
        try:
            await self._handle_call(frame_stream, frame)
        finally:
            calls.release()
            if account is not None:
                account.release(size)

    async def _handle_call(self, frame_stream: FrameStream, frame: Any) -> None:
        member = next(
            (
                name
                for name in _FRAME_MEMBERS
                if name != "call_id" and getattr(frame, name) is not None
            ),
            "",
        )
        try:
            if member in self.stream_handlers:
                await self._handle_stream(frame_stream, frame, member)
            elif member in self.push_handlers:

                async def send(**response: Any) -> None:
                    await frame_stream.send(messages.Frame(call_id=frame.call_id, **response))

                await self.push_handlers[member](getattr(frame, member), send)
            elif member in self.handlers:
                response = await self.handlers[member](getattr(frame, member))
                await frame_stream.send(messages.Frame(call_id=frame.call_id, **response))
            else:
                raise BadRequestError(
                    f"no handler for the frame member {member!r}", step=Step.PARSE
                )
        except AcaciarillError as error:
            await _send_failure(frame_stream, frame.call_id, error)
        except CONNECTION_ERRORS:
            return
        except Exception as error:  # a failed handler must not end the shared connection
            log_message(message_type="peer:handler_failed", member=member, error=repr(error))
            internal = AcaciarillError("internal error", step=Step.FORWARD)
            await _send_failure(frame_stream, frame.call_id, internal)

    async def _handle_stream(self, frame_stream: FrameStream, frame: Any, member: str) -> None:
        if self.draining:
            raise RefusedError("the daemon is draining", step=Step.FORWARD, code="draining")
        self.active_streams += 1
        try:
            async for response in self.stream_handlers[member](getattr(frame, member)):
                await frame_stream.send(messages.Frame(call_id=frame.call_id, **response))
        finally:
            self.active_streams -= 1


def _log_rejected_frame(error: AcaciarillError) -> None:
    log_message(message_type="peer:rejected", code=error.code, reason=error.message)


async def _read_greeting(frame_stream: FrameStream) -> str:
    """Return the name of the daemon that opened a connection.

    Raise BadRequestError if the first frame is not a greeting of this protocol version, and
    TimeoutError after GREETING_TIMEOUT_S.
    """
    with anyio.fail_after(GREETING_TIMEOUT_S):
        frame = await frame_stream.receive()
    if frame.greeting is None or frame.greeting.protocol_version != PROTOCOL_VERSION:
        raise BadRequestError(
            "missing greeting or unsupported protocol version",
            step=Step.CONNECT,
            code="bad-greeting",
        )
    return frame.greeting.daemon or ""


async def _send_failure(frame_stream: FrameStream, call_id: int, error: AcaciarillError) -> None:
    outcome = error.outcome if isinstance(error.outcome, Outcome) else Outcome.UNKNOWN
    failed = messages.Failed(
        outcome=str(outcome), code=error.code, message=error.message, step=str(error.step)
    )
    try:
        await frame_stream.send(messages.Frame(call_id=call_id, failed=failed))
    except CONNECTION_ERRORS:
        return
