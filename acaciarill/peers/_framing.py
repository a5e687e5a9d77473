"""Exchange length-prefixed frames over one TCP connection."""

from typing import Any

import anyio
import anyio.abc

from ..connection_budget import ConnectionAccount
from ..errors import BadRequestError, Outcome, PeerError, Step
from ._codec import decode, encode
from ._messages import messages
from .const import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, READ_CHUNK_BYTES, SEND_TIMEOUT_S

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    OSError,
)


class FrameStream:
    """Send and receive frames on a byte stream.

    Concurrent senders take turns; only one task may receive. Incoming connections have an account
    for what they make the process hold.
    """

    def __init__(
        self, stream: anyio.abc.ByteStream, account: ConnectionAccount | None = None
    ) -> None:
        self.stream = stream
        self.account = account
        self.received = bytearray()
        self.send_lock = anyio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, frame: Any) -> None:
        """Send one frame; raise one of CONNECTION_ERRORS if the connection is lost.

        Raise PeerError with the outcome NOT_RUN if the other daemon would not accept its size.
        """
        data = encode(frame)
        if len(data) > MAX_FRAME_BYTES:
            raise PeerError(
                f"frame is longer than {MAX_FRAME_BYTES} bytes",
                step=Step.SEND,
                outcome=Outcome.NOT_RUN,
                code="frame-too-large",
            )
        self.bytes_sent += LENGTH_PREFIX_BYTES + len(data)
        if self.account is None:
            await self._send(data)
            return
        self.account.hold(len(data))
        try:
            await self._send(data)
        finally:
            self.account.release(len(data))

    async def _send(self, data: bytes) -> None:
        async with self.send_lock:
            if self.account is not None:
                self.account.start_sending(SEND_TIMEOUT_S, self.account.budget.clock())
            try:
                await self.stream.send(len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data)
            finally:
                if self.account is not None:
                    self.account.finish_sending()

    async def receive(self) -> Any:
        """Receive one frame.

        Raise BadRequestError if it is malformed or longer than MAX_FRAME_BYTES, and one of
        CONNECTION_ERRORS if the connection is lost.
        """
        size = int.from_bytes(await self._receive_exactly(LENGTH_PREFIX_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise BadRequestError(
                "frame exceeds the maximum size", step=Step.PARSE, code="bad-message"
            )
        if self.account is not None and not self.account.resize_body(size):
            raise BadRequestError("no room for a frame", step=Step.PARSE, code="no-room")
        data = await self._receive_exactly(size)
        self.bytes_received += LENGTH_PREFIX_BYTES + size
        frame = decode(messages.Frame, data)
        if self.account is not None:
            self.account.resize_body(0)
            self.account.record_step(self.account.budget.clock())
        return frame

    async def _receive_exactly(self, size: int) -> bytes:
        while len(self.received) < size:
            data = await self.stream.receive(READ_CHUNK_BYTES)
            if self.account is not None:
                self.account.record_progress(len(data), self.account.budget.clock())
            self.received += data
        data = bytes(memoryview(self.received)[:size])
        del self.received[:size]
        return data

    async def aclose(self) -> None:
        """Close the connection immediately, without a TLS closing handshake."""
        await anyio.aclose_forcefully(self.stream)
