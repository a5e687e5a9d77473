"""Stand in for the platform: its metadata store and its API for singleton duties."""

import asyncio
import json
import time
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from .http1 import Message, encode, serve

JSON = {"Content-Type": "application/json"}
PAGE_OBJECTS = 500


class Store:
    """Keep objects by kind and name, with revisions, conditional writes and watches."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.changed = asyncio.Event()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Serve on an address."""
        return await serve(host, port, self._answer)

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Write an object as the operator or a replica does; return its revision."""
        self.revision += 1
        previous = self.objects.setdefault(kind, {}).get(name)
        created = previous["metadata"]["created"] if previous else self.revision
        metadata = {
            "name": name,
            "rev": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = stored
        self._record(kind, stored, False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self.objects[kind].pop(name)
        stored = stored | {"metadata": stored["metadata"] | {"rev": self.revision}}
        self._record(kind, stored, True)

    def _record(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        path, _, query = request.target.partition("?")
        parts = [unquote(part) for part in path.split("/")[2:]]
        parameters = {key: values[0] for key, values in parse_qs(query).items()}
        if request.method == "GET" and len(parts) == 1:
            status, value = await self._list_or_watch(parts[0], parameters)
        else:
            status, value = self._change(request, parts)
        body = b"" if value is None else json.dumps(value).encode()
        writer.write(encode(f"HTTP/1.1 {status} -", JSON, body))
        await writer.drain()
        return True

    async def _list_or_watch(self, kind: str, parameters: dict[str, str]) -> tuple[int, Any]:
        if "watch" not in parameters:
            after = parameters.get("after", "")
            names = sorted(name for name in self.objects.get(kind, {}) if name > after)
            items = [self.objects[kind][name] for name in names[:PAGE_OBJECTS]]
            has_more = len(names) > PAGE_OBJECTS
            return 200, {"items": items, "has_more": has_more, "current_rev": self.revision}
        since = int(parameters["watch"])
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + int(parameters.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, changed_kind, stored, deleted in self.events
                if revision > since and changed_kind == kind
            ]
            if events or loop.time() >= give_up_at:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                async with asyncio.timeout_at(give_up_at):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _change(self, request: Message, parts: list[str]) -> tuple[int, Any]:
        kind = parts[0]
        body = json.loads(request.body) if request.body else {}
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        stored = self.objects.setdefault(kind, {}).get(name)
        if request.method == "POST":
            if stored is not None:
                return 409, stored
            self.put(kind, name, body.get("spec"))
            return 201, self.objects[kind][name]
        if stored is None:
            return 404, None
        if request.method == "GET":
            return 200, stored
        current = stored["metadata"]["rev"]
        if body.get("metadata", {}).get("rev", current) != current:
            return 409, stored
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, stored
        if parts[2:] == ["status"]:
            spec, status = stored["spec"], body["status"]
        else:
            spec, status = body["spec"], stored["status"]
        if (spec, status) != (stored["spec"], stored["status"]):
            self.put(kind, name, spec, status)
        return 200, self.objects[kind][name]


@dataclass(slots=True, frozen=True)
class DutyCall:
    """Hold one accepted call of a singleton duty."""

    at: float
    target: str
    holder: str
    fence: int
    body: Any

    def as_fields(self) -> dict[str, Any]:
        """Return what a record shows."""
        return asdict(self)


class DutyApi:
    """Accept the calls of singleton duties; check their fence numbers if `checks_fences`."""

    def __init__(self, checks_fences: bool = True) -> None:
        self.checks_fences = checks_fences
        self.calls: list[DutyCall] = []

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Serve on an address."""
        return await serve(host, port, self._answer)

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        fence = int(request.get("x-acaciarill-fence-token") or 0)
        holder = request.get("x-acaciarill-duty-holder")
        higher = [c for c in self.calls if c.target == request.target and c.fence > fence]
        refused = self.checks_fences and bool(higher)
        if not refused:
            body = json.loads(request.body)
            self.calls.append(DutyCall(time.time(), request.target, holder, fence, body))
        writer.write(encode(f"HTTP/1.1 {409 if refused else 200} -", JSON))
        await writer.drain()
        return True
