"""Simulate a plain HTTP service, some of whose requests must not run twice."""

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..const import HEADER_REQUEST_ID
from ._base import StandIn, run_stand_in

METHODS = ["GET", "POST", "PUT", "DELETE"]


class PlainServiceStandIn(StandIn):
    """Execute and record each request.

    The query parameter `delay_s` delays the response by that many seconds, `refuse` rejects the
    request as not run, and `cut` ends the response before its declared length.
    """

    name = "plain-service"

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [
            Route("/load", self._load),
            Route("/{path:path}", self.with_faults(self._run), methods=METHODS),
        ]

    async def _load(self, request: Request) -> Response:
        return JSONResponse({"running": 0, "waiting": 0, "version": 0})

    async def _run(self, request: Request) -> Response:
        body = await request.body()
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        if "refuse" in request.query_params:
            self.record_event("refused", request_id=request_id)
            headers = {"x-outcome": "not-run", HEADER_REQUEST_ID: request_id}
            return JSONResponse({"error": "busy"}, 503, headers)
        self.record_event(
            "run",
            request_id=request_id,
            method=request.method,
            path=request.url.path,
            headers=dict(request.headers),
            bytes=len(body),
        )
        await anyio.sleep(float(request.query_params.get("delay_s", 0)))
        if "cut" in request.query_params:
            return StreamingResponse(_truncated_body(), headers={"content-length": "1000"})
        response_body = {"path": request.url.path, "request_id": request_id, "echo": body.decode()}
        return JSONResponse(response_body)


async def _truncated_body():  # noqa: ANN202
    yield b'{"half": '
    raise ConnectionError("cut on demand")


if __name__ == "__main__":
    run_stand_in(PlainServiceStandIn)
