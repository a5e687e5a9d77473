"""Speak plain HTTP/1.1: a small server for stand-ins, and one call on a new connection."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found", 409: "Conflict"}


@dataclass(slots=True)
class Message:
    """Hold a request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, or None if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message, is_response: bool) -> bytes:
    """Return the body of a message; raise IncompleteReadError if it is cut off."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    if "content-length" in message.headers:
        return await reader.readexactly(int(message.headers["content-length"]))
    return await reader.read() if is_response else b""


class Connection:
    """Answer the requests of one connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.last_answer = b""

    async def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response."""
        self.last_answer = encode_response(status, body, headers)
        self.writer.write(self.last_answer)
        await self.writer.drain()

    async def answer_json(self, status: int, value: Any) -> None:
        """Send a complete response with a JSON body."""
        await self.answer(status, json.dumps(value).encode(), {"Content-Type": "application/json"})

    async def begin_stream(self, headers: dict[str, str]) -> None:
        """Send the head of a response in chunks."""
        self.last_answer = b""
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the response."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()


def encode_response(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a complete response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


Handler = Callable[[Message, Connection], Awaitable[None]]


class HttpServer:
    """Serve requests one at a time on each connection, and end a request whose caller leaves."""

    def __init__(self, ip: str, handler: Handler, port: int = 0) -> None:
        self.ip = ip
        self.port = port
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse connections from now on, and reset the open ones, as when a process is killed."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        connection = Connection(writer)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request, False)
                task = asyncio.ensure_future(self.handler(request, connection))
                self.tasks.add(task)
                left = asyncio.ensure_future(reader.read(1))  # callers here do not pipeline
                await asyncio.wait({task, left}, return_when=asyncio.FIRST_COMPLETED)
                self.tasks.discard(task)
                has_left = left.done()
                left.cancel()
                if not task.done():
                    task.cancel()
                outcomes = await asyncio.gather(task, left, return_exceptions=True)
                if has_left or outcomes[0] is not None:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 12.0,
) -> Message | None:
    """Send one request on a new connection; return None if no complete response came."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines.append(f"Content-Length: {len(body)}")
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                response = await read_head(reader)
                if response is not None:
                    response.body = await read_body(reader, response, True)
                return response
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
