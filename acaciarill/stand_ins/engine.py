"""Stand in for a model engine with continuous batching on a token clock."""

import itertools
import random
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import orjson
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..const import HEADER_FENCING_TOKEN, HEADER_REQUEST_ID
from ..timer import boot_time
from ._base import FAULT_CUT, StandIn, run_stand_in

TICK_S = 0.02
TOKENS_PER_TICK = 4
BATCH_SIZE = 32
CACHE_ENTRIES = 64
LOAD_LAG_S = 0.5
EVENT_LAG_S = 0.5
EVENT_GAP_SHARE = 0.1
SWAP_S = 0.1
SLOW_FACTOR = 10.0


@dataclass(slots=True)
class _Generation:
    request_id: str
    prompt: str
    wanted: int
    priority: int
    order: int
    pace: float = TOKENS_PER_TICK
    prefill_ticks: int = 0
    made: int = 0
    partial: float = 0.0
    spans: list[dict] = field(default_factory=list)
    cancelled: bool = False
    advanced: anyio.Event = field(default_factory=anyio.Event)

    def done(self) -> bool:
        return self.cancelled or self.made >= self.wanted

    def advance(self, version: int) -> None:
        """Make the tokens of one tick, once the prompt has been read."""
        if self.prefill_ticks > 0:
            self.prefill_ticks -= 1
            return
        self.partial += self.pace
        count = min(int(self.partial), self.wanted - self.made)
        self.partial -= int(self.partial)
        if count <= 0:
            return
        self.made += count
        if self.spans and self.spans[-1]["version"] == version:
            self.spans[-1]["tokens"] += count
        else:
            self.spans.append({"version": version, "tokens": count})
        self.advanced.set()
        self.advanced = anyio.Event()


class EngineStandIn(StandIn):
    """Generate tokens for a batch each tick, by priority; take fenced or unfenced orders."""

    name = "engine"

    def __init__(
        self, record: Path | None = None, checks_fencing: bool = True, seed: int = 1
    ) -> None:
        self.checks_fencing = checks_fencing
        self.random = random.Random(seed)
        self.version = 1
        self.fencing = 0
        self.fail_next_swaps = 0
        self.batch_size = BATCH_SIZE
        self.slow_share = 0.0
        self.prefill_ticks = 0
        self.running: dict[str, _Generation] = {}
        self.order = itertools.count()
        self.cache: OrderedDict[str, bool] = OrderedDict()
        self.events: deque[tuple[float, int, dict]] = deque(maxlen=1000)
        self.event_number = itertools.count(1)
        self.loads: deque[tuple[float, dict]] = deque(maxlen=200)
        self.work = anyio.Event()
        super().__init__(record)

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [
            Route("/generate", self.guarded(self._generate), methods=["POST"]),
            Route("/cancel", self.guarded(self._cancel), methods=["POST"]),
            Route("/orders", self.guarded(self._orders), methods=["POST"]),
            Route("/load", self.guarded(self._load)),
            Route("/events", self.guarded(self._events)),
        ]

    async def background(self) -> None:
        """Advance the token clock while anything runs."""
        while True:
            if not self.running:
                self.work = anyio.Event()
                await self.work.wait()
            await anyio.sleep(TICK_S)
            self._tick()

    def _tick(self) -> None:
        if self.fault == FAULT_CUT:
            for generation in self.running.values():
                generation.cancelled = True
                generation.advanced.set()
            self.running.clear()
            return
        waiting = sorted(self.running.values(), key=lambda item: (-item.priority, item.order))
        for generation in waiting[: self.batch_size]:
            generation.advance(self.version)
            if generation.done():
                self.running.pop(generation.request_id, None)
        busy = min(len(waiting), self.batch_size)
        load = {"running": busy, "waiting": len(waiting) - busy, "version": self.version}
        self.loads.append((boot_time(), load))

    async def _generate(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        resumed = body.get("resume_tokens", 0)
        generation = _Generation(
            request_id,
            body["prompt"],
            body.get("max_tokens", 64) - resumed,
            body.get("priority", 0),
            next(self.order),
        )
        cached = self._touch_cache(body.get("cache_salt", "") + "|" + body["prompt"][:64])
        self.write(
            "run",
            request_id=request_id,
            headers=dict(request.headers),
            cached=cached,
            resumed=resumed,
        )
        if not cached:
            generation.prefill_ticks = self.prefill_ticks
        if self.random.random() < self.slow_share:
            generation.pace /= SLOW_FACTOR
        self.running[request_id] = generation
        self.work.set()
        if body.get("stream"):
            return StreamingResponse(self._stream(generation), media_type="application/x-ndjson")
        try:
            while not generation.done():
                await generation.advanced.wait()
        finally:
            self._finish(generation)
        return JSONResponse(_final_line(generation))

    async def _stream(self, generation: _Generation) -> AsyncIterator[bytes]:
        sent = 0
        try:
            while True:
                event = generation.advanced
                if generation.made > sent:
                    text = _text(generation.request_id, sent, generation.made)
                    yield orjson.dumps({"text": text, "tokens": generation.made - sent}) + b"\n"
                    sent = generation.made
                if generation.done():
                    break
                await event.wait()
            if self.fault != FAULT_CUT:
                yield orjson.dumps(_final_line(generation) | {"text": ""}) + b"\n"
        finally:
            self._finish(generation)

    def _finish(self, generation: _Generation) -> None:
        self.running.pop(generation.request_id, None)
        event = "generated" if generation.made >= generation.wanted else "abandoned"
        self.write(event, request_id=generation.request_id, spans=generation.spans)

    def _touch_cache(self, prefix: str) -> bool:
        hit = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if not hit:
            self._publish({"kind": "stored", "prefix": prefix})
        if len(self.cache) > CACHE_ENTRIES:
            evicted, _ = self.cache.popitem(last=False)
            self._publish({"kind": "evicted", "prefix": evicted})
        return hit

    def _publish(self, event: dict) -> None:
        number = next(self.event_number)
        if self.random.random() >= EVENT_GAP_SHARE:
            self.events.append((boot_time() + EVENT_LAG_S, number, event))

    async def _events(self, request: Request) -> Response:
        since, now = int(request.query_params.get("since", 0)), boot_time()
        shown = [
            {"number": number, **event}
            for visible_at, number, event in self.events
            if number > since and visible_at <= now
        ]
        return JSONResponse({"events": shown})

    async def _load(self, request: Request) -> Response:
        horizon = boot_time() - LOAD_LAG_S
        idle = {"running": 0, "waiting": 0, "version": self.version}
        seen = [load for taken_at, load in self.loads if taken_at <= horizon]
        return JSONResponse(seen[-1] if seen and self.running else idle)

    async def _cancel(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        generation = self.running.pop(body["request_id"], None)
        if generation is not None:
            generation.cancelled = True
            generation.advanced.set()
        return JSONResponse({"cancelled": generation is not None})

    async def _orders(self, request: Request) -> Response:
        order = orjson.loads(await request.body())
        if order["kind"] == "set_faults":
            return self._set_faults(order)
        fencing = int(request.headers.get(HEADER_FENCING_TOKEN, "0"))
        if self.checks_fencing and fencing < self.fencing:
            self.write("order_refused", fencing=fencing, current=self.fencing, **order)
            return JSONResponse({"error": "old fencing number"}, 409)
        self.fencing = max(self.fencing, fencing)
        self.write("order", fencing=fencing, **order)
        await anyio.sleep(SWAP_S)
        if self.fail_next_swaps > 0:
            self.fail_next_swaps -= 1
            return JSONResponse({"error": "swap failed"}, 500)
        self.version = order["version"]
        self.cache.clear()
        self.write("swapped", version=self.version)
        return JSONResponse({"version": self.version})

    def _set_faults(self, order: dict) -> Response:
        """Take a test's settings, which are no order of the service and need no fencing."""
        self.fail_next_swaps = order.get("fail_next_swaps", 0)
        self.batch_size = order.get("batch_size", self.batch_size)
        self.slow_share = order.get("slow_share", self.slow_share)
        self.prefill_ticks = order.get("prefill_ticks", self.prefill_ticks)
        return JSONResponse({"done": True})


def _text(request_id: str, start: int, end: int) -> str:
    return "".join(f"{request_id[:4]}.{number} " for number in range(start, end))


def _final_line(generation: _Generation) -> dict:
    return {
        "request_id": generation.request_id,
        "done": not generation.cancelled and generation.made >= generation.wanted,
        "text": _text(generation.request_id, 0, generation.made),
        "tokens": generation.made,
        "spans": generation.spans,
    }


if __name__ == "__main__":
    run_stand_in(EngineStandIn)
