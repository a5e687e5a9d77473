"""Send scripted bytes over real connections, as an upstream that breaks the protocol."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import anyio
import anyio.abc

from tests.fakes.ports import free_port

HEAD_END = b"\r\n\r\n"


class Then(StrEnum):
    """Say what happens to the connection after some bytes."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    HOLD = "hold"


@dataclass(slots=True)
class RawAnswer:
    """Hold the bytes to send after a request, and what happens then.

    `repeated` follows the data without end, until the caller closes.
    """

    data: bytes
    then: Then = Then.KEEP
    repeated: bytes = b""


@dataclass(slots=True)
class RawRequest:
    """Hold a request with its lower-case headers, its connection and its number there, from 1."""

    number: int
    headers: dict[str, str]
    connection: int = 0


class RawUpstream:
    """Answer each request with the bytes that a function returns for it."""

    def __init__(self, answer: Callable[[RawRequest], RawAnswer]) -> None:
        self.answer = answer
        self.address = f"127.0.0.1:{free_port()}"
        self.requests: list[RawRequest] = []
        self.connection_count = 0
        self.repeated_bytes = 0

    async def start(self, task_group: anyio.abc.TaskGroup) -> None:
        """Serve until the task group ends."""
        host, _, port = self.address.partition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        task_group.start_soon(listener.serve, self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        buffer = b""
        number = 0
        self.connection_count += 1
        connection = self.connection_count
        async with stream:
            while True:
                while HEAD_END not in buffer:
                    try:
                        buffer += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                head, _, buffer = buffer.partition(HEAD_END)
                lines = head.decode("latin-1").split("\r\n")[1:]
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                while len(buffer) < int(headers.get("content-length", 0)):
                    buffer += await stream.receive()
                buffer = buffer[int(headers.get("content-length", 0)) :]
                number += 1
                request = RawRequest(number, headers, connection)
                self.requests.append(request)
                answer = self.answer(request)
                try:
                    await stream.send(answer.data)
                    while answer.repeated:
                        await stream.send(answer.repeated)
                        self.repeated_bytes += len(answer.repeated)
                except anyio.BrokenResourceError:
                    return
                if answer.then is Then.HOLD:
                    await anyio.sleep_forever()
                if answer.then is Then.RESET:
                    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                    raw_socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                    )
                if answer.then is not Then.KEEP:
                    return


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete response with a length."""
    lines = [f"HTTP/1.1 {status} Text", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + HEAD_END + body
