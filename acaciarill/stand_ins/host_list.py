"""Simulate the platform's host list, in which changes become visible after a lag."""

import zlib
from pathlib import Path

import orjson
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..timer import boot_time
from ._base import StandIn, run_stand_in

DEFAULT_CHANGE_LAG_S = 0.5


class HostListStandIn(StandIn):
    """List hosts; a change by `PUT /hosts/{name}` becomes visible after `lag_s` seconds.

    The state `gone` removes a host from the list.
    """

    name = "host-list"

    def __init__(self, record: Path | None = None, lag_s: float = DEFAULT_CHANGE_LAG_S) -> None:
        self.lag_s = lag_s
        super().__init__(record)

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        self.hosts: dict[str, list[tuple[float, dict]]] = {}
        return [
            Route("/hosts", self.with_faults(self._list)),
            Route("/hosts/{name}", self.with_faults(self._put), methods=["PUT"]),
        ]

    def set_entry(self, entry: dict, lag_s: float = 0.0) -> None:
        """Replace the entry of one host, which becomes visible after `lag_s` seconds."""
        self.hosts.setdefault(entry["name"], []).append((boot_time() + lag_s, entry))
        self.record_event("host", **entry)

    async def _put(self, request: Request) -> Response:
        entry = orjson.loads(await request.body()) | {"name": request.path_params["name"]}
        self.set_entry(entry, self.lag_s)
        return JSONResponse(entry)

    async def _list(self, request: Request) -> Response:
        now = boot_time()
        visible_hosts = []
        for changes in self.hosts.values():
            visible_entries = [entry for visible_at, entry in changes if visible_at <= now]
            if visible_entries and visible_entries[-1]["state"] != "gone":
                visible_hosts.append(visible_entries[-1])
        body = orjson.dumps({"hosts": visible_hosts})
        etag = f'"{zlib.crc32(body):x}"'
        if request.headers.get("if-none-match") == etag:
            return Response(status_code=304, headers={"etag": etag})
        return Response(body, headers={"etag": etag}, media_type="application/json")


if __name__ == "__main__":
    run_stand_in(HostListStandIn)
