"""Call other daemons over one connection each, opened when first needed."""

import ssl
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from ..addresses import split_address
from ..errors import Outcome, PeerError, Step
from ._framing import CONNECTION_ERRORS, FrameStream
from ._messages import messages
from .const import CALL_TIMEOUT_S, CONNECT_TIMEOUT_S, MAX_CALL_ID, STREAM_BUFFER_FRAMES


class _Link:
    """Match the answers on one connection to the calls that wait for them."""

    def __init__(self, frames: FrameStream) -> None:
        self.frames = frames
        self.last_call_id = 0
        self.pending: dict[int, MemoryObjectSendStream[Any]] = {}
        self.open = True

    def begin(self) -> tuple[int, MemoryObjectReceiveStream[Any]]:
        call_id = self.last_call_id = self.last_call_id % MAX_CALL_ID + 1
        sender, receiver = anyio.create_memory_object_stream[Any](STREAM_BUFFER_FRAMES)
        self.pending[call_id] = sender
        return call_id, receiver

    def end(self, call_id: int) -> None:
        sender = self.pending.pop(call_id, None)
        if sender is not None:
            sender.close()

    async def read(self, on_notify: Callable[[], None]) -> None:
        """Hand answers to their calls; those of abandoned calls are dropped."""
        try:
            while True:
                frame = await self.frames.receive()
                if frame.notify is not None:
                    on_notify()
                    continue
                sender = self.pending.get(frame.call_id)
                if sender is None:
                    continue
                try:
                    await sender.send(frame)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    self.pending.pop(frame.call_id, None)
        except (*CONNECTION_ERRORS, PeerError):
            pass
        finally:
            await self.close()

    async def close(self) -> None:
        self.open = False
        for sender in self.pending.values():
            sender.close()
        self.pending.clear()
        await self.frames.aclose()


class PeerLinks:
    """Hold the outgoing connections of this daemon."""

    def __init__(
        self,
        greeting: Any,
        task_group: anyio.abc.TaskGroup,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.greeting = greeting
        self.tls = tls
        self.task_group = task_group
        self.links: dict[str, _Link] = {}
        self.locks: dict[str, anyio.Lock] = {}
        self.on_notify: Callable[[], None] = lambda: None
        self.closed_bytes = 0

    def control_bytes(self) -> int:
        """Return the bytes sent and received on outgoing connections."""
        frames = [link.frames for link in self.links.values()]
        return self.closed_bytes + sum(item.bytes_sent + item.bytes_received for item in frames)

    async def call(self, address: str, timeout_s: float = CALL_TIMEOUT_S, **member: Any) -> Any:
        """Send one request frame and return its answer.

        Raise PeerError: NOT_RUN when nothing was sent, UNKNOWN when the answer did not come.
        """
        link = await self._connect(address)
        call_id, receiver = link.begin()
        try:
            with anyio.fail_after(timeout_s):
                await link.frames.send(messages.Frame(call_id=call_id, **member))
                frame = await receiver.receive()
        except TimeoutError as error:
            await self._drop(address, link)  # the connection may be half-open
            raise _peer_error(address, "no answer in time") from error
        except CONNECTION_ERRORS as error:
            await self._drop(address, link)
            raise _peer_error(address, "the connection was lost") from error
        finally:
            link.end(call_id)
            receiver.close()
        _raise_failure(address, frame)
        return frame

    async def stream(self, address: str, **member: Any) -> AsyncIterator[Any]:
        """Send one request frame and yield every frame of its answer; raise PeerError."""
        link = await self._connect(address)
        call_id, receiver = link.begin()
        try:
            await link.frames.send(messages.Frame(call_id=call_id, **member))
            while True:
                frame = await receiver.receive()
                _raise_failure(address, frame)
                yield frame
                if frame.forward_end is not None:
                    return
        except CONNECTION_ERRORS as error:
            raise _peer_error(address, "the connection was lost") from error
        finally:
            link.end(call_id)
            receiver.close()

    async def _connect(self, address: str) -> _Link:
        async with self.locks.setdefault(address, anyio.Lock()):
            link = self.links.get(address)
            if link is not None and link.open:
                return link
            host, port = split_address(address)
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await self._open(host, port)
                    frames = FrameStream(stream)
                    await frames.send(messages.Frame(call_id=0, greeting=self.greeting))
            except (TimeoutError, *CONNECTION_ERRORS) as error:
                raise PeerError(
                    "cannot connect", step=Step.CONNECT, peer=address, outcome=Outcome.NOT_RUN
                ) from error
            link = _Link(frames)
            self.links[address] = link
            self.task_group.start_soon(link.read, self._notified)
            return link

    async def _open(self, host: str, port: int) -> anyio.abc.ByteStream:
        if self.tls is None:
            return await anyio.connect_tcp(host, port)
        return await anyio.connect_tcp(
            host, port, ssl_context=self.tls, tls_standard_compatible=False
        )

    def _notified(self) -> None:
        self.on_notify()

    async def _drop(self, address: str, link: _Link) -> None:
        if self.links.get(address) is link:
            del self.links[address]
            self.closed_bytes += link.frames.bytes_sent + link.frames.bytes_received
        await link.close()


def _peer_error(address: str, message: str) -> PeerError:
    return PeerError(message, step=Step.FORWARD, peer=address)


def _raise_failure(address: str, frame: Any) -> None:
    failed = frame.failed
    if failed is not None:
        raise PeerError(
            failed.message,
            step=Step(failed.step),
            peer=address,
            outcome=Outcome(failed.outcome),
            code=failed.code,
        )
