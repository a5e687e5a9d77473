"""Stand in for the interface that orders upstreams by data centre."""

import orjson
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..const import HEADER_FENCING_TOKEN
from ._base import StandIn, run_stand_in

FAULT_NO_CHEAP = "no_cheap"


class CapacityStandIn(StandIn):
    """Take absolute orders; the fault `no_cheap` grants regular upstreams only."""

    name = "capacity"

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        self.orders: dict[str, dict] = {}
        self.seen: set[str] = set()
        return [Route("/orders/{data_centre}", self.guarded(self._order), methods=["PUT", "GET"])]

    async def _order(self, request: Request) -> Response:
        data_centre = request.path_params["data_centre"]
        if request.method == "GET":
            return JSONResponse(self.orders.get(data_centre, {}))
        order = orjson.loads(await request.body())
        repeated = order["order_id"] in self.seen
        self.seen.add(order["order_id"])
        self.orders[data_centre] = order
        fencing = int(request.headers.get(HEADER_FENCING_TOKEN, "0"))
        self.write("order", data_centre=data_centre, fencing=fencing, repeated=repeated, **order)
        answer: dict = {"accepted": order["order_id"]}
        if self.fault == FAULT_NO_CHEAP:
            answer["granted"] = {
                target: counts | {"cheap": 0} for target, counts in order["counts"].items()
            }
        return JSONResponse(answer)


if __name__ == "__main__":
    run_stand_in(CapacityStandIn)
