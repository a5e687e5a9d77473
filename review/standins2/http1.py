"""Speak the part of HTTP/1.1 that the stand-ins need."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_LINE_BYTES = 1024 * 1024


@dataclass(slots=True)
class Message:
    """Hold a request or a response; header names are in lower case.

    `headers` has the first value of each name, `lines` all of them in their order.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    lines: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    def get(self, name: str) -> str:
        """Return a header, or an empty string."""
        return self.headers.get(name.lower(), "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the start line and the headers, or None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    message = Message(line.decode("latin-1").strip())
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return None
        if line in (b"\r\n", b"\n"):
            return message
        name, _, value = line.decode("latin-1").partition(":")
        message.lines.append((name.strip().lower(), value.strip()))
        message.headers.setdefault(*message.lines[-1])


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, is_response: bool = False
) -> None:
    """Read the body; `complete` says whether its framing shows that it has all arrived."""
    try:
        if message.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, message)
        elif "content-length" in message.headers:
            length = int(message.get("content-length"))
            message.body = await reader.readexactly(length)
        elif is_response:
            while data := await reader.read(65536):
                message.body += data
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.complete = False
    except (OSError, ValueError):
        message.complete = False


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            message.complete = False
            return
        size = int(line.split(b";")[0], 16)
        if size:
            message.body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


Answer = Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]
"""Answer one request on a connection; return whether the connection may carry another."""


async def serve(host: str, port: int, answer: Answer) -> asyncio.Server:
    """Serve requests on an address, one at a time on each connection."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                await read_body(reader, request)
                if not request.complete or not await answer(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, host, port, limit=MAX_LINE_BYTES, backlog=512)


class Connection:
    """Carry the requests of one requester over one kept channel."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.port, limit=MAX_LINE_BYTES
        )

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Message | None:
        """Send a request; return its answer, or None if the channel ends before a head."""
        if self.writer is None or self.reader is None:
            await self.open()
        assert self.writer is not None
        assert self.reader is not None
        try:
            self.writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            await self.writer.drain()
            answer = await read_head(self.reader)
        except OSError:
            return None
        if answer is not None:
            await read_body(self.reader, answer, is_response=True)
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Send one request on a new channel; None means no answer."""
    connection = Connection(*address)
    try:
        async with asyncio.timeout(timeout_s):
            return await connection.send(method, target, headers, body)
    except (OSError, TimeoutError):
        return None
    finally:
        connection.close()
