"""Simulate the interface that takes the orders for upstream capacity of a data centre."""

import orjson
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..const import HEADER_FENCING_TOKEN
from ._base import StandIn, run_stand_in

FAULT_NO_CHEAP = "no_cheap"


class CapacityStandIn(StandIn):
    """Accept orders, each of which replaces the order for its data centre.

    The fault `no_cheap` grants no cheap upstreams.
    """

    name = "capacity"

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        self.orders: dict[str, dict] = {}
        self.seen_order_ids: set[str] = set()
        return [
            Route("/orders/{data_centre}", self.with_faults(self._order), methods=["PUT", "GET"])
        ]

    async def _order(self, request: Request) -> Response:
        data_centre = request.path_params["data_centre"]
        if request.method == "GET":
            return JSONResponse(self.orders.get(data_centre, {}))
        order = orjson.loads(await request.body())
        repeated = order["order_id"] in self.seen_order_ids
        self.seen_order_ids.add(order["order_id"])
        self.orders[data_centre] = order
        fencing = int(request.headers.get(HEADER_FENCING_TOKEN, "0"))
        self.record_event(
            "order", data_centre=data_centre, fencing=fencing, repeated=repeated, **order
        )
        response_body: dict = {"accepted": order["order_id"]}
        if self.fault == FAULT_NO_CHEAP:
            response_body["granted"] = {
                target: counts | {"cheap": 0} for target, counts in order["counts"].items()
            }
        return JSONResponse(response_body)


if __name__ == "__main__":
    run_stand_in(CapacityStandIn)
