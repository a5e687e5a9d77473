"""Test when a runner fails an item because the configuration has no route for it."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio

from acaciarill.batches import (
    BatchHead,
    BatchRunner,
    Item,
    ResultLog,
    RunnerPorts,
    Submission,
)
from acaciarill.batches._texts import BatchTexts, GeneratedText, TextCache
from acaciarill.batches.const import STATE_COMPLETED, STATE_FAILED, UNLIMITED_ATTEMPT_S
from acaciarill.edge import EdgeLimits
from acaciarill.fleet import Configuration, Route, RouteKind, Upstream, UpstreamState
from acaciarill.fleet._model import group_routes_by_host
from tests.fakes.store import FakeStore

ROUTE = Route("r", "h", "/b", RouteKind.BATCH, (("llm", 1.0),), 10.0, 5.0, 2, 0, max_queue_s=60.0)


def configuration(version: int, *routes: Route) -> Configuration:
    return Configuration(version, group_routes_by_host(list(routes)), {}, EdgeLimits(), None)


class SingleEngineScheduler:
    """Assign a slot of one engine to every item."""

    def __init__(self) -> None:
        self.state = UpstreamState(Upstream("e1", "e1", "llm", "10.0.0.1:1", "dc", 8))

    @asynccontextmanager
    async def acquire_slot(self, slot_request: Any) -> AsyncIterator[UpstreamState]:
        yield self.state

    def is_version_gone(self, slot_request: Any) -> bool:
        return False


class OneEventRunner(BatchRunner):
    """Complete each text with a single event."""

    async def _attempt(
        self, item: Item, route: Route, text: GeneratedText, state: UpstreamState
    ) -> tuple[int, str]:
        text.append_event(0, "x", 1)
        return 200, ""


class RouteTest(unittest.IsolatedAsyncioTestCase):
    """Fail an item without a route only under a configuration as new as its batch."""

    def setUp(self) -> None:
        self.configuration: Configuration | None = None
        self.store = FakeStore()

    def runner(self, configuration_version: int) -> BatchRunner:
        head = BatchHead("c", "h", "/b", 0.0, 1, 1, "d", "f1", configuration=configuration_version)
        item = Item("i1", "/b/x", (), b"", "g", 10)
        ports = RunnerPorts(
            None,  # type: ignore[arg-type]
            SingleEngineScheduler(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            lambda: lambda data: [],
            lambda: self.configuration,
            lambda: 1.0,
            lambda: 1.0,
        )
        submission = Submission("m", 1, 1, (item,))
        log = ResultLog("b1", self.store)
        return OneEventRunner(
            "b1", head, submission, log, ports, BatchTexts(TextCache(), "b1", "c")
        )

    async def stored_states(
        self, runner: BatchRunner, configurations: list[Configuration | None]
    ) -> list[list[str]]:
        """Return the states of the stored results under each configuration in turn."""
        states = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run)
            for self.configuration in configurations:
                await anyio.sleep(0.9)
                states.append([result.state for result in runner.log.results])
            tasks.cancel_scope.cancel()
        return states

    async def test_runner_waits_for_first_configuration(self) -> None:
        # Regression (hunt-f042, cwmdu trouble-2, seed 156003224914): an owner that had just started
        # and had no configuration yet failed a batch.
        states = await self.stored_states(self.runner(3), [None, configuration(3, ROUTE)])
        self.assertEqual(states, [[], [STATE_COMPLETED]])

    async def test_runner_waits_for_configuration_of_batch(self) -> None:
        states = await self.stored_states(
            self.runner(3), [configuration(2), configuration(3, ROUTE)]
        )
        self.assertEqual(states, [[], [STATE_COMPLETED]])

    async def test_runner_fails_items_of_removed_route(self) -> None:
        states = await self.stored_states(self.runner(3), [configuration(4)])
        self.assertEqual(states, [[STATE_FAILED]])

    async def test_engine_gets_the_time_until_the_item_is_given_up(self) -> None:
        runner = self.runner(1)
        self.assertEqual(runner._remaining_s(ROUTE), 59.0)
        self.assertEqual(runner._remaining_s(replace(ROUTE, max_queue_s=0.0)), UNLIMITED_ATTEMPT_S)
