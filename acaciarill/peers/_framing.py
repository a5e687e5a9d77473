"""Exchange length-prefixed frames over one TCP connection."""

from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from ..errors import BadRequestError, Step
from ._codec import decode, encode
from ._messages import messages
from .const import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    OSError,
)


class FrameStream:
    """Send and receive frames on a byte stream.

    Concurrent senders take turns; only one task may receive.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.reader = BufferedByteReceiveStream(stream)
        self.send_lock = anyio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, frame: Any) -> None:
        """Send one frame; raise one of CONNECTION_ERRORS if the connection is lost."""
        data = encode(frame)
        self.bytes_sent += LENGTH_PREFIX_BYTES + len(data)
        async with self.send_lock:
            await self.stream.send(len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data)

    async def receive(self) -> Any:
        """Receive one frame.

        Raise BadRequestError if it is malformed or longer than MAX_FRAME_BYTES, and one of
        CONNECTION_ERRORS if the connection is lost.
        """
        size = int.from_bytes(await self.reader.receive_exactly(LENGTH_PREFIX_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise BadRequestError(
                "frame exceeds the maximum size", step=Step.PARSE, code="bad-message"
            )
        data = await self.reader.receive_exactly(size)
        self.bytes_received += LENGTH_PREFIX_BYTES + size
        return decode(messages.Frame, data)

    async def aclose(self) -> None:
        """Close the connection immediately, without a TLS closing handshake."""
        await anyio.aclose_forcefully(self.stream)
