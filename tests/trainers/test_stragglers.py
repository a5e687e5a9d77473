"""Test second attempts: when they start, who wins, and that both cannot count."""

import unittest

import anyio
import orjson

from acaciarill.callers import Paces
from acaciarill.errors import AcaciarillError, Step, UpstreamError
from acaciarill.trainers._stragglers import AttemptRace, patience_s
from acaciarill.upstreams import UpstreamRequest, UpstreamResponse


class FakeDispatcher:
    """Answer each request after its own delay, or fail."""

    def __init__(self, plans: list) -> None:
        self.plans = plans
        self.opened: list[UpstreamRequest] = []
        self.cancelled: list[UpstreamRequest] = []

    async def dispatch(self, request: UpstreamRequest) -> UpstreamResponse:
        plan = self.plans[len(self.opened)]
        self.opened.append(request)
        request.upstream = f"engine-{len(self.opened)}"
        if plan is None:
            raise UpstreamError("failed", step=Step.RECEIVE)
        await anyio.sleep(plan)

        async def body():
            yield orjson.dumps({"from": request.upstream})

        async def close() -> None:
            return

        return UpstreamResponse(200, [], body(), close, "id", request.upstream)

    async def cancel(self, request: UpstreamRequest) -> None:
        self.cancelled.append(request)


def requests() -> list[UpstreamRequest]:
    return [UpstreamRequest(str(n), "c", "m", "POST", "/", [], b"", 0.0) for n in (1, 2)]


class RaceTest(unittest.IsolatedAsyncioTestCase):
    """Race two attempts."""

    async def race(self, plans: list, patience_s, may: bool = True):
        dispatcher = FakeDispatcher(plans)
        race = AttemptRace(dispatcher, patience_s if callable(patience_s) else lambda: patience_s)
        try:
            answer, _ = await race.run(requests(), lambda: may)
        except AcaciarillError as error:
            return dispatcher, error
        return dispatcher, answer.closing["from"]

    async def test_a_quick_answer_needs_no_second(self) -> None:
        dispatcher, winner = await self.race([0.0], 60)
        self.assertEqual((winner, len(dispatcher.opened)), ("engine-1", 1))

    async def test_a_straggler_loses_and_is_cancelled(self) -> None:
        dispatcher, winner = await self.race([60, 0.0], 0.01)
        self.assertEqual(winner, "engine-2")
        self.assertEqual(dispatcher.cancelled, dispatcher.opened[:1])
        self.assertEqual(dispatcher.opened[1].tried_upstreams, {"engine-1"})

    async def test_patience_may_end_by_what_is_learned_while_waiting(self) -> None:
        answers = iter([float("inf"), 0.0])
        dispatcher, winner = await self.race([60, 0.0], lambda: next(answers))
        self.assertEqual((winner, len(dispatcher.opened)), ("engine-2", 2))

    async def test_without_budget_the_first_goes_on(self) -> None:
        dispatcher, winner = await self.race([0.05], 0.01, may=False)
        self.assertEqual((winner, len(dispatcher.opened)), ("engine-1", 1))

    async def test_a_failed_second_leaves_the_first(self) -> None:
        _, winner = await self.race([0.05, None], 0.01)
        self.assertEqual(winner, "engine-1")

    async def test_both_failed(self) -> None:
        _, error = await self.race([None], 60)
        self.assertIsInstance(error, UpstreamError)


class PacesTest(unittest.TestCase):
    """Learn how long generations take."""

    def test_patience_needs_observations_and_follows_the_median(self) -> None:
        paces = Paces()
        self.assertEqual(patience_s(paces, "m", 100), float("inf"))
        for _ in range(16):
            paces.observe("m", 100, 1.0)
        paces.observe("m", 100, 50.0)
        self.assertAlmostEqual(patience_s(paces, "m", 200), 0.01 * 200 * 2 + 0.25)
