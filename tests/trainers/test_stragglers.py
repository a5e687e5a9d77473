"""Test hedged generations: when the second attempt starts and which response is used."""

import unittest

import anyio
import orjson

from acaciarill.callers import DurationEstimator
from acaciarill.errors import AcaciarillError, Step, UpstreamError
from acaciarill.trainers._stragglers import HedgedGeneration, hedge_delay_s
from acaciarill.upstreams import UpstreamRequest, UpstreamResponse


class FakeDispatcher:
    """Respond to the n-th request after the n-th delay in seconds, or fail if it is None."""

    def __init__(self, delays_s: list) -> None:
        self.delays_s = delays_s
        self.dispatched: list[UpstreamRequest] = []
        self.cancelled: list[UpstreamRequest] = []

    async def dispatch(self, request: UpstreamRequest) -> UpstreamResponse:
        delay_s = self.delays_s[len(self.dispatched)]
        self.dispatched.append(request)
        request.upstream = f"engine-{len(self.dispatched)}"
        if delay_s is None:
            raise UpstreamError("failed", step=Step.RECEIVE)
        await anyio.sleep(delay_s)

        async def body():
            yield orjson.dumps({"from": request.upstream})

        async def close() -> None:
            return

        return UpstreamResponse(200, [], body(), close, "id", request.upstream)

    async def cancel(self, request: UpstreamRequest) -> None:
        self.cancelled.append(request)


def requests() -> list[UpstreamRequest]:
    return [UpstreamRequest(str(n), "c", "m", "POST", "/", [], b"", 0.0) for n in (1, 2)]


class HedgedGenerationTest(unittest.IsolatedAsyncioTestCase):
    """Run a generation of up to two attempts."""

    async def run_generation(self, delays_s: list, hedge_delay_s, may_hedge: bool = True):
        dispatcher = FakeDispatcher(delays_s)
        generation = HedgedGeneration(
            dispatcher, hedge_delay_s if callable(hedge_delay_s) else lambda: hedge_delay_s
        )
        try:
            response, _ = await generation.run(requests(), lambda: may_hedge)
        except AcaciarillError as error:
            return dispatcher, error
        return dispatcher, response.final_record["from"]

    async def test_fast_response_is_not_hedged(self) -> None:
        dispatcher, upstream = await self.run_generation([0.0], 60)
        self.assertEqual((upstream, len(dispatcher.dispatched)), ("engine-1", 1))

    async def test_slow_attempt_is_cancelled_after_hedge_responds(self) -> None:
        dispatcher, upstream = await self.run_generation([60, 0.0], 0.01)
        self.assertEqual(upstream, "engine-2")
        self.assertEqual(dispatcher.cancelled, dispatcher.dispatched[:1])
        self.assertEqual(dispatcher.dispatched[1].tried_upstreams, {"engine-1"})

    async def test_hedge_delay_is_computed_again_while_waiting(self) -> None:
        hedge_delays_s = iter([float("inf"), 0.0])
        dispatcher, upstream = await self.run_generation([60, 0.0], lambda: next(hedge_delays_s))
        self.assertEqual((upstream, len(dispatcher.dispatched)), ("engine-2", 2))

    async def test_first_attempt_continues_without_hedge_budget(self) -> None:
        dispatcher, upstream = await self.run_generation([0.05], 0.01, may_hedge=False)
        self.assertEqual((upstream, len(dispatcher.dispatched)), ("engine-1", 1))

    async def test_first_attempt_continues_after_hedge_fails(self) -> None:
        _, upstream = await self.run_generation([0.05, None], 0.01)
        self.assertEqual(upstream, "engine-1")

    async def test_error_is_raised_when_attempt_fails(self) -> None:
        _, error = await self.run_generation([None], 60)
        self.assertIsInstance(error, UpstreamError)


class HedgeDelayTest(unittest.TestCase):
    """Derive the hedge delay from the durations of earlier generations."""

    def test_hedge_delay_is_infinite_without_data_and_follows_median(self) -> None:
        durations = DurationEstimator()
        self.assertEqual(hedge_delay_s(durations, "m", 100), float("inf"))
        for _ in range(16):
            durations.observe("m", 100, 1.0)
        durations.observe("m", 100, 50.0)
        self.assertAlmostEqual(hedge_delay_s(durations, "m", 200), 0.01 * 200 * 2 + 0.25)


class MalformedResponseTest(unittest.IsolatedAsyncioTestCase):
    """Read responses that are no JSON object."""

    # review/3 on a related path: a response of another form ended the task that waited for it.
    async def test_response_of_another_form_is_an_error_of_the_upstream(self) -> None:
        for data in (b"", b"7", b"[]", b"[" * 5000, b'{"a":1e400}'):

            async def body(data: bytes = data):
                yield data

            async def close() -> None:
                return

            class Dispatcher(FakeDispatcher):
                async def dispatch(self, request: UpstreamRequest) -> UpstreamResponse:
                    return UpstreamResponse(200, [], body(), close, "id", "engine-1")

            generation = HedgedGeneration(Dispatcher([0.0]), lambda: 100.0)
            with self.subTest(data[:10]), self.assertRaises(UpstreamError):
                await generation.run(requests(), lambda: False)
