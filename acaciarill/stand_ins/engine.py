"""Simulate a model engine with continuous batching, which generates tokens at fixed ticks."""

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

TICK_PERIOD_S = 0.02
TOKENS_PER_TICK = 4
"""Tokens that each generation of the batch gains at a tick."""

BATCH_SIZE = 32
"""Default number of generations that advance at a tick; the others wait."""

MAX_CACHE_ENTRIES = 64
"""Capacity of the cache in prompt prefixes; the least recently used one is evicted."""

LOAD_REPORT_LAG_S = 0.5
CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_LOSS_SHARE = 0.1
"""Share of cache events that are never reported, which leaves gaps in their numbers."""

WEIGHT_LOAD_DURATION_S = 0.1
SLOWDOWN_FACTOR = 10.0
"""Factor by which the slow generations, a share `slow_share` of all, are slower than the others."""


@dataclass(slots=True)
class _Generation:
    request_id: str
    prompt: str
    token_limit: int
    priority: int
    arrival_number: int
    tokens_per_tick: float = TOKENS_PER_TICK
    prefill_ticks: int = 0
    generated_tokens: int = 0
    partial_tokens: float = 0.0
    spans: list[dict] = field(default_factory=list)
    cancelled: bool = False
    advanced: anyio.Event = field(default_factory=anyio.Event)

    def is_finished(self) -> bool:
        return self.cancelled or self.generated_tokens >= self.token_limit

    def advance(self, version: int) -> None:
        """Generate the tokens of one tick, or process the prompt while prefill ticks remain."""
        if self.prefill_ticks > 0:
            self.prefill_ticks -= 1
            return
        self.partial_tokens += self.tokens_per_tick
        count = min(int(self.partial_tokens), self.token_limit - self.generated_tokens)
        self.partial_tokens -= int(self.partial_tokens)
        if count <= 0:
            return
        self.generated_tokens += count
        if self.spans and self.spans[-1]["version"] == version:
            self.spans[-1]["tokens"] += count
        else:
            self.spans.append({"version": version, "tokens": count})
        self.advanced.set()
        self.advanced = anyio.Event()


class EngineStandIn(StandIn):
    """Generate tokens at each tick for the batch of requests with the highest priorities.

    With `checks_fencing`, an order with a lower fencing token than an earlier one is rejected. Load
    reports and cache events become visible after a lag, and a share of the cache events is lost.
    """

    name = "engine"

    def __init__(
        self, record: Path | None = None, checks_fencing: bool = True, seed: int = 1
    ) -> None:
        self.checks_fencing = checks_fencing
        self.rng = random.Random(seed)
        self.version = 1
        self.highest_fencing_token = 0
        self.fail_next_weight_loads = 0
        self.batch_size = BATCH_SIZE
        self.slow_share = 0.0
        self.prefill_ticks = 0
        self.generations: dict[str, _Generation] = {}
        self.arrival_numbers = itertools.count()
        self.cache: OrderedDict[str, bool] = OrderedDict()
        self.cache_events: deque[tuple[float, int, dict]] = deque(maxlen=1000)
        self.cache_event_numbers = itertools.count(1)
        self.load_reports: deque[tuple[float, dict]] = deque(maxlen=200)
        self.work_available = anyio.Event()
        super().__init__(record)

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [
            Route("/generate", self.with_faults(self._generate), methods=["POST"]),
            Route("/cancel", self.with_faults(self._cancel), methods=["POST"]),
            Route("/orders", self.with_faults(self._orders), methods=["POST"]),
            Route("/load", self.with_faults(self._load)),
            Route("/events", self.with_faults(self._events)),
        ]

    async def run_background(self) -> None:
        """Run ticks while there are generations."""
        while True:
            if not self.generations:
                self.work_available = anyio.Event()
                await self.work_available.wait()
            await anyio.sleep(TICK_PERIOD_S)
            self._tick()

    def _tick(self) -> None:
        if self.fault == FAULT_CUT:
            for generation in self.generations.values():
                generation.cancelled = True
                generation.advanced.set()
            self.generations.clear()
            return
        queue = sorted(
            self.generations.values(), key=lambda item: (-item.priority, item.arrival_number)
        )
        for generation in queue[: self.batch_size]:
            generation.advance(self.version)
            if generation.is_finished():
                self.generations.pop(generation.request_id, None)
        running_count = min(len(queue), self.batch_size)
        load = {
            "running": running_count,
            "waiting": len(queue) - running_count,
            "version": self.version,
        }
        self.load_reports.append((boot_time(), load))

    async def _generate(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        resumed = body.get("resume_tokens", 0)
        generation = _Generation(
            request_id,
            body["prompt"],
            body.get("max_tokens", 64) - resumed,
            body.get("priority", 0),
            next(self.arrival_numbers),
        )
        cached = self._touch_cache(body.get("cache_salt", "") + "|" + body["prompt"][:64])
        self.record_event(
            "run",
            request_id=request_id,
            headers=dict(request.headers),
            cached=cached,
            resumed=resumed,
        )
        if not cached:
            generation.prefill_ticks = self.prefill_ticks
        if self.rng.random() < self.slow_share:
            generation.tokens_per_tick /= SLOWDOWN_FACTOR
        self.generations[request_id] = generation
        self.work_available.set()
        if body.get("stream"):
            return StreamingResponse(self._stream(generation), media_type="application/x-ndjson")
        try:
            while not generation.is_finished():
                await generation.advanced.wait()
        finally:
            self._finish_generation(generation)
        return JSONResponse(_final_record(generation))

    async def _stream(self, generation: _Generation) -> AsyncIterator[bytes]:
        sent = 0
        try:
            while True:
                event = generation.advanced
                if generation.generated_tokens > sent:
                    text = _token_text(generation.request_id, sent, generation.generated_tokens)
                    yield orjson.dumps(
                        {"text": text, "tokens": generation.generated_tokens - sent}
                    ) + b"\n"
                    sent = generation.generated_tokens
                if generation.is_finished():
                    break
                await event.wait()
            if self.fault != FAULT_CUT:
                yield orjson.dumps(_final_record(generation) | {"text": ""}) + b"\n"
        finally:
            self._finish_generation(generation)

    def _finish_generation(self, generation: _Generation) -> None:
        self.generations.pop(generation.request_id, None)
        event = (
            "generated" if generation.generated_tokens >= generation.token_limit else "abandoned"
        )
        self.record_event(event, request_id=generation.request_id, spans=generation.spans)

    def _touch_cache(self, prefix: str) -> bool:
        hit = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if not hit:
            self._publish_cache_event({"kind": "stored", "prefix": prefix})
        if len(self.cache) > MAX_CACHE_ENTRIES:
            evicted, _ = self.cache.popitem(last=False)
            self._publish_cache_event({"kind": "evicted", "prefix": evicted})
        return hit

    def _publish_cache_event(self, event: dict) -> None:
        number = next(self.cache_event_numbers)
        if self.rng.random() >= CACHE_EVENT_LOSS_SHARE:
            self.cache_events.append((boot_time() + CACHE_EVENT_LAG_S, number, event))

    async def _events(self, request: Request) -> Response:
        since, now = int(request.query_params.get("since", 0)), boot_time()
        visible_events = [
            {"number": number, **event}
            for visible_at, number, event in self.cache_events
            if number > since and visible_at <= now
        ]
        return JSONResponse({"events": visible_events})

    async def _load(self, request: Request) -> Response:
        visible_until = boot_time() - LOAD_REPORT_LAG_S
        idle_load = {"running": 0, "waiting": 0, "version": self.version}
        visible_loads = [
            load for measured_at, load in self.load_reports if measured_at <= visible_until
        ]
        return JSONResponse(visible_loads[-1] if visible_loads and self.generations else idle_load)

    async def _cancel(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        generation = self.generations.pop(body["request_id"], None)
        if generation is not None:
            generation.cancelled = True
            generation.advanced.set()
        return JSONResponse({"cancelled": generation is not None})

    async def _orders(self, request: Request) -> Response:
        order = orjson.loads(await request.body())
        if order["kind"] == "set_faults":
            return self._set_faults(order)
        fencing = int(request.headers.get(HEADER_FENCING_TOKEN, "0"))
        if self.checks_fencing and fencing < self.highest_fencing_token:
            self.record_event(
                "order_refused", fencing=fencing, current=self.highest_fencing_token, **order
            )
            return JSONResponse({"error": "old fencing number"}, 409)
        self.highest_fencing_token = max(self.highest_fencing_token, fencing)
        self.record_event("order", fencing=fencing, **order)
        await anyio.sleep(WEIGHT_LOAD_DURATION_S)
        if self.fail_next_weight_loads > 0:
            self.fail_next_weight_loads -= 1
            return JSONResponse({"error": "swap failed"}, 500)
        self.version = order["version"]
        self.cache.clear()
        self.record_event("swapped", version=self.version)
        return JSONResponse({"version": self.version})

    def _set_faults(self, order: dict) -> Response:
        """Apply fault settings of a test; no daemon sends them, so they need no fencing token."""
        self.fail_next_weight_loads = order.get("fail_next_swaps", 0)
        self.batch_size = order.get("batch_size", self.batch_size)
        self.slow_share = order.get("slow_share", self.slow_share)
        self.prefill_ticks = order.get("prefill_ticks", self.prefill_ticks)
        return JSONResponse({"done": True})


def _token_text(request_id: str, start: int, end: int) -> str:
    return "".join(f"{request_id[:4]}.{number} " for number in range(start, end))


def _final_record(generation: _Generation) -> dict:
    return {
        "request_id": generation.request_id,
        "done": not generation.cancelled and generation.generated_tokens >= generation.token_limit,
        "text": _token_text(generation.request_id, 0, generation.generated_tokens),
        "tokens": generation.generated_tokens,
        "spans": generation.spans,
    }


if __name__ == "__main__":
    run_stand_in(EngineStandIn)
