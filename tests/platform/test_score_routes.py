"""Test when an item whose text is complete is given up because it can't be scored."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

import anyio

from acaciarill.batches import BatchRunner, ScoreRequest
from acaciarill.batches.const import STATE_COMPLETED, STATE_FAILED
from acaciarill.edge import EdgeLimits, Request, Responder
from acaciarill.fleet import Configuration, Route, RouteKind
from acaciarill.fleet._model import group_routes_by_host
from tests.platform.batches import ROUTE, RunningBatches, make_item, running_batches, stream_events

SCORE_ROUTE = Route("s", "h", "/score", RouteKind.IDEMPOTENT, (("scorer", 1.0),), 2.0, 1.0, 2, 0)
SERVICES = ("llm", "scorer")
AWAY_S = 1.0
"""How long a route is away, which is long beside the time that an item takes."""
TIMEOUT_S = 5.0


async def send_score(request: Request, responder: Responder, status: int = 200) -> None:
    request_id = request.headers_by_name.get(b"x-acaciarill-attempt-id", b"")
    headers = [
        (b"X-Acaciarill-Attempt-Id", request_id),
        (b"X-Acaciarill-Server-Stamp", b"stamp"),
    ]
    await responder.send_response(status, headers, b"1.0")


class ScoreRouteTest(unittest.IsolatedAsyncioTestCase):
    """Run one item while the route of its score is away."""

    def configure(self, batches: RunningBatches, version: int, *routes: Route) -> None:
        batches.configuration = Configuration(
            version, group_routes_by_host(list(routes)), {}, EdgeLimits(), None
        )

    def start(self, batches: RunningBatches, routes: Sequence[Route]) -> BatchRunner:
        self.configure(batches, 1, *routes)
        item = replace(make_item("i1"), score=ScoreRequest("score-1", "h", "/score/1", b"x"))
        return batches.start("b1", item)

    async def states(self, runner: BatchRunner) -> list[str]:
        with anyio.move_on_after(TIMEOUT_S):
            while not runner.log.results:
                await anyio.sleep(0.02)
        return [result.state for result in runner.log.results]

    # review/10: the removal of the route of its score for some seconds failed a finished item.
    async def test_finished_item_waits_for_the_route_of_its_score(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound, send_score, services=SERVICES) as batches:
            runner = self.start(batches, [ROUTE])
            await anyio.sleep(AWAY_S)
            self.assertEqual(runner.log.results, [])
            self.configure(batches, 2, ROUTE, SCORE_ROUTE)
            self.assertEqual(await self.states(runner), [STATE_COMPLETED])
            self.assertEqual(runner.log.results[0].score, "stamp")

    async def test_route_that_is_removed_between_two_tries_is_waited_for(self) -> None:
        requests = 0

        async def fail_once(request: Request, responder: Responder) -> None:
            nonlocal requests
            requests += 1
            if requests == 1:
                self.configure(batches, 2, ROUTE)
            await send_score(request, responder, 404 if requests == 1 else 200)

        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound, fail_once, services=SERVICES) as batches:
            runner = self.start(batches, [ROUTE, SCORE_ROUTE])
            await anyio.sleep(AWAY_S)
            self.assertEqual(runner.log.results, [])
            self.configure(batches, 3, ROUTE, SCORE_ROUTE)
            self.assertEqual(await self.states(runner), [STATE_COMPLETED])

    async def test_service_without_upstreams_is_waited_for(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound, send_score, services=SERVICES) as batches:
            away = replace(SCORE_ROUTE, service_weights=(("away", 1.0),))
            runner = self.start(batches, [ROUTE, away])
            await anyio.sleep(AWAY_S)
            self.assertEqual(runner.log.results, [])
            self.configure(batches, 2, ROUTE, SCORE_ROUTE)
            self.assertEqual(await self.states(runner), [STATE_COMPLETED])

    async def test_item_is_given_up_when_its_queue_time_has_passed(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound, send_score, services=SERVICES) as batches:
            runner = self.start(batches, [replace(ROUTE, max_queue_s=2 * AWAY_S)])
            await anyio.sleep(AWAY_S)
            self.assertEqual(runner.log.results, [])
            self.assertEqual(await self.states(runner), [STATE_FAILED])

    async def test_item_ends_with_the_route_of_its_batch(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        async with running_batches(sound, send_score, services=SERVICES) as batches:
            runner = self.start(batches, [ROUTE])
            await anyio.sleep(AWAY_S)
            self.assertEqual(runner.log.results, [])
            self.configure(batches, 2)
            self.assertEqual(await self.states(runner), [STATE_FAILED])
