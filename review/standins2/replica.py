"""Stand in for the replicas of a service."""

import asyncio
import json
import time
from typing import Any

from .http1 import Message, encode, serve
from .platform import Store


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
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Serve on an address, on a free port by default."""
        self.server = await serve(host, port, self._answer)
        self.address = self.server.sockets[0].getsockname()

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
        self.store.put("servers", self.name, entry | self.entry_fields())

    def entry_fields(self) -> dict[str, Any]:
        """Return the further fields of the replica's entry."""
        return {}

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
        return await self._run(request, headers, writer)

    async def _run(
        self, request: Message, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request that runs here; return whether the channel stays open."""
        _, found, rest = request.target.partition("/events/")
        if found:
            return await self._send_events(request, rest, headers, writer)
        request_id = headers["X-Acaciarill-Attempt-Id"]
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


class Engine(Replica):
    """Generate the texts of items, as a model replica does; it holds version 1 of one model.

    Each text has `event_count` events, one every `interval_s`.
    """

    def __init__(self, store: Store, name: str, service: str, zone: str, model: str) -> None:
        super().__init__(store, name, service, zone)
        self.model = model
        self.event_count = 30
        self.interval_s = 0.05

    def entry_fields(self) -> dict[str, Any]:
        """Return what a model replica tells besides in its entry."""
        models = [{"name": self.model, "version": 1, "adapters": []}]
        return {"stage": "dual", "models": models}

    async def _run(
        self, request: Message, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        if request.target == "/report":
            report = self.entry_fields() | {"busy": False, "sequence": 0, "waiting": 0}
            body = json.dumps(report | {"running": 0, "kv_used": 0, "kv_total": 90000}).encode()
            writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
            await writer.drain()
            return True
        headers |= {"X-Acaciarill-Weight-Versions": "1"}
        rest = f"{self.event_count}/{int(self.interval_s * 1000)}/"
        return await self._send_events(request, rest, headers, writer)
