"""Run items of batches in this process, at scripted engines over real connections."""

import itertools
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc

from acaciarill.batches import (
    BatchHead,
    BatchRunner,
    BatchTexts,
    EngineScheduler,
    Item,
    ResultLog,
    RunnerPorts,
    Submission,
    TextCache,
    TextLimits,
)
from acaciarill.edge import EdgeLimits, HttpPool, Request, Responder
from acaciarill.fleet import (
    AttemptSender,
    Configuration,
    Forwarder,
    Route,
    RouteKind,
    Upstream,
    UpstreamTable,
)
from acaciarill.fleet._model import group_routes_by_host
from acaciarill.platform._decode import EventReader
from acaciarill.platform._headers import UPSTREAM_CODEC
from tests.fakes.raw_upstream import RawUpstream
from tests.fakes.store import FakeStore
from tests.fakes.upstream import FakeUpstream, ResponseScript

MODEL = "m"
ROUTE = Route("r", "h", "/b", RouteKind.BATCH, (("llm", 1.0),), 10.0, 5.0, 2, 0, max_queue_s=60.0)
SCHEDULER_PERIOD_S = 0.05


def make_item(name: str, max_output_tokens: int = 0) -> Item:
    """Return an item of a group of its own."""
    return Item(name, f"/b/{name}", (), b"prompt", 10, name, max_output_tokens=max_output_tokens)


def stream_events(
    count: int | None, data: Callable[[int], bytes], version: int = 1, interval_s: float = 0.0
) -> ResponseScript:
    """Return a script that sends the events after the requested one: `count`, or without end."""

    async def script(request: Request, responder: Responder) -> None:
        request_id = request.headers_by_name.get(b"x-acaciarill-attempt-id", b"")
        headers = [
            (b"X-Acaciarill-Attempt-Id", request_id),
            (b"X-Acaciarill-Weight-Versions", b"%d" % version),
        ]
        await responder.start(200, headers)
        first = int(request.headers_by_name.get(b"last-event-id", b"0")) + 1
        for number in itertools.count(first) if count is None else range(first, count + 1):
            await responder.send(b"id: %d\ndata: %s\n\n" % (number, data(number)))
            await anyio.sleep(interval_s)
        await responder.finish()

    return script


class RunningBatches:
    """Hold what runners of one daemon share, and start runners."""

    def __init__(
        self, table: UpstreamTable, texts: TextCache, task_group: anyio.abc.TaskGroup
    ) -> None:
        clock = anyio.current_time
        self.table = table
        self.texts = texts
        self.task_group = task_group
        self.configure(ROUTE)
        self.scheduler = EngineScheduler(table, clock, lambda: self.configuration.version)
        sender = AttemptSender(HttpPool(clock), UPSTREAM_CODEC, clock)
        started_at = clock()
        self.ports = RunnerPorts(
            sender,
            self.scheduler,
            Forwarder(sender, table, clock, random.Random(1)),
            EventReader,
            lambda: self.configuration,
            clock,
            lambda: clock() - started_at,
        )

    def configure(self, route: Route, version: int = 1) -> None:
        """Apply a version of the configuration with one route."""
        self.configuration = Configuration(
            version, group_routes_by_host([route]), {}, EdgeLimits(), None
        )

    def start(
        self, batch_id: str, *items: Item, min_version: int = 0, customer: str = "c"
    ) -> BatchRunner:
        """Start to run a batch."""
        head = BatchHead(customer, "h", "/b", 0.0, len(items), 1, "d", "f1")
        runner = BatchRunner(
            batch_id,
            head,
            Submission(MODEL, min_version, 0, items),
            ResultLog(batch_id, FakeStore()),
            self.ports,
            BatchTexts(self.texts, batch_id, customer),
        )
        self.task_group.start_soon(runner.run)
        return runner

    def texts_by_item(self, runner: BatchRunner) -> dict[str, str]:
        """Return the stored texts of a batch by item."""
        return {result.id: result.text for result in runner.log.results}


@asynccontextmanager
async def running_batches(
    *scripts: ResponseScript | RawUpstream,
    slots: int = 8,
    limits: TextLimits | None = None,
    versions: tuple[int, ...] = (),
    services: tuple[str, ...] = (),
) -> AsyncIterator[RunningBatches]:
    """Serve one engine for each script, or engines that are given; the first is preferred.

    `versions` and `services` are what the engines register, 1 and "llm" if there are none.
    """
    clock = anyio.current_time
    async with anyio.create_task_group() as tasks:
        engines = [
            script if isinstance(script, RawUpstream) else FakeUpstream(script)
            for script in scripts
        ]
        for engine in engines:
            await engine.start(tasks)
        table = UpstreamTable("dc", clock, random.Random(1))
        table.update(
            [
                Upstream(
                    f"e{number}",
                    f"e{number}",
                    services[number] if services else "llm",
                    engine.address,
                    "dc" if number == 0 else "other",
                    slots,
                    versions={MODEL: versions[number] if versions else 1},
                    software_version="v1",
                )
                for number, engine in enumerate(engines)
            ]
        )
        batches = RunningBatches(table, TextCache(limits), tasks)

        async def run_scheduler() -> None:
            while True:
                await anyio.sleep(SCHEDULER_PERIOD_S)
                batches.scheduler.assign_slots()
                batches.scheduler.stop_lagging_streams()

        tasks.start_soon(run_scheduler)
        yield batches
        tasks.cancel_scope.cancel()
