"""Call other daemons over one connection per daemon, which the first call opens."""

import ssl
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from eliot import log_message

from ..addresses import check_address, split_address
from ..errors import BadRequestError, Outcome, PeerError, Step
from ._framing import CONNECTION_ERRORS, FrameStream
from ._messages import messages
from .const import (
    CALL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    FAILURE_CONNECTION_LOST,
    FAILURE_NOT_CONNECTED,
    FAILURE_TIMEOUT,
    MAX_CALL_ID,
    STREAM_BUFFER_FRAMES,
)


class _Link:
    """Multiplex calls over one connection by their call ids."""

    def __init__(self, frame_stream: FrameStream) -> None:
        self.frame_stream = frame_stream
        self.last_call_id = 0
        self.pending_calls: dict[int, MemoryObjectSendStream[Any]] = {}
        self.is_open = True

    def begin_call(self) -> tuple[int, MemoryObjectReceiveStream[Any]]:
        call_id = self.last_call_id = self.last_call_id % MAX_CALL_ID + 1
        sender, receiver = anyio.create_memory_object_stream[Any](STREAM_BUFFER_FRAMES)
        self.pending_calls[call_id] = sender
        return call_id, receiver

    def end_call(self, call_id: int) -> None:
        sender = self.pending_calls.pop(call_id, None)
        if sender is not None:
            sender.close()

    async def read_frames(self, on_notify: Callable[[], None]) -> None:
        """Deliver each response to its pending call until the connection ends.

        Responses to calls that have ended, for example by a timeout, are dropped.
        """
        try:
            while True:
                frame = await self.frame_stream.receive()
                if frame.notify is not None:
                    on_notify()
                    continue
                sender = self.pending_calls.get(frame.call_id)
                if sender is None:
                    continue
                try:
                    await sender.send(frame)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    self.pending_calls.pop(frame.call_id, None)
        except CONNECTION_ERRORS:
            pass
        except BadRequestError as error:
            log_message(message_type="peer:frame_invalid", reason=error.message, action="close")
        finally:
            await self.close()

    async def close(self) -> None:
        self.is_open = False
        for sender in self.pending_calls.values():
            sender.close()
        self.pending_calls.clear()
        await self.frame_stream.aclose()


@dataclass(slots=True)
class _ConnectAttempt:
    """Hold the outcome of one attempt to connect, which all calls to its address share."""

    finished: anyio.Event = field(default_factory=anyio.Event)
    link: _Link | None = None
    error: Exception | None = None


class PeerLinks:
    """Manage the outgoing connections of this daemon, one for each address.

    `on_notify` is called for each notification from a connected daemon that it has newer state,
    and `on_failure` with the address and the kind of each call that fails without a response.
    """

    def __init__(
        self,
        greeting: Any,
        task_group: anyio.abc.TaskGroup,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.greeting = greeting
        self.tls = tls
        self.task_group = task_group
        self.links_by_address: dict[str, _Link] = {}
        self.attempts: dict[str, _ConnectAttempt] = {}
        self.on_notify: Callable[[], None] = lambda: None
        self.on_failure: Callable[[str, str], None] = lambda address, kind: None
        self.closed_connection_bytes = 0

    def control_bytes(self) -> int:
        """Return the bytes sent and received on outgoing connections."""
        streams = [link.frame_stream for link in self.links_by_address.values()]
        return self.closed_connection_bytes + sum(
            item.bytes_sent + item.bytes_received for item in streams
        )

    async def call(self, address: str, timeout_s: float = CALL_TIMEOUT_S, **member: Any) -> Any:
        """Send a request with a frame member, such as `ping`, and return the response frame.

        `timeout_s` covers the whole call, in seconds, also the wait for a connection. Raise
        PeerError: its outcome is NOT_RUN if no connection could be opened, UNKNOWN if no response
        arrived, or the one that the other daemon reported.
        """
        frames = self._exchange(address, timeout_s, member)
        try:
            return await anext(frames)
        finally:
            await frames.aclose()

    async def stream(self, address: str, timeout_s: float, **member: Any) -> AsyncIterator[Any]:
        """Send a request with a frame member and yield the frames up to `forward_end`.

        `timeout_s` covers all up to the first frame, and the wait for each further one, in seconds.
        Raise PeerError, as `call` does.
        """
        frames = self._exchange(address, timeout_s, member)
        try:
            async for frame in frames:
                yield frame
                if frame.forward_end is not None:
                    return
        finally:
            await frames.aclose()

    async def _exchange(
        self, address: str, timeout_s: float, member: dict[str, Any]
    ) -> AsyncGenerator[Any, None]:
        """Send a request and yield the response frames."""
        deadline = anyio.current_time() + timeout_s
        link = await self._connect(address, deadline)
        call_id, receiver = link.begin_call()
        bytes_received = link.frame_stream.bytes_received
        try:
            with anyio.fail_after(deadline - anyio.current_time()):
                await link.frame_stream.send(messages.Frame(call_id=call_id, **member))
            while True:
                with anyio.fail_after(deadline - anyio.current_time()):
                    frame = await receiver.receive()
                _raise_if_failed(address, frame)
                yield frame
                bytes_received = link.frame_stream.bytes_received
                deadline = anyio.current_time() + timeout_s
        except TimeoutError as error:
            # A connection on which other responses arrive is sound: only this one is late.
            if link.frame_stream.bytes_received == bytes_received:
                await self._discard(address, link)
            self.on_failure(address, FAILURE_TIMEOUT)
            raise _peer_error(address, "timed out waiting for the response") from error
        except CONNECTION_ERRORS as error:
            await self._discard(address, link)
            self.on_failure(address, FAILURE_CONNECTION_LOST)
            raise _peer_error(address, "the connection was lost") from error
        finally:
            link.end_call(call_id)
            receiver.close()

    async def _connect(self, address: str, deadline: float) -> _Link:
        """Return an open connection; raise PeerError with the outcome NOT_RUN.

        Concurrent calls share one attempt, so that none waits for those before it to fail.
        """
        link = self.links_by_address.get(address)
        if link is not None and link.is_open:
            return link
        attempt = self.attempts.get(address)
        if attempt is None:
            attempt = self.attempts[address] = _ConnectAttempt()
            self.task_group.start_soon(self._attempt_connect, address, attempt)
        with anyio.move_on_after(deadline - anyio.current_time()):
            await attempt.finished.wait()
        if attempt.link is not None:
            return attempt.link
        self.on_failure(address, FAILURE_NOT_CONNECTED)
        raise PeerError(
            "cannot connect to the daemon",
            step=Step.CONNECT,
            peer=address,
            outcome=Outcome.NOT_RUN,
        ) from attempt.error

    async def _attempt_connect(self, address: str, attempt: _ConnectAttempt) -> None:
        stream: anyio.abc.ByteStream | None = None
        try:
            host, port = split_address(check_address(address))
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._open_stream(host, port)
                frame_stream = FrameStream(stream)
                await frame_stream.send(messages.Frame(call_id=0, greeting=self.greeting))
            attempt.link = self.links_by_address[address] = _Link(frame_stream)
            self.task_group.start_soon(attempt.link.read_frames, self._handle_notify)
        except Exception as error:  # each call raises it; the task group must not end
            attempt.error = error
            if stream is not None:
                await anyio.aclose_forcefully(stream)
        finally:
            del self.attempts[address]
            attempt.finished.set()

    async def _open_stream(self, host: str, port: int) -> anyio.abc.ByteStream:
        if self.tls is None:
            return await anyio.connect_tcp(host, port)
        return await anyio.connect_tcp(
            host, port, ssl_context=self.tls, tls_standard_compatible=False
        )

    def _handle_notify(self) -> None:
        self.on_notify()

    async def _discard(self, address: str, link: _Link) -> None:
        if self.links_by_address.get(address) is link:
            del self.links_by_address[address]
            self.closed_connection_bytes += (
                link.frame_stream.bytes_sent + link.frame_stream.bytes_received
            )
        await link.close()


def _peer_error(address: str, message: str) -> PeerError:
    return PeerError(message, step=Step.FORWARD, peer=address)


def _raise_if_failed(address: str, frame: Any) -> None:
    failed = frame.failed
    if failed is not None:
        raise PeerError(
            failed.message,
            step=Step(failed.step),
            peer=address,
            outcome=Outcome(failed.outcome),
            code=failed.code,
        )
