"""Test when an owner may give up an item."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
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
from acaciarill.batches._texts import Text, TextStore
from acaciarill.batches.const import STATE_COMPLETED, STATE_FAILED
from acaciarill.edge import EdgeLimits
from acaciarill.fleet import Configuration, Route, RouteKind, Upstream, UpstreamState
from acaciarill.fleet._model import group_routes_by_host
from tests.fakes.store import FakeStore

ROUTE = Route("r", "h", "/b", RouteKind.BATCH, (("llm", 1.0),), 10.0, 5.0, 2, 0, max_queue_s=60.0)


def configuration(version: int, *routes: Route) -> Configuration:
    return Configuration(version, group_routes_by_host(list(routes)), {}, EdgeLimits(), {})


class AnySlot:
    """Give every item a slot of one engine."""

    def __init__(self) -> None:
        self.state = UpstreamState(Upstream("e1", "e1", "llm", "10.0.0.1:1", "dc", 8))

    @asynccontextmanager
    async def place(self, place: Any) -> AsyncIterator[UpstreamState]:
        yield self.state


class OneEventRunner(BatchRunner):
    """Let each attempt make a whole text of one event."""

    async def _attempt(
        self, item: Item, route: Route, text: Text, state: UpstreamState
    ) -> tuple[int, str]:
        text.add(0, "x", 1)
        return 200, ""


class RouteTest(unittest.IsolatedAsyncioTestCase):
    """Give an item up for its route only under a configuration that may know the route."""

    def setUp(self) -> None:
        self.configuration: Configuration | None = None
        self.store = FakeStore()

    def runner(self, accepted_under: int) -> BatchRunner:
        head = BatchHead("c", "h", "/b", 0.0, 1, 1, "d", "f1", configuration=accepted_under)
        item = Item("i1", "/b/x", (), b"", "g", 10)
        ports = RunnerPorts(
            None,  # type: ignore[arg-type]
            AnySlot(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            lambda: lambda data: [],
            lambda: self.configuration,
            lambda: 1.0,
            lambda: 1.0,
        )
        submission = Submission("m", 1, 1, (item,))
        log = ResultLog("b1", self.store)
        return OneEventRunner("b1", head, submission, log, ports, TextStore())

    async def states_after(
        self, runner: BatchRunner, configurations: list[Configuration | None]
    ) -> list[list[str]]:
        """Return what is listed under each configuration in turn."""
        found = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run)
            for self.configuration in configurations:
                await anyio.sleep(0.9)
                found.append([result.state for result in runner.log.results])
            tasks.cancel_scope.cancel()
        return found

    async def test_owner_without_a_configuration_waits_for_it(self) -> None:
        # hunt-f042, cwmdu trouble-2 156003224914: an owner that had just started failed a batch.
        found = await self.states_after(self.runner(3), [None, configuration(3, ROUTE)])
        self.assertEqual(found, [[], [STATE_COMPLETED]])

    async def test_owner_with_a_configuration_older_than_the_batch_waits(self) -> None:
        found = await self.states_after(self.runner(3), [configuration(2), configuration(3, ROUTE)])
        self.assertEqual(found, [[], [STATE_COMPLETED]])

    async def test_items_of_a_route_that_was_removed_are_given_up(self) -> None:
        found = await self.states_after(self.runner(3), [configuration(4)])
        self.assertEqual(found, [[STATE_FAILED]])
