"""Simulate the Object API: versioned objects, conditional writes and watches."""

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ._base import StandIn, run_stand_in


class ObjectApiStandIn(StandIn):
    """Keep objects in memory; the version of an object is the global position of its last write.

    `GET /watches` returns the current and the maximum number of open watches by prefix; the query
    parameter `reset` restarts the maximum.
    """

    name = "object-api"

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        self.objects: dict[str, tuple[int, bytes | None]] = {}
        self.position = 0
        self.changed = anyio.Event()
        self.open_watches: dict[str, int] = {}
        self.max_open_watches: dict[str, int] = {}
        return [
            Route("/objects", self.with_faults(self._list)),
            Route("/objects/{key:path}", self.with_faults(self._get), methods=["GET"]),
            Route("/objects/{key:path}", self.with_faults(self._put), methods=["PUT"]),
            Route("/objects/{key:path}", self.with_faults(self._delete), methods=["DELETE"]),
            Route("/watch", self.with_faults(self._watch)),
            Route("/watches", self._watch_counts),
        ]

    async def _get(self, request: Request) -> Response:
        version, value = self.objects.get(request.path_params["key"], (0, None))
        if value is None:
            return Response(status_code=404)
        return Response(value, headers={"etag": str(version)})

    async def _put(self, request: Request) -> Response:
        key = request.path_params["key"]
        body = await request.body()
        version, value = self.objects.get(key, (0, None))
        current = version if value is not None else 0
        if int(request.headers["if-match"]) != current:
            return Response(status_code=412)
        self.store(key, body)
        self.record_event("put", key=key, version=self.position, value=body.decode())
        return Response(headers={"etag": str(self.position)})

    async def _delete(self, request: Request) -> Response:
        key = request.path_params["key"]
        if key in self.objects:
            self.store(key, None)
            self.record_event("delete", key=key)
        return Response()

    def store(self, key: str, value: bytes | None) -> None:
        """Write one object, or delete it if the value is None, and wake the watches."""
        self.position += 1
        self.objects[key] = (self.position, value)
        self.changed.set()
        self.changed = anyio.Event()

    async def _list(self, request: Request) -> Response:
        prefix = request.query_params["prefix"]
        return JSONResponse({"objects": self._objects_after(prefix, 0, with_deleted=False)})

    async def _watch(self, request: Request) -> Response:
        prefix = request.query_params["prefix"]
        position = int(request.query_params["position"])
        open_count = self.open_watches[prefix] = self.open_watches.get(prefix, 0) + 1
        self.max_open_watches[prefix] = max(open_count, self.max_open_watches.get(prefix, 0))
        try:
            with anyio.move_on_after(float(request.query_params["timeout_s"])):
                while not self._objects_after(prefix, position) and not self.fault:
                    await self.changed.wait()
        finally:
            self.open_watches[prefix] -= 1
        changed_objects = self._objects_after(prefix, position)
        return JSONResponse({"position": self.position, "objects": changed_objects})

    async def _watch_counts(self, request: Request) -> Response:
        counts = {"open": self.open_watches, "most": self.max_open_watches}
        if "reset" in request.query_params:
            self.max_open_watches = dict(self.open_watches)
        return JSONResponse(counts)

    def _objects_after(self, prefix: str, position: int, with_deleted: bool = True) -> list[dict]:
        return [
            {"key": key, "version": version, "value": None if value is None else value.decode()}
            for key, (version, value) in self.objects.items()
            if version > position and key.startswith(prefix) and (with_deleted or value is not None)
        ]

    async def _control(self, request: Request) -> Response:
        response = await super()._control(request)
        self.changed.set()
        self.changed = anyio.Event()
        return response


if __name__ == "__main__":
    run_stand_in(ObjectApiStandIn)
