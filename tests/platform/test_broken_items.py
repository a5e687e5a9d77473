"""Test what the text of an item is when an engine stops in the middle of its response."""

import anyio

from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, RawUpstream, Then, encode_response
from tests.platform.batches import make_item, running_batches, stream_events
from tests.platform.raw_fleet import Answer, identify

TIMEOUT_S = 10.0
EVENTS = 6
WHOLE_TEXT = "\n".join(f"e{number}" for number in range(1, EVENTS + 1))
TYPES = {"Content-Type": "text/event-stream", "X-Acaciarill-Weight-Versions": "1"}


def events(first: int, end: int) -> bytes:
    return b"".join(b"id: %d\ndata: e%d\n\n" % (number, number) for number in range(first, end))


def stream(body: bytes, then: Then, framing: str = "Connection: close", **fields: str) -> Answer:
    """Return an answer with a stream of other framing than a length."""

    def answer(request: RawRequest) -> RawAnswer:
        lines = [f"{name}: {value}" for name, value in (identify(request) | TYPES | fields).items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, framing]).encode() + b"\r\n\r\n"
        return RawAnswer(head + body, then)

    return answer


ANSWERS: dict[str, Answer] = {
    "half of a head": lambda request: RawAnswer(b"HTTP/1.1 200 OK\r\nContent-", Then.CLOSE),
    "head without a body": stream(b"", Then.CLOSE, "Content-Length: 100"),
    "head without a body or length": stream(b"", Then.CLOSE),
    "reset after some events": stream(events(1, 4), Then.RESET),
    "reset inside an event": stream(events(1, 4) + b"id: 4\nda", Then.RESET),
    "end inside an event": stream(events(1, 4) + b"id: 4\nda", Then.CLOSE),
    "end inside a chunk": stream(
        b"40\r\n" + events(1, 4), Then.CLOSE, "Transfer-Encoding: chunked"
    ),
    "end before the last chunk": stream(
        b"%x\r\n%s\r\n" % (len(events(1, 4)), events(1, 4)),
        Then.CLOSE,
        "Transfer-Encoding: chunked",
    ),
    "informational head and half of a head": lambda request: RawAnswer(
        b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 O", Then.CLOSE
    ),
    "JSON": lambda request: RawAnswer(
        encode_response(200, identify(request) | {"Content-Type": "application/json"}, b"{}")
    ),
    "JSON in events": lambda request: RawAnswer(
        encode_response(200, identify(request) | {"Content-Type": "application/json"}, b"{}\n\n")
    ),
    "empty body": lambda request: RawAnswer(encode_response(200, identify(request) | TYPES)),
}


class BrokenItemTest(PlainLoopTestCase):
    """Run an item at an engine that breaks its response off, beside a sound one."""

    # Other operators' report, for engines' streams: an empty or short body passed for a whole one.
    async def test_text_is_whole_whatever_the_first_engine_did(self) -> None:
        for name, answer in ANSWERS.items():
            with self.subTest(name), anyio.fail_after(TIMEOUT_S):
                sound = stream_events(EVENTS, lambda number: b"e%d" % number)
                engine = RawUpstream(answer)
                async with running_batches(engine, sound) as batches:
                    runner = batches.start("b1", make_item("a"))
                    while not runner.log.results:
                        await anyio.sleep(0.01)
                    self.assertTrue(engine.requests)
                    self.assertEqual(batches.texts_by_item(runner), {"a": WHOLE_TEXT})
