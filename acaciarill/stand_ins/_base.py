"""Define the base class of stand-ins, which serves, records events and injects faults."""

import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import click
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..timer import boot_time
from ..web import serve_app

Handler = Callable[[Request], Awaitable[Response]]

FAULT_DOWN = "down"
FAULT_SLOW = "slow"
FAULT_LOSE_RESPONSES = "lose_answers"
FAULT_CUT = "cut"


class StandIn:
    """Serve one interface over HTTP and record each event as a line of JSON.

    `POST /control` with `{"fault": "down" | "slow" | "lose_answers" | "cut" | "", "delay_s": 0.5}`
    sets the active fault; an empty name clears it. `down` responds 503 to calls of the interface,
    `slow` delays them by `delay_s` seconds, `lose_answers` executes a call other than GET but
    responds 504, and `cut` ends the running responses of an engine without their final record.
    `GET /counts` returns the number of calls by method and first path segment.
    """

    name = "stand-in"

    def __init__(self, record: Path | None = None) -> None:
        self.record_file = record.open("ab", buffering=0) if record else None
        self.call_counts: Counter[str] = Counter()
        self.fault = ""
        self.delay_s = 0.0
        self.app = Starlette(
            routes=[
                Route("/control", self._control, methods=["POST"]),
                Route("/counts", self._counts),
                *self.routes(),
            ]
        )

    def routes(self) -> list[Route]:
        """Create the state of the interface and return its routes; called once."""
        return []

    async def run_background(self) -> None:
        """Run the periodic work of the stand-in until cancelled; the default is none."""

    def record_event(self, event: str, **fields: Any) -> None:
        """Append one event, with the boot time in seconds, to the record file."""
        if self.record_file is None:
            return
        line = {"t": boot_time(), "stand_in": self.name, "event": event, **fields}
        self.record_file.write(orjson.dumps(line) + b"\n")

    def with_faults(self, handler: Handler) -> Handler:
        """Return a handler that counts its calls and applies the active fault."""

        async def handle(request: Request) -> Response:
            self.call_counts[request.method + " " + request.url.path.split("/")[1]] += 1
            if self.fault == FAULT_DOWN:
                return JSONResponse({"error": "down"}, 503)
            if self.fault == FAULT_SLOW:
                await anyio.sleep(self.delay_s)
            response = await handler(request)
            if self.fault == FAULT_LOSE_RESPONSES and request.method != "GET":
                return JSONResponse({"error": "answer lost"}, 504)
            return response

        return handle

    async def _control(self, request: Request) -> Response:
        body = orjson.loads(await request.body())
        self.fault = body.get("fault", "")
        self.delay_s = body.get("delay_s", 0.0)
        self.record_event("control", **body)
        return JSONResponse({"fault": self.fault})

    async def _counts(self, request: Request) -> Response:
        return JSONResponse(dict(self.call_counts))

    async def serve(self, address: str) -> None:
        """Serve on `ip:port` until SIGTERM, SIGINT or cancellation."""
        stop = anyio.Event()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_stop_on_signal, stop)
            await self.serve_until(address, stop)
            task_group.cancel_scope.cancel()

    async def serve_until(self, address: str, stop: anyio.Event) -> None:
        """Serve on `ip:port` until `stop` is set."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.run_background)
            await serve_app(self.app, address, stop.wait)
            task_group.cancel_scope.cancel()


async def _stop_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return


def run_stand_in(build: Callable[[Path | None], StandIn]) -> None:
    """Run one stand-in as a process, with the address and the record file from its command line."""

    @click.command()
    @click.option("--listen", required=True, help="Address to serve on, ip:port.")
    @click.option("--record", type=click.Path(path_type=Path), help="File to record events in.")
    def command(listen: str, record: Path | None) -> None:
        anyio.run(build(record).serve, listen)

    command()
