"""Stand in for the platform: its metadata store, its API for duties, and its replicas."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from .http11 import Connection, HttpServer, Message

Note = Callable[..., None]
"""Write one line into the record: what happened, and fields."""

STORE_DELAY_S = 0.004
HEARTBEAT_S = 1.2
LOAD_S = 0.9
ID = "x-acaciarill-attempt-id"


class Store:
    """Keep objects by kind and name, with revisions, conditional writes and watches."""

    def __init__(self, ip: str) -> None:
        self.server = HttpServer(ip, self._serve)
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.written_at: dict[str, float] = {}

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> dict[str, Any]:
        """Write an object as the operator, a trainer or a replica does."""
        self.revision += 1
        metadata = {
            "name": name,
            "rev": self.revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.kinds.setdefault(kind, {})[name] = stored
        self._record(kind, stored, False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        stored = self.kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            metadata = stored["metadata"] | {"rev": self.revision}
            self._record(kind, stored | {"metadata": metadata}, True)

    def _record(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.written_at[f"{kind}/{stored['metadata']['name']}"] = time.monotonic()
        self.events.append((self.revision, kind, json.loads(json.dumps(stored)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, request: Message, connection: Connection) -> None:
        await asyncio.sleep(STORE_DELAY_S)
        path, _, query = request.target.partition("?")
        parts = [unquote(part) for part in path.split("/")[2:]]
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        if request.method == "GET" and len(parts) == 1:
            if "watch" in parameters:
                await self._watch(connection, parts[0], parameters)
            else:
                await self._list(connection, parts[0], parameters.get("after", ""))
            return
        await connection.answer_json(*self._change(request, parts))

    async def _list(self, connection: Connection, kind: str, after: str) -> None:
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        page: list[Any] = []
        size = 0
        for name in names[:500]:
            size += len(json.dumps(self.kinds[kind][name]))
            if page and size > 1_000_000:
                break
            page.append(self.kinds[kind][name])
        value = {
            "items": page,
            "has_more": len(page) < len(names),
            "current_rev": self.revision,
        }
        await connection.answer_json(200, value)

    async def _watch(self, connection: Connection, kind: str, parameters: dict[str, str]) -> None:
        since = int(parameters["watch"])
        deadline = time.monotonic() + int(parameters.get("wait_ms", "0")) / 1000
        while not (events := [e for e in self.events if e[0] > since and e[1] == kind]):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            changed = self.changed
            await asyncio.wait({asyncio.ensure_future(changed.wait())}, timeout=remaining_s)
        value = {
            "events": [{"object": event[2], "deleted": event[3]} for event in events],
            "current_rev": self.revision,
        }
        await connection.answer_json(200, value)

    def _change(self, request: Message, parts: list[str]) -> tuple[int, Any]:
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        body = json.loads(request.body) if request.body else {}
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        stored = objects.get(name)
        if request.method == "POST":
            if stored is not None:
                return 409, stored
            return 201, self.put(kind, name, body.get("spec"), body.get("status"))
        if stored is None:
            return 404, {}
        if request.method == "GET":
            return 200, stored
        expected = body.get("metadata", {}).get("rev")
        if expected is not None and expected != stored["metadata"]["rev"]:
            return 409, stored
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, stored
        if parts[2:] == ["status"]:
            return 200, self.put(kind, name, stored["spec"], body.get("status"))
        if body.get("spec") == stored["spec"]:
            return 200, stored
        return 200, self.put(kind, name, body.get("spec"), stored["status"])


class DutyApi:
    """Accept the calls of duties, and refuse those with a lower fence number."""

    def __init__(self, ip: str, note: Note) -> None:
        self.server = HttpServer(ip, self._serve)
        self.note = note
        self.highest: dict[str, int] = {}

    async def _serve(self, request: Message, connection: Connection) -> None:
        value = request.json()
        subject = f"{request.target} {value.get('service', '')} {value.get('zone', '')}"
        fence = int(request.headers.get("x-acaciarill-fence-token", "0"))
        status = 409 if fence < self.highest.get(subject, 0) else 200
        self.highest[subject] = max(fence, self.highest.get(subject, 0))
        self.note("duty call", path=request.target, fence=fence, status=status)
        await connection.answer_json(status, {})


class Replica:
    """Serve one service, and keep an entry in the store.

    `runs` holds what began to run here: request id, path, time and the `Last-Event-Id` asked for.
    """

    def __init__(
        self, ip: str, store: Store, note: Note, name: str, service: str, zone: str, slots: int
    ) -> None:
        self.server = HttpServer(ip, self._serve)
        self.store = store
        self.note = note
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = 24
        self.models: dict[str, int] = {}
        self.sequence = 0
        self.fence = 0
        self.loading = False
        self.busy = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[str, str, float, str]] = []
        self.work_s = 0.02
        self.event_s = 0.05
        self.event_count: Callable[[str], int] = lambda request_id: 20
        self.alive = True
        self.state = "ready"
        self.running: list[str] = []
        self.ended_runs: list[tuple[str, float, float]] = []

    async def start(self) -> None:
        """Listen, and register in the store."""
        await self.server.start()
        self.register()

    def register(self) -> None:
        """Write the entry of this replica."""
        models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": "dual",
            "models": models,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.name, entry)

    async def leave(self, serves_s: float) -> None:
        """Report `draining`, serve for a while longer, then exit and remove the entry."""
        self.state = "draining"
        self.register()
        self.note("replica reports draining", replica=self.name)
        await asyncio.sleep(serves_s)
        self.alive = False
        self.server.stop()
        self.store.delete("servers", self.name)
        self.note("replica has left", replica=self.name)

    async def crash_for_good(self) -> None:
        """End at once; the store removes the entry after three heartbeats of silence."""
        self.alive = False
        self.server.stop()
        self.note("replica lost for good", replica=self.name)
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.delete("servers", self.name)

    def left_at(self, request_id: str, min_run_s: float = 0.0) -> float:
        """Return when a request was last here: 0 if it never was, now if it is.

        Runs that ended within `min_run_s` do not count.
        """
        if request_id in self.running:
            return time.monotonic()
        ends = [
            ended_at
            for run_id, begun_at, ended_at in self.ended_runs
            if run_id == request_id and ended_at - begun_at >= min_run_s
        ]
        return max(ends, default=0.0)

    def answer_headers(self, request: Message) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        load = f"{self.busy},{self.waiting},{self.slots}"
        headers = {"X-Acaciarill-Instance-Load": load}
        if ID in request.headers:
            headers["X-Acaciarill-Attempt-Id"] = request.headers[ID]
        return headers

    async def _serve(self, request: Message, connection: Connection) -> None:
        expected = request.headers.get("x-acaciarill-expect-instance", self.name)
        if expected != self.name:
            await connection.answer(421, b"", {"X-Acaciarill-Not-Run": "1"})
        elif request.target == "/report":
            await connection.answer_json(200, self._report())
        elif request.target == "/order":
            await self._order(request, connection)
        else:
            await self._run(request, connection)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "dual",
            "models": [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()],
            "busy": self.loading,
            "sequence": self.sequence,
            "waiting": self.waiting,
            "running": self.busy,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
        }

    async def _order(self, request: Message, connection: Connection) -> None:
        order = request.json()
        if order["fence"] < self.fence:
            await connection.answer_json(412, {})
            return
        self.fence = order["fence"]
        if self.models.get(order["model"]) == order["version"]:
            await connection.answer_json(200, {})
            return
        if self.loading or order.get("precondition", self.sequence) != self.sequence:
            await connection.answer_json(409, {})
            return
        self.sequence += 1
        self.loading = True
        self.note("weight load", replica=self.name, version=order["version"])
        asyncio.get_running_loop().call_later(LOAD_S, self._finish_load, order)
        await connection.answer_json(202, {})

    def _finish_load(self, order: dict[str, Any]) -> None:
        self.loading = False
        if self.alive:
            self.models[order["model"]] = order["version"]
            self.register()

    async def reject(self, request: Message, connection: Connection) -> None:
        """Answer that the request is not run."""
        headers = self.answer_headers(request) | {"X-Acaciarill-Not-Run": "1"}
        self.note("rejected", replica=self.name, request=request.headers.get(ID))
        await connection.answer(503, b"", headers)

    async def before_answer(self, request: Message, connection: Connection) -> None:
        """Do what a faulty replica does between the begin of a run and its answer: nothing."""

    async def _run(self, request: Message, connection: Connection) -> None:
        streams = "x-acaciarill-model" in request.headers
        if (self.loading and streams) or self.busy + self.waiting >= self.slots + self.queue:
            await self.reject(request, connection)
            return
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.busy < self.slots)
                self.busy += 1
        finally:
            self.waiting -= 1
        after = request.headers.get("last-event-id", "")
        request_id = request.headers.get(ID, "")
        begun_at = time.monotonic()
        self.runs.append((request_id, request.target, begun_at, after))
        self.running.append(request_id)
        try:
            self.note("runs", replica=self.name, request=request_id, after=after)
            await self.before_answer(request, connection)
            if streams:
                await self._generate(request, connection, request_id, after)
            else:
                await asyncio.sleep(self.work_s)
                headers = self.answer_headers(request) | {
                    "X-Acaciarill-Server-Stamp": f"s.{request_id}"
                }
                await connection.answer(200, b"plain " + request.body, headers)
        finally:
            self.running.remove(request_id)
            self.ended_runs.append((request_id, begun_at, time.monotonic()))
            self.busy -= 1
            async with self.free:
                self.free.notify_all()

    async def _generate(
        self, request: Message, connection: Connection, request_id: str, after: str
    ) -> None:
        model = request.headers["x-acaciarill-model"]
        version = self.models[model]
        headers = self.answer_headers(request) | {
            "Content-Type": "text/event-stream",
            "X-Acaciarill-Server-Stamp": f"s.{request_id}",
            "X-Acaciarill-Weight-Versions": str(version),
        }
        await connection.begin_stream(headers)
        event_id = int(after) if after else 0
        while event_id < self.event_count(request_id):
            event_id += 1
            await asyncio.sleep(self.event_s)
            mark = ""
            if self.models[model] != version:
                version = self.models[model]
                mark = f"x-acaciarill-weight-versions: {version}\n"
            event = f"{mark}id: {event_id}\ndata: {request_id}-{event_id}\n\n"
            await connection.send_chunk(event.encode())
        await connection.send_chunk(b"")
        self.note("finished", replica=self.name, request=request_id)
