"""Test what clients get when a replica stops in the middle of its response."""

from collections.abc import Callable

from acaciarill.fleet import RouteKind
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, Then
from tests.platform.raw_fleet import Answer, identify, make_route, raw_fleet, whole

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
Cut = Callable[[RawRequest], bytes]


def headed(request: RawRequest, *lines: str, body: bytes = b"") -> bytes:
    """Return a head with some lines of framing, and the begin of a body."""
    fields = [f"{name}: {value}" for name, value in identify(request).items()]
    return "\r\n".join(["HTTP/1.1 200 OK", *fields, *lines]).encode() + b"\r\n\r\n" + body


CUTS: dict[str, Cut] = {
    "nothing": lambda request: b"",
    "status line": lambda request: b"HTTP/1.1 200 OK",
    "status line and its end": lambda request: b"HTTP/1.1 200 OK\r\n",
    "header name": lambda request: b"HTTP/1.1 200 OK\r\nContent-Le",
    "all headers": lambda request: headed(request)[:-2],
    "length without body": lambda request: headed(request, "Content-Length: 10"),
    "half of the body": lambda request: headed(request, "Content-Length: 10", body=b"whole"),
    "chunked without a chunk": lambda request: headed(request, "Transfer-Encoding: chunked"),
    "chunk size": lambda request: headed(request, "Transfer-Encoding: chunked", body=b"a"),
    "half of a chunk": lambda request: headed(
        request, "Transfer-Encoding: chunked", body=b"a\r\nwhole"
    ),
    "chunk without the last": lambda request: headed(
        request, "Transfer-Encoding: chunked", body=b"5\r\nwhole\r\n"
    ),
    "last chunk without its end": lambda request: headed(
        request, "Transfer-Encoding: chunked", body=b"5\r\nwhole\r\n0\r\n"
    ),
}
RESET_CUTS: dict[str, Cut] = {
    "no length": lambda request: headed(request, "Connection: close", body=b"whole"),
    "no length, no body": lambda request: headed(request, "Connection: close"),
}


def cut_after(cut: Cut, then: Then, prefix: bytes = b"", kept_requests: int = 0) -> Answer:
    """Return an answer that stops after some bytes, after whole ones on the same connection."""

    def answer(request: RawRequest) -> RawAnswer:
        if request.number <= kept_requests:
            return RawAnswer(whole(request))
        return RawAnswer(prefix + cut(request), then)

    return answer


class BrokenResponseTest(PlainLoopTestCase):
    """Stop in every part of a plain response, and close or reset the connection."""

    def cuts(self) -> list[tuple[str, Cut, Then]]:
        closed = [
            (name, cut, then) for name, cut in CUTS.items() for then in (Then.CLOSE, Then.RESET)
        ]
        return closed + [(name, cut, Then.RESET) for name, cut in RESET_CUTS.items()]

    async def check(self, prefix: bytes = b"", kept_requests: int = 0) -> None:
        for kind in (RouteKind.IDEMPOTENT, RouteKind.ONCE):
            for name, cut, then in self.cuts():
                with self.subTest(kind=str(kind), cut=name, then=str(then)):
                    answer = cut_after(cut, then, prefix, kept_requests)
                    async with raw_fleet(make_route("p", kind, 1), answer) as fleet:
                        for number in range(kept_requests):
                            received = await fleet.send("/p/1", f"kept{number}")
                            self.assertEqual((received.status, received.body), (200, b"whole body"))
                        received = await fleet.send("/p/1")
                    self.assertIn(received.status, (502, 504))
                    self.assertNotIn(b"whole", received.data)
                    self.assertNotIn(b"200 OK", received.data)

    # Other operators' report: clients got a 200 with an empty or short body, framed as whole.
    async def test_response_that_stops_is_a_failure(self) -> None:
        await self.check()

    async def test_response_that_stops_after_informational_heads_is_a_failure(self) -> None:
        await self.check(prefix=INTERIM * 2)

    async def test_response_that_stops_on_a_kept_connection_is_a_failure(self) -> None:
        await self.check(kept_requests=2)

    async def test_request_that_may_repeat_gets_the_whole_response_of_the_next_replica(
        self,
    ) -> None:
        def sound(request: RawRequest) -> RawAnswer:
            return RawAnswer(whole(request))

        for kind, expected in ((RouteKind.IDEMPOTENT, 200), (RouteKind.ONCE, 504)):
            for name, cut, then in self.cuts():
                with self.subTest(kind=str(kind), cut=name, then=str(then)):
                    broken = cut_after(cut, then)
                    async with raw_fleet(make_route("p", kind, 2), broken, sound) as fleet:
                        received = await fleet.send("/p/1")
                        request_count = fleet.request_count
                    self.assertEqual(received.status, expected)
                    self.assertTrue(received.complete)
                    if expected == 200:
                        self.assertEqual(received.body, b"whole body")
                    else:
                        self.assertEqual(request_count, 1)
