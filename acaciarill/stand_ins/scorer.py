"""Simulate a scoring service."""

import zlib

import orjson
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ._base import StandIn, run_stand_in


class ScorerStandIn(StandIn):
    """Return a score between 0 and 1 that depends only on the text of the sample."""

    name = "scorer"

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [Route("/score", self.with_faults(self._score), methods=["POST"])]

    async def _score(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        score = (zlib.crc32(body["text"].encode()) % 1000) / 1000
        self.record_event("score", sample_id=body["sample_id"], score=score)
        return JSONResponse({"score": score})


if __name__ == "__main__":
    run_stand_in(ScorerStandIn)
