"""Exchange length-prefixed frames over one TCP connection."""

from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from ..errors import BadRequestError, Step
from ._codec import decode, encode
from ._messages import messages
from .const import LENGTH_BYTES, MAX_FRAME_BYTES

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    OSError,
)


class FrameStream:
    """Send and receive frames; one sender at a time."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.reader = BufferedByteReceiveStream(stream)
        self.lock = anyio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, frame: Any) -> None:
        """Send one frame."""
        data = encode(frame)
        self.bytes_sent += LENGTH_BYTES + len(data)
        async with self.lock:
            await self.stream.send(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    async def receive(self) -> Any:
        """Receive one frame; raise BadRequestError on a malformed one."""
        size = int.from_bytes(await self.reader.receive_exactly(LENGTH_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise BadRequestError("oversized frame", step=Step.PARSE, code="bad-message")
        data = await self.reader.receive_exactly(size)
        self.bytes_received += LENGTH_BYTES + size
        return decode(messages.Frame, data)

    async def aclose(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self.stream)
