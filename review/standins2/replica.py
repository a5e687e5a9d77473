"""Stand in for the replicas of a service."""

import asyncio
import time
from typing import Any

from .http1 import Message, encode, serve
from .platform import Store

STATUS_LINES = {200: "200 OK", 421: "421 Misdirected Request"}


class Replica:
    """Answer requests of one service, and keep an entry in the store.

    A request to a path that contains `/events/N/MS/` is answered with N events, one every MS
    milliseconds. Each answer of number `unframed_every` has no length and ends with its channel.
    """

    def __init__(self, store: Store, name: str, service: str, zone: str) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.unframed_every = 0
        self.unframed_ids: list[str] = []
        self.slots = 8
        self.ran: list[dict[str, Any]] = []
        self.address = ("", 0)
        self.work_s = 0.01

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Serve on an address."""
        self.address = (host, port)
        return await serve(host, port, self._answer)

    def register(self, address: tuple[str, int] | None = None) -> None:
        """Write the replica's entry, with another address if a proxy stands before it."""
        host, port = address or self.address
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put("servers", self.name, entry)

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if request.get("x-acaciarill-expect-instance") not in ("", self.name):
            writer.write(encode("HTTP/1.1 421 Misdirected Request", {"X-Acaciarill-Not-Run": "1"}))
            await writer.drain()
            return True
        request_id = request.get("x-acaciarill-attempt-id")
        self.ran.append(
            {
                "at": time.time(),
                "replica": self.name,
                "id": request_id,
                "path": request.target,
                "ids": [
                    value for name, value in request.lines if name == "x-acaciarill-attempt-id"
                ],
                "tenant": request.get("x-acaciarill-tenant"),
                "bytes": len(request.body),
            }
        )
        headers = {
            "X-Acaciarill-Attempt-Id": request_id,
            "X-Acaciarill-Server-Stamp": f"stamp.{self.name}.{request_id}",
        }
        _, found, rest = request.target.partition("/events/")
        if found:
            return await self._send_events(request, rest, headers, writer)
        await asyncio.sleep(self.work_s)
        writer.write(encode("HTTP/1.1 200 OK", headers, f"done {request_id}".encode()))
        await writer.drain()
        return True

    async def _send_events(
        self, request: Message, rest: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        count, interval_ms = (int(part) for part in rest.split("/")[:2])
        after = request.get("last-event-id")
        unframed = bool(self.unframed_every) and len(self.ran) % self.unframed_every == 0
        if unframed:
            self.unframed_ids.append(request.get("x-acaciarill-attempt-id"))
        headers |= {"Content-Type": "text/event-stream"}
        headers |= {"Connection": "close"} if unframed else {"Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(int(after) + 1 if after else 0, count):
            event = f"id: {number}\ndata: event {number} of {count}\n\n".encode()
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(interval_ms / 1000)
        if not unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return not unframed
