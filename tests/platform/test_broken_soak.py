"""Soak requests, streams and items with replicas that break the protocol in drawn ways."""

import os
import random
from collections import Counter

import anyio

from acaciarill.fleet import RouteKind
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, RawUpstream, Then, encode_response
from tests.platform.batches import ROUTE, RunningBatches, make_item, running_batches
from tests.platform.raw_fleet import REQUEST_ID, RawFleet, identify, make_route, raw_fleet

SEED = int(os.environ.get("SOAK_SEED", "1"))
SOAK_S = float(os.environ.get("SOAK_S", "10"))
CLIENTS = 8
EVENTS = 6
PROMISES = (408, 421, 429, 503)
SAFE, ONCE, RESUMED, STREAM = (
    make_route("safe", RouteKind.IDEMPOTENT, 3),
    make_route("once", RouteKind.ONCE, 3),
    make_route("resumed", RouteKind.STREAM, 3, resumable=True),
    make_route("stream", RouteKind.STREAM, 3),
)
ROUTES = (SAFE, ONCE, RESUMED, STREAM)
ODD_HEADERS = {
    "X-Acaciarill-Instance-Load": "\xb2,0," + "9" * 400,
    "X-Acaciarill-Weight-Versions": "9" * 400,
    "Server-Limit": "nan",
    "Keep-Alive": "timeout=" + "9" * 400,
}


def whole_body(request_id: str) -> bytes:
    return b"body of " + request_id.encode()


def events(request_id: str, first: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: %s-%d\n\n" % (number, request_id.encode(), number)
        for number in range(first, EVENTS)
    )


class OddReplica:
    """Answer as the protocol says, or break it in a drawn way.

    `runs` counts how often each request ran, `errors` how often it was answered 500.
    """

    def __init__(self, rng: random.Random, runs: Counter[str], errors: Counter[str]) -> None:
        self.rng = rng
        self.runs = runs
        self.errors = errors
        self.last_responses: dict[int, bytes] = {}

    def answer(self, request: RawRequest) -> RawAnswer:
        """Return the bytes for one request."""
        drawn = self.rng.random()
        if drawn < 0.1:
            return self.remember(request, self.reject(request))
        request_id = request.headers.get(REQUEST_ID, "")
        self.runs[request_id] += 1
        whole = self.respond(request)
        if drawn < 0.5:
            return self.remember(request, RawAnswer(whole))
        if drawn < 0.65:  # a second copy of the connection's last response, if there is one
            return RawAnswer(self.last_responses.get(request.connection, b"") + whole)
        if drawn < 0.9:
            end = self.rng.randrange(len(whole))
            return RawAnswer(whole[:end], self.rng.choice([Then.CLOSE, Then.RESET, Then.HOLD]))
        if drawn < 0.95:
            interim = b"HTTP/1.1 103 Early\r\n\r\n" * self.rng.randrange(1, 12)
            return RawAnswer(interim + whole)
        return RawAnswer(self.rng.randbytes(200), Then.CLOSE)

    def reject(self, request: RawRequest) -> RawAnswer:
        headers = {"X-Acaciarill-Not-Run": "1"}
        if self.rng.random() < 0.8 or request.number > 1:
            headers["X-Acaciarill-Attempt-Id"] = request.headers.get(REQUEST_ID, "")
        return RawAnswer(encode_response(self.rng.choice([429, 503]), headers, b"rejected"))

    def respond(self, request: RawRequest) -> bytes:
        headers = identify(request)
        if self.rng.random() < 0.2:
            headers |= ODD_HEADERS
        request_id = request.headers.get(REQUEST_ID, "")
        if request_id.startswith(("safe", "once")):
            return encode_response(200, headers, whole_body(request_id))
        if self.rng.random() < 0.1:
            headers["Content-Type"] = "application/json"
            self.errors[request_id] += 1
            return encode_response(500, headers, b"error text")
        headers["Content-Type"] = "text/event-stream"
        headers.setdefault("X-Acaciarill-Weight-Versions", "1")
        first = (
            int(request.headers["last-event-id"]) + 1 if "last-event-id" in request.headers else 0
        )
        return encode_response(200, headers, events(request_id, first))

    def remember(self, request: RawRequest, answer: RawAnswer) -> RawAnswer:
        self.last_responses[request.connection] = answer.data
        return answer


class BrokenSoakTest(PlainLoopTestCase):
    """Judge each answer by what the replicas have run and sent."""

    def setUp(self) -> None:
        self.rng = random.Random(SEED)
        self.runs: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.complete_streams = 0

    def replica(self) -> OddReplica:
        return OddReplica(random.Random(self.rng.random()), self.runs, self.errors)

    # review/4 and the reports of other operators, in any order.
    async def test_no_answer_breaks_a_promise_or_belongs_to_another_request(self) -> None:
        answers = [self.replica().answer for _ in range(3)]
        promised: list[str] = []
        async with raw_fleet(SAFE, *answers, more_routes=ROUTES[1:]) as fleet:

            async def send_all(client: int) -> None:
                number = 0
                while True:
                    number += 1
                    route = self.rng.choice(ROUTES)
                    name = f"{route.name}-{client}-{number}"
                    await self.send(fleet, route.name, name, promised)

            with anyio.move_on_after(SOAK_S):
                async with anyio.create_task_group() as clients:
                    for client in range(CLIENTS):
                        clients.start_soon(send_all, client)
        for name in promised:
            self.assertEqual(self.runs[name], 0, f"{name} was promised not to run")
        for name, count in self.runs.items():
            if name.startswith(("once", "stream")):
                self.assertEqual(count, 1, f"{name} ran more than once")
        self.assertGreater(self.statuses[200], 20)
        self.assertGreater(self.complete_streams, 5)

    async def send(self, fleet: RawFleet, route: str, name: str, promised: list[str]) -> None:
        received = await fleet.send(f"/{route}/1", name)
        self.statuses[received.status] += 1
        if received.status in PROMISES and route in ("once", "stream"):
            promised.append(name)
        if received.status != 200:
            return
        if route in ("safe", "once"):
            self.assertTrue(received.complete, name)
            self.assertEqual(received.body, whole_body(name))
            return
        expected = events(name, 0)
        self.assertTrue(expected.startswith(received.body), received.body)
        if received.complete:
            self.complete_streams += 1
            self.assertEqual(received.body, expected)

    async def test_texts_of_items_are_whole(self) -> None:
        engines = [RawUpstream(self.replica().answer) for _ in range(3)]
        async with running_batches(*engines, slots=3) as batches:
            with anyio.move_on_after(SOAK_S):
                await self.run_batches(batches)

    async def run_batches(self, batches: RunningBatches) -> None:
        number = 0
        while True:
            number += 1
            names = [f"item-{number}-{index}" for index in range(6)]
            runner = batches.start(f"b{number}", *(make_item(name, EVENTS) for name in names))
            while len(runner.log.results) < len(names):
                await anyio.sleep(0.02)
            for result in runner.log.results:
                if self.errors[result.id] >= ROUTE.max_attempts:
                    continue  # such an item may be given up
                expected = "\n".join(f"{result.id}-{index}" for index in range(EVENTS))
                self.assertEqual((result.state, result.text), ("completed", expected))
