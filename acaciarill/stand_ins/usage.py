"""Simulate the interface that receives usage reports."""

import orjson
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..const import HEADER_FENCING_TOKEN
from ._base import StandIn, run_stand_in


class UsageStandIn(StandIn):
    """Record every report of a customer's usage in a window, including repeated ones."""

    name = "usage"

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        self.reports: dict[tuple[str, int], list[bytes]] = {}
        return [
            Route("/reports/{customer}/{window:int}", self.with_faults(self._put), methods=["PUT"])
        ]

    async def _put(self, request: Request) -> Response:
        body = await request.body()
        customer, window = request.path_params["customer"], request.path_params["window"]
        self.reports.setdefault((customer, window), []).append(body)
        self.record_event(
            "report",
            customer=customer,
            window=window,
            fencing=int(request.headers.get(HEADER_FENCING_TOKEN, "0")),
            figures=orjson.loads(body),
        )
        return JSONResponse({"accepted": True})


if __name__ == "__main__":
    run_stand_in(UsageStandIn)
