"""Test responses without a length whose connection this daemon gives up in their middle."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from acaciarill.errors import UpstreamError
from acaciarill.fleet import RouteKind, Upstream
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, RawUpstream, Then
from tests.platform.batches import running_batches
from tests.platform.raw_fleet import identify, make_route, raw_fleet, whole

ABORT_AFTER_S = 0.1
EVENT_COUNT = 6
TIMEOUT_S = 5.0


class AbortedLinks:
    """Give the first exchange up a moment after it has brought its first bytes."""

    is_cut_off = False

    def __init__(self) -> None:
        self.abort: Callable[[], None] | None = None
        self.aborts = 0

    async def wait_until_checked(self) -> bool:
        return False

    async def check_after_failure(self, suspect: Upstream) -> bool:
        return False

    @contextmanager
    def track_exchange(self) -> Iterator["AbortedLinks"]:
        yield self

    def attach(
        self, has_unacknowledged_bytes: Callable[[], bool], abort: Callable[[], None] | None
    ) -> None:
        self.abort = abort

    def record_received(self) -> None:
        if not self.aborts and self.abort is not None:
            self.aborts += 1
            anyio.lowlevel.current_token().native_token.call_later(ABORT_AFTER_S, self.abort)


def unframed(request: RawRequest, body: bytes, **headers: str) -> RawAnswer:
    """Return the begin of a response that would end with its connection."""
    fields = identify(request) | {"X-Acaciarill-Weight-Versions": "1"} | headers
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
    return RawAnswer("\r\n".join(lines).encode() + b"\r\n\r\n" + body, Then.HOLD)


def events(first: int, end: int) -> bytes:
    return b"".join(b"id: %d\ndata: e%d\n\n" % (number, number) for number in range(first, end))


def break_off(request: RawRequest) -> RawAnswer:
    return unframed(request, events(1, 3), **{"Content-Type": "text/event-stream"})


def go_on(request: RawRequest) -> RawAnswer:
    first = int(request.headers.get("last-event-id", "0")) + 1
    answer = unframed(request, events(first, EVENT_COUNT), **{"Content-Type": "text/event-stream"})
    return RawAnswer(answer.data, Then.CLOSE)


class AbortedResponseTest(PlainLoopTestCase):
    """Guard against taking an end that this daemon made for the end of the upstream's response."""

    async def test_part_of_a_response_is_not_taken_for_the_whole(self) -> None:
        links = AbortedLinks()
        route = make_route("safe", RouteKind.IDEMPOTENT, 2)
        async with raw_fleet(
            route,
            lambda request: unframed(request, b"part"),
            lambda request: RawAnswer(whole(request)),
            links=links,
        ) as fleet:
            answer = await fleet.send("/safe/1")
        self.assertEqual((answer.status, answer.body, answer.complete), (200, b"whole body", True))
        self.assertEqual(links.aborts, 1)

    # review/7: a stream whose links were lost ended as complete after a part of its events.
    async def test_stream_goes_on_elsewhere(self) -> None:
        links = AbortedLinks()
        route = make_route("stream", RouteKind.STREAM, 2, resumable=True)
        async with raw_fleet(route, break_off, go_on, links=links) as fleet:
            answer = await fleet.send("/stream/1")
        self.assertEqual((answer.body, answer.complete), (events(1, EVENT_COUNT), True))
        self.assertEqual(links.aborts, 1)

    async def test_stream_that_nobody_goes_on_with_does_not_look_complete(self) -> None:
        route = make_route("stream", RouteKind.STREAM, 1, resumable=True)
        async with raw_fleet(route, break_off, links=AbortedLinks()) as fleet:
            answer = await fleet.send("/stream/1")
        self.assertFalse(answer.complete and answer.status == 200, answer)

    async def test_answer_to_a_call_of_this_daemon_is_incomplete(self) -> None:
        upstream = RawUpstream(lambda request: unframed(request, b"[]"))
        async with running_batches(upstream) as batches:
            pool = batches.ports.sender.pool
            with anyio.fail_after(TIMEOUT_S), self.assertRaisesRegex(UpstreamError, "given up"):
                async with pool.exchange(upstream.address, "GET", "/", []) as exchange:
                    await exchange.read_head()
                    exchange.abort()
                    await exchange.read_body()
