"""Simulate the weight store with its rate limit."""

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..timer import boot_time
from ._base import StandIn, run_stand_in

FETCHES_PER_S = 40.0
MAX_BURST_FETCHES = 40.0


class WeightStoreStandIn(StandIn):
    """Return the newest version of each model and admit fetches by a token bucket."""

    name = "weight-store"

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        self.versions: dict[str, int] = {}
        self.tokens = MAX_BURST_FETCHES
        self.refilled_at = boot_time()
        return [
            Route("/models/{model}", self.with_faults(self._newest), methods=["GET"]),
            Route(
                "/models/{model}/{version:int}", self.with_faults(self._publish), methods=["PUT"]
            ),
            Route("/models/{model}/{version:int}", self.with_faults(self._fetch), methods=["GET"]),
        ]

    async def _newest(self, request: Request) -> Response:
        return JSONResponse({"version": self.versions.get(request.path_params["model"], 1)})

    async def _publish(self, request: Request) -> Response:
        model, version = request.path_params["model"], request.path_params["version"]
        self.versions[model] = max(version, self.versions.get(model, 1))
        self.record_event("publish", model=model, version=version)
        return JSONResponse({"version": self.versions[model]})

    async def _fetch(self, request: Request) -> Response:
        now = boot_time()
        self.tokens = min(MAX_BURST_FETCHES, self.tokens + (now - self.refilled_at) * FETCHES_PER_S)
        self.refilled_at = now
        if self.tokens < 1:
            return JSONResponse({"error": "rate"}, 429, {"retry-after": "1"})
        self.tokens -= 1
        self.record_event("fetch", **request.path_params)
        return JSONResponse({"url": f"weights/{request.path_params['version']}"})


if __name__ == "__main__":
    run_stand_in(WeightStoreStandIn)
