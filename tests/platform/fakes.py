"""Fake the users' platform: its store, the API for duty calls, and its replicas."""

import base64
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import anyio
import anyio.abc
import orjson

from acaciarill.edge import EdgeServer, Request, Responder
from tests.fakes.ports import free_port

JSON = [(b"Content-Type", b"application/json")]
EVENT_INTERVAL_S = 0.005
WEIGHT_LOAD_S = 0.05
ITEM_TOKENS = 4000
"""At least as many as the longest text in these tests has events."""


class FakeServer:
    """Serve HTTP on one address of the platform."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.server = EdgeServer(self.address, self.serve, anyio.current_time)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        await self.server.run(task_status=task_status)

    async def serve(self, request: Request, responder: Responder) -> None:
        """Respond to one request."""
        raise NotImplementedError


async def send_json(responder: Responder, status: int, value: Any = None) -> None:
    """Send a response with a JSON body."""
    await responder.send_response(status, JSON, orjson.dumps(value) if value is not None else b"")


class FakeStore(FakeServer):
    """Store objects by kind and name, with revisions, conditional writes and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, orjson.Fragment, bool]] = []
        self.revision = 1
        self.changed = anyio.Event()
        self.rejects: Callable[[Request], bool] = lambda request: False
        self.lost_write_responses = 0
        self.watches_dropped = False

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Write an object as an operator, a trainer or a replica does."""
        self.revision += 1
        stored = {"metadata": {"name": name, "rev": self.revision}, "spec": spec, "status": status}
        self.kinds.setdefault(kind, {})[name] = stored
        self._record_change(kind, stored, False)

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose specification is some bytes, as another writer may."""
        self.put(kind, name, orjson.Fragment(spec))

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self.kinds[kind].pop(name)
        stored["metadata"]["rev"] = self.revision
        self._record_change(kind, stored, True)

    def drop_watches(self) -> None:
        """Close the connections of waiting watches without a response."""
        self.watches_dropped = True
        self.changed.set()
        self.changed = anyio.Event()

    def spec(self, kind: str, name: str) -> Any:
        """Return the stored value of an object."""
        return self.kinds[kind][name]["spec"]

    def _record_change(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.events.append((self.revision, kind, orjson.Fragment(orjson.dumps(stored)), deleted))
        self.changed.set()
        self.changed = anyio.Event()

    async def serve(self, request: Request, responder: Responder) -> None:
        if self.rejects(request):
            await send_json(responder, 503)
            return
        path, _, query = request.target.partition("?")
        parts = path.split("/")[2:]
        parameters = {key: values[0] for key, values in parse_qs(query).items()}
        if request.method == "GET" and len(parts) == 1:
            await self._list_or_watch(responder, parts[0], parameters)
            return
        status, value = self._change_object(request, parts)
        if request.method != "GET" and self.lost_write_responses and status < 400:
            self.lost_write_responses -= 1
            return  # the write is stored, but the connection closes without a response
        await send_json(responder, status, value)

    async def _list_or_watch(
        self, responder: Responder, kind: str, parameters: dict[str, str]
    ) -> None:
        if "watch" not in parameters:
            after = parameters.get("after", "")
            names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
            items = [self.kinds[kind][name] for name in names[:3]]
            page = {
                "items": items,
                "has_more": len(names) > 3,
                "current_rev": self.revision,
            }
            await send_json(responder, 200, page)
            return
        since = int(parameters["watch"])
        with anyio.move_on_after(int(parameters["wait_ms"]) / 1000):
            while not any(event[0] > since and event[1] == kind for event in self.events):
                await self.changed.wait()
                if self.watches_dropped:
                    return
        events = [
            {"object": stored, "deleted": deleted}
            for revision, changed_kind, stored, deleted in self.events
            if revision > since and changed_kind == kind
        ]
        await send_json(responder, 200, {"events": events, "current_rev": self.revision})

    def _change_object(self, request: Request, parts: list[str]) -> tuple[int, Any]:
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        body = orjson.loads(request.body) if request.body else {}
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        stored = objects.get(name)
        if request.method == "POST":
            if stored is not None:
                return 409, stored
            self.put(kind, name, body.get("spec"))
            return 201, objects[name]
        if stored is None:
            return 404, None
        if request.method == "GET":
            return 200, stored
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, stored
        if body["metadata"].get("rev", stored["metadata"]["rev"]) != stored["metadata"]["rev"]:
            return 409, stored
        if parts[2:] == ["status"]:
            self.put(kind, name, stored["spec"], body["status"])
        else:
            self.put(kind, name, body["spec"], stored["status"])
        return 200, objects[name]


class FakeDutyApi(FakeServer):
    """Record duty calls and reject those with an older fencing token."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[tuple[str, str, int, dict[str, Any]]] = []

    async def serve(self, request: Request, responder: Responder) -> None:
        fencing_token = int(request.get(b"x-acaciarill-fence-token"))
        holder = request.get(b"x-acaciarill-duty-holder")
        if any(call[2] > fencing_token for call in self.calls):
            await send_json(responder, 409)
            return
        self.calls.append((request.target, holder, fencing_token, orjson.loads(request.body)))
        await send_json(responder, 200)


class FakeReplica(FakeServer):
    """Serve requests, load weights by order, and record the requests and orders."""

    def __init__(
        self, store: FakeStore, name: str, service: str, zone: str, models: dict[str, int]
    ):
        super().__init__()
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.models = models
        self.orders: list[dict[str, Any]] = []
        self.requests: list[Request] = []
        self.generations: list[tuple[str, int]] = []
        self.event_count = 6
        self.event_interval_s = EVENT_INTERVAL_S
        self.trickles = False
        self.rate_limit = ""
        self.response_delay_s = 0.0
        self.request_times: list[float] = []
        self.born = 1
        self.software_version = "v1"
        self.marks_events = False
        self.leaving = False

    def register(self, state: str = "ready") -> None:
        """Write the replica's entry to the store, as a real replica does."""
        models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software_version,
            "slots": 4,
            "state": state,
            "models": models,
            "sequence": len(self.orders),
            "born": self.born,
        }
        self.store.put("servers", self.name, entry)

    def deregister(self) -> None:
        """Remove the replica's entry, as the store does when it has been silent for a while."""
        self.store.delete("servers", self.name)

    async def serve(self, request: Request, responder: Responder) -> None:
        expected = request.get(b"x-acaciarill-expect-instance")
        if expected not in ("", self.name):
            await send_json(responder, 421)
        elif request.target == "/report":
            await send_json(responder, 200, self._report())
        elif request.target == "/order":
            await self._accept_order(request, responder)
        elif request.get(b"x-acaciarill-model"):
            self.request_times.append(anyio.current_time())
            await self._generate(request, responder)
        else:
            self.request_times.append(anyio.current_time())
            self.requests.append(request)
            await anyio.sleep(self.response_delay_s)
            await responder.send_response(
                200, self._response_headers(request), b"plain " + request.body
            )

    def _response_headers(self, request: Request) -> list[tuple[bytes, bytes]]:
        request_id = request.headers_by_name[b"x-acaciarill-attempt-id"]
        headers = [
            (b"X-Acaciarill-Attempt-Id", request_id),
            (b"X-Acaciarill-Server-Stamp", b"stamp-" + request_id),
        ]
        if self.rate_limit:
            headers.append((b"Server-Limit", self.rate_limit.encode()))
        if self.leaving:
            headers.append((b"Server-Leaving", b"1"))
        return headers

    def _report(self) -> dict[str, Any]:
        models = [{"name": m, "version": v} for m, v in self.models.items()]
        load = {"running": 0, "waiting": 0}
        return {"models": models, "busy": False, "sequence": len(self.orders)} | load

    async def _accept_order(self, request: Request, responder: Responder) -> None:
        order = orjson.loads(request.body)
        if order["precondition"] != len(self.orders):
            await send_json(responder, 409)
            return
        self.orders.append(order)
        await send_json(responder, 202)
        await anyio.sleep(WEIGHT_LOAD_S)
        self.models[order["model"]] = order["version"]
        self.register()

    async def _generate(self, request: Request, responder: Responder) -> None:
        version = self.models[request.get(b"x-acaciarill-model")]
        after = request.get(b"last-event-id")
        self.requests.append(request)
        self.generations.append((request.get(b"x-acaciarill-attempt-id"), version))
        headers = [
            *self._response_headers(request),
            (b"X-Acaciarill-Weight-Versions", str(version).encode()),
            (b"Content-Type", b"text/event-stream"),
        ]
        await responder.start(200, headers)
        item_id = request.get(b"x-acaciarill-attempt-id")
        while self.trickles:  # bytes now and then that complete no event
            await responder.send(b"d")
            await anyio.sleep(0.1)
        for event_id in range(int(after) + 1 if after else 0, self.event_count):
            await anyio.sleep(self.event_interval_s)
            mark = f"@{self.software_version}" if self.marks_events else ""
            await responder.send(f"id: {event_id}\ndata: {item_id}-{event_id}{mark}\n\n".encode())
        await responder.finish()


class CrashingReplica(FakeReplica):
    """Crash when told to, or when a request with one of some bodies begins to run.

    It starts again after `restart_s` under a new id, and its old entry stays until then.
    """

    def __init__(self, store: FakeStore, name: str, service: str, zone: str) -> None:
        super().__init__(store, name, service, zone, {})
        self.crashing_bodies: set[bytes] = set()
        self.crash_times: list[float] = []
        self.crash_delay_s = 0.02
        self.crash_due_at = math.inf
        self.restart_s = 0.5
        self.scope = anyio.CancelScope()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve and restart after each crash, until cancelled."""
        await self._run_once(task_status)
        while True:
            await anyio.sleep(self.restart_s)
            self.deregister()
            self.born += 1
            self.name = f"{self.name.partition('-')[0]}-{self.born}"
            self.server = EdgeServer(self.address, self.serve, anyio.current_time)
            self.register()
            await self._run_once(anyio.TASK_STATUS_IGNORED)

    async def _run_once(self, task_status: anyio.abc.TaskStatus[None]) -> None:
        self.crash_due_at = math.inf
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._crash_when_due)
                await self.server.run(task_status=task_status)

    async def _crash_when_due(self) -> None:
        """Crash also if the connection of the request that causes it is closed before."""
        while anyio.current_time() < self.crash_due_at:  # noqa: ASYNC110
            await anyio.sleep(0.01)
        self.crash()

    def crash(self) -> None:
        """End the process: all connections are lost, and new ones are refused."""
        self.crash_times.append(anyio.current_time())
        for connection in self.server.connections:
            connection.must_abort = True
        self.scope.cancel()

    async def serve(self, request: Request, responder: Responder) -> None:
        if request.body in self.crashing_bodies:
            self.request_times.append(anyio.current_time())
            self.requests.append(request)
            self.crash_due_at = min(self.crash_due_at, anyio.current_time() + self.crash_delay_s)
            await anyio.sleep_forever()
        await super().serve(request, responder)


def configuration(version: int = 1, keys: tuple[str, ...] = ("key-1", "key-2")) -> dict[str, Any]:
    """Return a configuration with a plain route, a scoring route and a route for batches."""
    common = {"hostname": "h.example", "timeout_ms": 3000, "target_latency_ms": 500}
    routes = [
        common | {"name": "plain", "path_prefix": "/p/", "kind": "safe", "service": "web"},
        common
        | {"name": "score", "path_prefix": "/s/", "kind": "safe", "service": "web", "public": True},
        common
        | {
            "name": "batch",
            "path_prefix": "/b/",
            "kind": "rollout",
            "service": "llm",
            "result_deadline_ms": 7500,
            "max_queue_s": 40,
        },
        common
        | {
            "name": "stream",
            "path_prefix": "/g/",
            "kind": "stream",
            "service": "llm",
            "resumable": True,
            "timeout_ms": 20_000,
        },
    ]
    for route in routes:
        route["max_attempts"] = 3
    prices = {"a": 1.0, "b": 1.0}
    scaling = {"min": 1, "max": 2, "boot_s": 4, "spot_price": 0.2, "zone_prices": prices}
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "web"}, {"name": "llm", "scaling": scaling}],
        "limits": {},
        "tenants": [
            {"name": "t1", "api_keys": list(keys)},
            {"name": "t2", "api_keys": ["other"]},
        ],
    }


def submission(count: int, min_version: int = 1, prefix: str = "i") -> bytes:
    """Return the JSON of a batch whose items form groups of two."""
    items = [
        {
            "id": f"{prefix}{n}",
            "path": f"/b/x/{n}",
            "headers": {"X-Acaciarill-Model": "m"},
            "body": base64.b64encode(f"body {n}".encode()).decode(),
            "tokens": ITEM_TOKENS,
            "group": f"g{n // 2}",
            "scorer_url": {
                "id": f"score-{prefix}{n}",
                "hostname": "h.example",
                "path": "/s/1",
                "body": "",
            },
        }
        for n in range(count)
    ]
    head = {"step": 0, "model": "m", "min_version": min_version, "desired": count // 2}
    return orjson.dumps(head | {"items": items})
