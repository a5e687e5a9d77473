"""Draw clients that break rules, pause, stop short or leave, and let them run."""

import random
import socket
import struct
from contextlib import suppress

import anyio

from acaciarill.peers.const import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_PIECE_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
STALL_S = 2.0
KEYS = ("key-1", "key-2", "other", "unknown", "")
PATHS = ("/p/1", "/s/1", "/g/1", "/b/x", "/none/1", "/lots/none", "/items/none?id=1", "/", "*")
METHODS = ("GET", "POST", "POST", "POST", "DELETE", "PUT", "HEAD", "OPTIONS", "BREW")
SMUGGLED = (
    b"POST /p/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
    b"X-Acaciarill-Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
)
"""A request that stands in bodies and must never be taken for one."""


class OddClient:
    """Send drawn bytes on one connection, with drawn pieces, pauses and ends."""

    def __init__(self, rng: random.Random, number: int, max_body_bytes: int) -> None:
        self.rng = rng
        self.number = number
        self.max_body_bytes = max_body_bytes
        self.connection = socket.socket()

    async def run(self, address: str, is_peer: bool) -> None:
        """Connect, send and end as drawn; the connection may stay open."""
        host, _, port = address.partition(":")
        with suppress(OSError, TimeoutError):
            self.connection.settimeout(STALL_S)
            self.connection.connect((host, int(port)))
            self.connection.setblocking(False)
            await self._send(self._draw_frames() if is_peer else self._draw_requests())
            await self._end()

    def close(self) -> None:
        """Close the connection, also by a reset."""
        with suppress(OSError):
            if self.rng.random() < 0.3:
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.connection.close()

    async def _send(self, data: bytes) -> None:
        """Send bytes in drawn pieces, up to a drawn byte."""
        if self.rng.random() < 0.4:
            data = data[: self.rng.randrange(len(data) + 1)]
        one_by_one = self.rng.random() < 0.15
        unsent = memoryview(data)
        pauses = 0
        while unsent:
            size = 1 if one_by_one else self.rng.randint(1, MAX_PIECE_BYTES)
            unsent = unsent[self.connection.send(unsent[:size]) :]
            with anyio.fail_after(STALL_S):
                await anyio.wait_writable(self.connection)
            if pauses < 20 and self.rng.random() < (0.5 if one_by_one else 0.05):
                pauses += 1
                await anyio.sleep(self.rng.random() * 0.2)
            elif one_by_one and pauses >= 20:
                return

    async def _end(self) -> None:
        drawn = self.rng.random()
        if drawn < 0.25:
            self.connection.shutdown(socket.SHUT_WR)
        if drawn < 0.6:
            for _ in range(self.rng.randrange(40)):
                with anyio.fail_after(STALL_S):
                    await anyio.wait_readable(self.connection)
                if not self.connection.recv(self.rng.randint(1, READ_BYTES)):
                    break
        if drawn > 0.75:
            self.close()

    def _draw_frames(self) -> bytes:
        """Return frames of drawn lengths and bytes, as no daemon sends them."""
        parts = []
        for _ in range(self.rng.randint(1, 4)):
            size = self.rng.choice((0, 3, 200, 100_000, MAX_FRAME_BYTES, 2**32 - 1))
            parts.append(size.to_bytes(LENGTH_PREFIX_BYTES, "big"))
            parts.append(self.rng.randbytes(min(size, self.rng.choice((0, 100, 300_000)))))
        return b"".join(parts)

    def _draw_requests(self) -> bytes:
        """Return one request, or many that are sent ahead; some are no requests."""
        if self.rng.random() < 0.05:
            return self.rng.randbytes(self.rng.randrange(100_000))
        if self.rng.random() < 0.2:
            request = self._draw_request(0)
            return request * min(self.rng.randint(2, 5000), 2_000_000 // max(1, len(request)) + 1)
        return b"".join(
            self._draw_request(self._draw_size()) for _ in range(self.rng.choice((1, 1, 1, 2, 5)))
        )

    def _draw_size(self) -> int:
        largest = self.max_body_bytes
        return self.rng.choice(
            (0, 1, self.rng.randrange(2000), self.rng.randrange(largest), largest, largest + 1)
        )

    def _draw_request(self, size: int) -> bytes:
        rng = self.rng
        version = rng.choice(("1.1", "1.1", "1.1", "1.1", "1.0", "2.0"))
        lines = [f"{rng.choice(METHODS)} {rng.choice(PATHS)} HTTP/{version}"]
        if rng.random() < 0.9:
            lines.append("Host: h.example")
        if key := rng.choice(KEYS):
            lines.append(f"Authorization: Bearer {key}")
        if rng.random() < 0.9:
            lines.append(f"X-Acaciarill-Attempt-Id: odd-{self.number}-{rng.getrandbits(40)}")
        if rng.random() < 0.2:
            lines.append("Expect: 100-continue")
        if rng.random() < 0.1:
            lines.append(f"X-Field: {'x' * rng.choice((100, 10_000, 100_000))}")
        if rng.random() < 0.2:
            lines.append("Connection: close")
        body = (SMUGGLED + rng.choice((b"x", b"[],", b'{"items":[')) * size)[:size]
        framing = rng.random()
        if framing < 0.4:
            lines.append(f"Content-Length: {len(body)}")
        elif framing < 0.5:
            lines.append(f"Content-Length: {rng.choice(('-1', '1e3', '9' * 30, str(size * 2)))}")
        elif framing < 0.9:
            lines.append("Transfer-Encoding: chunked")
            body = self._in_chunks(body)
        else:
            lines += ["Transfer-Encoding: chunked", f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _in_chunks(self, body: bytes) -> bytes:
        parts = []
        start = 0
        while start < len(body):
            piece = body[start : start + self.rng.choice((1 + len(body) // 500, 5000, 200_000))]
            parts.append(b"%x\r\n%s\r\n" % (len(piece), piece))
            start += len(piece)
        if self.rng.random() < 0.8:
            parts.append(b"0\r\n\r\n")
        return b"".join(parts)
