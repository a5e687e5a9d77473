"""Stand in for the users' platform by its published protocol: store, duty calls, replicas."""

import base64
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import anyio
import anyio.abc
import orjson

from acaciarill.edge import EdgeServer, Request, Responder
from tests.fakes.ports import free_port

JSON = [(b"Content-Type", b"application/json")]
EVENT_PAUSE_S = 0.005
LOAD_S = 0.05


class FakeServer:
    """Serve one address of the platform."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.server = EdgeServer(self.address, self.serve, anyio.current_time)

    async def serve(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        raise NotImplementedError


async def reply(responder: Responder, status: int, value: Any = None) -> None:
    """Answer with a JSON body."""
    await responder.send_response(status, JSON, orjson.dumps(value) if value is not None else b"")


class FakeStore(FakeServer):
    """Keep objects by kind and name, with revisions, conditions and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.changed = anyio.Event()
        self.turned_away: Callable[[Request], bool] = lambda request: False
        self.lose_writes = 0
        self.cut = False

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> None:
        """Write an object as an operator, a trainer or a replica does."""
        self.revision += 1
        stored = {"metadata": {"name": name, "rev": self.revision}, "spec": spec, "status": status}
        self.kinds.setdefault(kind, {})[name] = stored
        self._note(kind, stored, False)

    def cut_watches(self) -> None:
        """End the connections of waiting watches without an answer."""
        self.cut = True
        self.changed.set()
        self.changed = anyio.Event()

    def spec(self, kind: str, name: str) -> Any:
        """Return what is stored under a name."""
        return self.kinds[kind][name]["spec"]

    def _note(self, kind: str, stored: dict[str, Any], gone: bool) -> None:
        self.events.append((self.revision, kind, orjson.loads(orjson.dumps(stored)), gone))
        self.changed.set()
        self.changed = anyio.Event()

    async def serve(self, request: Request, responder: Responder) -> None:
        if self.turned_away(request):
            await reply(responder, 503)
            return
        path, _, query = request.target.partition("?")
        parts = path.split("/")[2:]
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        if request.method == "GET" and len(parts) == 1:
            await self._list_or_watch(responder, parts[0], fields)
            return
        status, value = self._change(request, parts)
        if request.method != "GET" and self.lose_writes and status < 400:
            self.lose_writes -= 1
            return  # done, and the connection closes without an answer
        await reply(responder, status, value)

    async def _list_or_watch(self, responder: Responder, kind: str, fields: dict[str, str]) -> None:
        if "watch" not in fields:
            after = fields.get("after", "")
            names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
            items = [self.kinds[kind][name] for name in names[:3]]
            page = {
                "items": items,
                "has_more": len(names) > 3,
                "current_rev": self.revision,
            }
            await reply(responder, 200, page)
            return
        since = int(fields["watch"])
        with anyio.move_on_after(int(fields["wait_ms"]) / 1000):
            while not any(e[0] > since and e[1] == kind for e in self.events):
                await self.changed.wait()
                if self.cut:
                    return
        events = [
            {"object": stored, "deleted": gone}
            for revision, changed, stored, gone in self.events
            if revision > since and changed == kind
        ]
        await reply(responder, 200, {"events": events, "current_rev": self.revision})

    def _change(self, request: Request, parts: list[str]) -> tuple[int, Any]:
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
            self.revision += 1
            del objects[name]
            stored["metadata"]["rev"] = self.revision
            self._note(kind, stored, True)
            return 200, stored
        if body["metadata"].get("rev", stored["metadata"]["rev"]) != stored["metadata"]["rev"]:
            return 409, stored
        if parts[2:] == ["status"]:
            self.put(kind, name, stored["spec"], body["status"])
        else:
            self.put(kind, name, body["spec"], stored["status"])
        return 200, objects[name]


class FakeCloud(FakeServer):
    """Record duty calls, and refuse those with an older fencing token."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[tuple[str, str, int, dict[str, Any]]] = []

    async def serve(self, request: Request, responder: Responder) -> None:
        fence = int(request.get(b"x-acaciarill-fence-token"))
        holder = request.get(b"x-acaciarill-duty-holder")
        if any(call[2] > fence for call in self.calls):
            await reply(responder, 409)
            return
        self.calls.append((request.target, holder, fence, orjson.loads(request.body)))
        await reply(responder, 200)


class FakeReplica(FakeServer):
    """Run generations and plain requests, take orders, and record what reached it."""

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
        self.items: list[tuple[str, int]] = []
        self.events = 6
        self.pause_s = EVENT_PAUSE_S

    def register(self, state: str = "ready") -> None:
        """Write the replica's entry as it does itself."""
        models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": 4,
            "state": state,
            "models": models,
            "sequence": len(self.orders),
            "born": 1,
        }
        self.store.put("servers", self.name, entry)

    async def serve(self, request: Request, responder: Responder) -> None:
        expected = request.get(b"x-acaciarill-expect-instance")
        if expected not in ("", self.name):
            await reply(responder, 421)
        elif request.target == "/report":
            await reply(responder, 200, self._report())
        elif request.target == "/order":
            await self._order(request, responder)
        elif request.get(b"x-acaciarill-model"):
            await self._generate(request, responder)
        else:
            self.requests.append(request)
            await responder.send_response(200, self._heads(request), b"plain " + request.body)

    def _heads(self, request: Request) -> list[tuple[bytes, bytes]]:
        request_id = request.headers_by_name[b"x-acaciarill-attempt-id"]
        return [
            (b"X-Acaciarill-Attempt-Id", request_id),
            (b"X-Acaciarill-Server-Stamp", b"stamp-" + request_id),
        ]

    def _report(self) -> dict[str, Any]:
        models = [{"name": m, "version": v} for m, v in self.models.items()]
        running = {"running": 0, "waiting": 0}
        return {"models": models, "busy": False, "sequence": len(self.orders)} | running

    async def _order(self, request: Request, responder: Responder) -> None:
        order = orjson.loads(request.body)
        if order["precondition"] != len(self.orders):
            await reply(responder, 409)
            return
        self.orders.append(order)
        await reply(responder, 202)
        await anyio.sleep(LOAD_S)
        self.models[order["model"]] = order["version"]
        self.register()

    async def _generate(self, request: Request, responder: Responder) -> None:
        version = self.models[request.get(b"x-acaciarill-model")]
        after = request.get(b"last-event-id")
        self.requests.append(request)
        self.items.append((request.get(b"x-acaciarill-attempt-id"), version))
        heads = [
            *self._heads(request),
            (b"X-Acaciarill-Weight-Versions", str(version).encode()),
            (b"Content-Type", b"text/event-stream"),
        ]
        await responder.start(200, heads)
        item = request.get(b"x-acaciarill-attempt-id")
        for number in range(int(after) + 1 if after else 0, self.events):
            await anyio.sleep(self.pause_s)
            await responder.send(f"id: {number}\ndata: {item}-{number}\n\n".encode())
        await responder.finish()


def configuration(version: int = 1, keys: tuple[str, ...] = ("key-1", "key-2")) -> dict[str, Any]:
    """Return a configuration with a plain route, a scoring route and a route for batches."""
    host = {"hostname": "h.example", "timeout_ms": 3000, "target_latency_ms": 500}
    routes = [
        host | {"name": "plain", "path_prefix": "/p/", "kind": "safe", "service": "web"},
        host
        | {"name": "score", "path_prefix": "/s/", "kind": "safe", "service": "web", "public": True},
        host
        | {
            "name": "batch",
            "path_prefix": "/b/",
            "kind": "rollout",
            "service": "llm",
            "result_deadline_ms": 7500,
            "max_queue_s": 40,
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
    """Return a batch of groups of two."""
    items = [
        {
            "id": f"{prefix}{n}",
            "path": f"/b/x/{n}",
            "headers": {"X-Acaciarill-Model": "m"},
            "body": base64.b64encode(f"body {n}".encode()).decode(),
            "tokens": 10,
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
