"""Test that all daemons together keep the rate limit that a replica names in its responses."""

from bisect import bisect_right

import anyio

from acaciarill.edge import HttpResponse
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.fakes import FakeReplica, submission
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet

WINDOW_S = 4.0
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
"""Users' limit: in any window, 1.5 times what the limit allows and five requests more."""
KNOWN_AFTER_S = 0.5
"""Users' limit on the time in which a daemon must act on a limit that it was told."""


def most_requests(times: list[float]) -> int:
    """Return the most requests in any window, without those before the limit had to be kept."""
    counted = [at for at in times if at >= times[0] + KNOWN_AFTER_S]
    return max(
        (bisect_right(counted, at + WINDOW_S) - i for i, at in enumerate(counted)), default=0
    )


class RateLimitTest(PlainLoopTestCase):
    """Limit replicas that two daemons use at once."""

    def check_requests(self, replica: FakeReplica, limit: float) -> None:
        allowed = RATE_FACTOR * WINDOW_S * limit + EXTRA_REQUESTS
        self.assertLessEqual(most_requests(replica.request_times), allowed)

    async def test_limit_of_a_plain_service_is_kept_by_all_daemons_together(self) -> None:
        # A replica that had named a limit of 1 request a second got 32 in four seconds.
        responses: dict[str, HttpResponse] = {}

        async def call(fleet: LocalFleet, daemon: str, number: int) -> None:
            request_id = f"{daemon}-{number}"
            responses[request_id] = await fleet.call(daemon, "POST", "/p/1", id=request_id)

        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                fleet.web.rate_limit = "1"
                async with anyio.create_task_group() as calls:
                    for number in range(50):
                        for daemon in ("f1", "f2"):
                            calls.start_soon(call, fleet, daemon, number)
                        await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
        self.check_requests(fleet.web, 1.0)
        ran = {request.get(b"x-acaciarill-attempt-id") for request in fleet.web.requests}
        served = {name for name, response in responses.items() if response.head.status == 200}
        self.assertEqual(ran, served)
        self.assertGreaterEqual(len(served), 4)
        for name in responses.keys() - served:
            head = responses[name].head
            self.assertEqual(head.status, 503)
            self.assertGreater(float(head.get(b"retry-after") or 0), 0.0)

    async def test_limit_of_engines_is_kept_and_the_batch_completes(self) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                for engine in fleet.engines:
                    engine.rate_limit = "2"
                for step, count in enumerate((2, 20)):  # the first tells the daemons the limits
                    for name in ("f1", "f2"):
                        body = submission(count, prefix=f"{name}-{step}-")
                        batch = f"batch-{name}-{step}"
                        response = await fleet.call(name, "POST", "/b/x", body, id=batch)
                        self.assertEqual(response.head.status, 202)
                    for name in ("f1", "f2"):
                        results = await fleet.read_results(name, f"batch-{name}-{step}", count)
                        self.assertEqual({result["state"] for result in results}, {"completed"})
                    await anyio.sleep(KNOWN_AFTER_S)
                tasks.cancel_scope.cancel()
        for engine in fleet.engines:
            self.check_requests(engine, 2.0)

    async def test_requests_flow_again_once_the_limit_is_no_longer_named(self) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                fleet = LocalFleet(tasks)
                await fleet.start()
                fleet.web.rate_limit = "1"
                for name in ("f1", "f2"):
                    await fleet.call(name, "POST", "/p/1", id=f"first-{name}")
                fleet.web.rate_limit = ""
                await anyio.sleep(2.5)
                for name in ("f1", "f2"):
                    response = await fleet.call(name, "POST", "/p/1", id=f"next-{name}")
                    self.assertEqual(response.head.status, 200)
                statuses = [
                    (await fleet.call("f1", "POST", "/p/1", id=f"flood-{n}")).head.status
                    for n in range(10)
                ]
                self.assertEqual(set(statuses), {200})
                tasks.cancel_scope.cancel()
