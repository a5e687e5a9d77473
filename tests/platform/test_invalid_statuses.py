"""Test what becomes of responses whose status is none that HTTP defines."""

from dataclasses import replace

import anyio

from acaciarill.batches import ScoreRequest
from acaciarill.batches.const import STATE_COMPLETED
from acaciarill.edge import EdgeLimits, HttpPool, ResponseBuffers
from acaciarill.errors import Outcome, Step, UpstreamError
from acaciarill.fleet import Configuration, RouteKind, Upstream, UpstreamState
from acaciarill.fleet._model import group_routes_by_host
from acaciarill.peers import messages
from acaciarill.platform._duties import DutyClient
from acaciarill.relays._client import RelayedExchange
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, RawUpstream, Then, encode_response
from tests.platform.batches import ROUTE, make_item, running_batches, stream_events
from tests.platform.raw_fleet import Answer, identify, make_route, raw_fleet, whole

INVALID = ("000", "001", "099", "600", "700", "999", "20", "2000", "+20", "2x0")
UNFINISHED = ("100", "101", "150", "199")
"""Statuses that are followed by another head, which never comes here."""
EVENTS = b"id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n"
VALID = (200, 404, 599)
TIMEOUT_S = 10.0


def with_status(status: str) -> Answer:
    """Return an answer that is sound but for its status, and then closes its connection."""

    def answer(request: RawRequest) -> RawAnswer:
        fields = identify(request) | {"X-Acaciarill-Weight-Versions": "1", "Content-Length": "4"}
        lines = [f"HTTP/1.1 {status} Odd", *(f"{name}: {text}" for name, text in fields.items())]
        return RawAnswer("\r\n".join(lines).encode() + b"\r\n\r\nspam", Then.CLOSE)

    return answer


class FrameStub:
    """Bring one frame of a relaying daemon."""

    def __init__(self, frame: messages.Frame) -> None:
        self.frame = frame

    async def receive(self) -> messages.Frame:
        return self.frame


class InvalidStatusTest(PlainLoopTestCase):
    """Guard against passing on what is no answer (reports of other operators: a status of 000)."""

    async def test_request_that_may_not_repeat_ends_as_unknown(self) -> None:
        for status in (*INVALID, *UNFINISHED):
            with self.subTest(status):
                route = make_route("p", RouteKind.ONCE, 2)
                async with raw_fleet(route, with_status(status), with_status(status)) as fleet:
                    answer = await fleet.send("/p/1")
                    self.assertEqual(fleet.request_count, 1)
                self.assertIn(answer.status, (502, 504))
                self.assertNotIn(b"spam", answer.data)
                self.assertNotIn(b"stamp", answer.data)

    async def test_request_that_may_repeat_gets_the_answer_of_the_next_upstream(self) -> None:
        for status in (*INVALID, *UNFINISHED):
            with self.subTest(status):
                route = make_route("p", RouteKind.IDEMPOTENT, 2)
                async with raw_fleet(
                    route, with_status(status), lambda request: RawAnswer(whole(request))
                ) as fleet:
                    answer = await fleet.send("/p/1")
                self.assertEqual((answer.status, answer.body), (200, b"whole body"))

    async def test_stream_begins_at_the_next_upstream(self) -> None:
        def send_events(request: RawRequest) -> RawAnswer:
            fields = identify(request) | {"Content-Type": "text/event-stream"}
            return RawAnswer(encode_response(200, fields, EVENTS))

        for status in (*INVALID, *UNFINISHED):
            with self.subTest(status):
                route = make_route("p", RouteKind.STREAM, 2, resumable=True)
                async with raw_fleet(route, with_status(status), send_events) as fleet:
                    answer = await fleet.send("/p/1")
                self.assertEqual((answer.status, answer.body), (200, EVENTS))

    async def test_statuses_that_are_defined_are_passed_on(self) -> None:
        for status in VALID:
            with self.subTest(status):
                route = make_route("p", RouteKind.ONCE, 1)
                async with raw_fleet(route, with_status(str(status))) as fleet:
                    answer = await fleet.send("/p/1")
                self.assertEqual((answer.status, answer.body), (status, b"spam"))

    async def test_head_that_a_relay_passes_on_is_checked(self) -> None:
        for status in (0, 1, 99, 100, 101, 199, 600, 999, -200, 2000):
            with self.subTest(status):
                head = messages.ForwardHead(status=status, headers=[])
                frames = FrameStub(messages.Frame(call_id=1, forward_head=head))
                exchange = RelayedExchange("d2", frames, ResponseBuffers())
                with self.assertRaises(UpstreamError) as caught:
                    await exchange.read_head()
                # An error of the upstream, which may have run the request, not of the relay.
                self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)
                self.assertIs(caught.exception.step, Step.RECEIVE)

    async def test_items_and_their_scores_are_not_failed_by_them(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        score_route = replace(
            make_route("s", RouteKind.IDEMPOTENT, 1), host="h", service_weights=(("scorer", 1.0),)
        )
        for status in INVALID:
            answers = [with_status(status)]

            def score(request: RawRequest, answers: list[Answer] = answers) -> RawAnswer:
                return answers.pop()(request) if answers else RawAnswer(whole(request))

            engines = [RawUpstream(with_status(status)), sound, RawUpstream(score)]
            with self.subTest(status):
                async with running_batches(*engines, services=("llm", "llm", "scorer")) as batches:
                    batches.configuration = Configuration(
                        1, group_routes_by_host([ROUTE, score_route]), {}, EdgeLimits(), None
                    )
                    request = ScoreRequest("score-1", "h", "/s/1", b"x")
                    runner = batches.start("b1", replace(make_item("i1"), score=request))
                    with anyio.move_on_after(TIMEOUT_S):
                        while not runner.log.results:
                            await anyio.sleep(0.02)
                result = runner.log.results[0]
                self.assertEqual((result.state, result.score), (STATE_COMPLETED, "stamp"))
                self.assertEqual(result.text, "e1\ne2\ne3")

    async def test_calls_of_duties_raise_an_error(self) -> None:
        for status in (*INVALID, *UNFINISHED):
            upstream = RawUpstream(with_status(status))
            client = DutyClient(
                "d", "127.0.0.1:1", HttpPool(anyio.current_time), lambda epoch: True
            )
            state = UpstreamState(Upstream("e", "e", "llm", upstream.address, "dc", 4))
            async with anyio.create_task_group() as tasks:
                await upstream.start(tasks)
                with self.subTest(status), self.assertRaises(UpstreamError):
                    await client.read_loaded_version(state, "m")
                tasks.cancel_scope.cancel()
