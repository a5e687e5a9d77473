"""Test what clients get when a stream breaks off and the next replica does not go on with it."""

from acaciarill.fleet import Route, RouteKind
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, Then, encode_response
from tests.platform.raw_fleet import Answer, identify, make_route, raw_fleet

STREAM = {"Content-Type": "text/event-stream", "X-Acaciarill-Weight-Versions": "1"}
ERROR_TEXT = b"error text"
EVENT_COUNT = 6


def event(number: int) -> bytes:
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def events(first: int, end: int) -> bytes:
    return b"".join(event(number) for number in range(first, end))


def stream_head(request: RawRequest, framing: str, content_type: str = "") -> bytes:
    fields = identify(request) | STREAM
    if content_type:
        fields["Content-Type"] = content_type
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items()), framing]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def chunked(request: RawRequest, data: bytes, then: Then, content_type: str = "") -> RawAnswer:
    """Return a stream in one chunk, complete only if the connection is kept."""
    end = b"0\r\n\r\n" if then is Then.KEEP else b""
    head = stream_head(request, "Transfer-Encoding: chunked", content_type)
    return RawAnswer(head + chunk(data) + end, then)


def breaks_off(after: int, then: Then = Then.CLOSE, partial: bytes = b"") -> Answer:
    """Return an answer that breaks off after some events and the begin of another."""
    return lambda request: chunked(request, events(0, after) + partial, then)


def goes_on(request: RawRequest) -> RawAnswer:
    """Resume at the requested event and end the stream."""
    first = int(request.headers["last-event-id"]) + 1 if "last-event-id" in request.headers else 0
    return chunked(request, events(first, EVENT_COUNT), Then.KEEP)


def error(status: int, **headers: str) -> Answer:
    return lambda request: RawAnswer(
        encode_response(status, identify(request) | headers, ERROR_TEXT)
    )


def not_run(request: RawRequest) -> RawAnswer:
    headers = {"X-Acaciarill-Attempt-Id": identify(request)["X-Acaciarill-Attempt-Id"]}
    return RawAnswer(encode_response(503, headers | {"X-Acaciarill-Not-Run": "1"}, ERROR_TEXT))


NEXT_ANSWERS: dict[str, Answer] = {
    "500": error(500),
    "404": error(404),
    "204": lambda request: RawAnswer(encode_response(204, identify(request))),
    "502 without length": lambda request: RawAnswer(
        b"HTTP/1.1 502 Bad\r\nX-Acaciarill-Attempt-Id: x\r\n\r\n" + ERROR_TEXT, Then.CLOSE
    ),
    "503 not run": not_run,
    "200 with JSON": lambda request: RawAnswer(
        encode_response(200, identify(request) | {"Content-Type": "application/json"}, ERROR_TEXT)
    ),
    "200 with JSON in events": lambda request: chunked(
        request, ERROR_TEXT + b"\n\n", Then.KEEP, "application/json"
    ),
    "200 of another request": lambda request: RawAnswer(
        encode_response(200, STREAM | {"X-Acaciarill-Attempt-Id": "other"}, ERROR_TEXT)
    ),
    "half of a head": lambda request: RawAnswer(
        b"HTTP/1.1 500 Bad\r\nX-Error: " + ERROR_TEXT, Then.CLOSE
    ),
    "informational heads and half of a head": lambda request: RawAnswer(
        b"HTTP/1.1 103 Early\r\nX-Error: error text\r\n\r\nHTTP/1.1 500 B", Then.CLOSE
    ),
    "bytes that are no response": lambda request: RawAnswer(ERROR_TEXT * 10, Then.CLOSE),
    "nothing": lambda request: RawAnswer(b"", Then.CLOSE),
    "a stream from its begin": lambda request: chunked(request, events(0, EVENT_COUNT), Then.KEEP),
    "an event with an odd id": lambda request: chunked(
        request, b"id: \xb2\ndata: error text\n\n", Then.KEEP
    ),
}


class BrokenStreamTest(PlainLoopTestCase):
    """Break streams off and let the next replica answer in other ways."""

    def resumable(self, max_attempts: int) -> Route:
        return make_route("g", RouteKind.STREAM, max_attempts, resumable=True)

    async def check_cut(self, first: Answer, expected: bytes) -> None:
        """Check that the client gets the events before the break, and no end."""
        for name, answer in NEXT_ANSWERS.items():
            with self.subTest(name):
                async with raw_fleet(self.resumable(2), first, answer) as fleet:
                    received = await fleet.send("/g/1")
                self.assertEqual((received.status, received.body), (200, expected))
                self.assertFalse(received.complete)
                self.assertNotIn(b"error", received.data.lower())

    # Other operators' report: clients found the error's text, or its head, in the middle of their
    # stream, or the stream ended as if it were complete.
    async def test_error_of_the_next_replica_is_not_part_of_the_stream(self) -> None:
        await self.check_cut(breaks_off(3), events(0, 3))

    async def test_error_after_a_reset_in_the_middle_of_an_event_is_not_part_of_it(self) -> None:
        await self.check_cut(breaks_off(3, partial=b"id: 3\nda"), events(0, 3))

    async def test_stream_goes_on_at_the_replica_after_one_that_did_not_run_it(self) -> None:
        for name in ("503 not run", "500", "half of a head", "200 with JSON"):
            with self.subTest(name):
                answers = (breaks_off(3), NEXT_ANSWERS[name], goes_on)
                async with raw_fleet(self.resumable(3), *answers) as fleet:
                    received = await fleet.send("/g/1")
                self.assertEqual(received.body, events(0, EVENT_COUNT))
                self.assertTrue(received.complete)

    async def test_stream_is_sent_to_at_most_the_allowed_replicas(self) -> None:
        async with raw_fleet(self.resumable(2), breaks_off(3), not_run, goes_on) as fleet:
            received = await fleet.send("/g/1")
            self.assertEqual(fleet.request_count, 2)
        self.assertFalse(received.complete)

    # A stream without length that ended inside an event was passed on as complete.
    async def test_end_inside_an_event_is_no_end(self) -> None:
        def ends_early(request: RawRequest) -> RawAnswer:
            head = stream_head(request, "Connection: close")
            return RawAnswer(head + events(0, 3) + b"id: 3\nda", Then.CLOSE)

        for route, expected in (
            (self.resumable(2), events(0, EVENT_COUNT)),
            (make_route("g", RouteKind.STREAM, 2), events(0, 3)),
        ):
            async with raw_fleet(route, ends_early, goes_on) as fleet:
                received = await fleet.send("/g/1")
            self.assertEqual(received.body, expected)
            self.assertEqual(received.complete, route.resumable)

    async def test_broken_stream_does_not_look_complete_to_a_client_of_http_1_0(self) -> None:
        async with raw_fleet(make_route("g", RouteKind.STREAM, 1), breaks_off(3)) as fleet:
            received = await fleet.send("/g/1", version="1.0")
        self.assertFalse(received.complete)

    async def test_first_answer_is_passed_on_as_it_is(self) -> None:
        first_answers: dict[str, tuple[Answer, int, bytes]] = {
            "500": (error(500), 500, ERROR_TEXT),
            "200 with JSON": (NEXT_ANSWERS["200 with JSON"], 200, ERROR_TEXT),
            "a stream": (goes_on, 200, events(0, EVENT_COUNT)),
        }
        for name, (answer, status, body) in first_answers.items():
            with self.subTest(name):
                async with raw_fleet(self.resumable(2), answer, goes_on) as fleet:
                    received = await fleet.send("/g/1")
                self.assertEqual((received.status, received.body), (status, body))
                self.assertTrue(received.complete)
