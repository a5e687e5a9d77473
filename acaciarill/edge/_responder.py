"""Send the response to one request of a client."""

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from ._connection import ServerConnection


class Responder:
    """Send the response to one request, either complete or as a stream.

    A stream that is not finished ends with an aborted connection, so that the client cannot take it
    for a complete response.
    """

    def __init__(self, connection: "ServerConnection") -> None:
        self.connection = connection
        self.started = False
        self.finished = False

    async def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b""
    ) -> None:
        """Send a complete response."""
        response_headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        data = self._encode_head(status, response_headers)
        protocol = self.connection.protocol
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        await self.connection.send(data)
        self.finished = True

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a streamed response."""
        await self.connection.send(
            self._encode_head(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        )

    async def send(self, data: bytes) -> None:
        """Send one chunk of a streamed response."""
        await self.connection.send(self.connection.protocol.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """End a streamed response as complete."""
        await self.connection.send(self.connection.protocol.send(h11.EndOfMessage()) or b"")
        self.finished = True

    def _encode_head(self, status: int, response_headers: list[tuple[bytes, bytes]]) -> bytes:
        self.started = True
        if self.connection.must_close():
            response_headers.append((b"Connection", b"close"))
        response = h11.Response(status_code=status, headers=response_headers)
        return self.connection.protocol.send(response) or b""
