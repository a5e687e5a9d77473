"""Test streams over real connections: passed on as made, resumed only where that is allowed."""

import random
import unittest
from dataclasses import replace

import anyio

from acaciarill.edge import Head, HttpPool, Request, Responder
from acaciarill.errors import AcaciarillError
from acaciarill.fleet import (
    Attempt,
    AttemptSender,
    ForwardedRequest,
    Forwarder,
    ResponseMetadata,
    Route,
    RouteKind,
    StreamForwarder,
    Upstream,
    UpstreamCodec,
    UpstreamTable,
)
from tests.fakes.upstream import Answer, FakeUpstream, status

RESUMABLE = Route("r", "h", "/r/", RouteKind.STREAM, (("s", 1.0),), 2.0, 0.05, 3, 0, resumable=True)


def decode(head: Head) -> ResponseMetadata:
    return ResponseMetadata(
        request_id=head.get(b"x-request-id") or "", not_run=head.get(b"x-not-run") is not None
    )


def encode(headers: list[tuple[bytes, bytes]], attempt: Attempt) -> list[tuple[bytes, bytes]]:
    after = "" if attempt.resume_after is None else str(attempt.resume_after)
    return [*headers, (b"X-After", after.encode())]


def events(upto: int, breaks: bool = False) -> Answer:
    """Return a stream of numbered events from where it was asked, broken within the last one."""

    async def answer(request: Request, responder: Responder) -> None:
        after = request.fields.get(b"x-after", b"")
        first = int(after) + 1 if after else 0
        await responder.start(200, [(b"X-Request-Id", request.fields[b"x-request-id"])])
        for number in range(first, upto):
            await responder.send(b"id: %d\ndata: e%d\n\n" % (number, number))
        if breaks:
            await responder.send(b"id: %d\nda" % upto)
            return
        await responder.finish()

    return answer


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Break streams off and see what the caller gets."""

    async def stream(self, route: Route, *answers: Answer) -> tuple[bytes, str, int]:
        """Return the bytes passed on, the error's code if any, and the heads started."""
        upstreams = [FakeUpstream(answer) for answer in answers]
        received: list[bytes] = []
        heads: list[Head] = []

        async def start(head: Head) -> None:
            heads.append(head)

        async def send(data: bytes) -> None:
            received.append(data)

        code = ""
        async with anyio.create_task_group() as tasks:
            for upstream in upstreams:
                await upstream.start(tasks)
            table = UpstreamTable("dc", anyio.current_time, random.Random(1))
            table.update(
                [Upstream(f"u{i}", "l", "s", u.address, "dc", 8) for i, u in enumerate(upstreams)]
            )
            for i, name in enumerate(sorted(table.states)):
                table.states[name].in_flight = i
            forwarder = Forwarder(
                AttemptSender(
                    HttpPool(anyio.current_time), UpstreamCodec(encode, decode), anyio.current_time
                ),
                table,
                anyio.current_time,
                random.Random(1),
            )
            streams = StreamForwarder(forwarder, lambda block: int(block.split(b"\n")[0][4:]))
            until = anyio.current_time() + 2.0
            call = ForwardedRequest(
                "x", "POST", "/r/1", [(b"X-Request-Id", b"x")], b"", route, "s", "", until
            )
            try:
                await streams.forward(call, start, send)
            except AcaciarillError as error:
                code = str(error.outcome)
            tasks.cancel_scope.cancel()
        return b"".join(received), code, len(heads)

    async def test_broken_stream_is_resumed_after_its_last_whole_event(self) -> None:
        got, code, heads = await self.stream(RESUMABLE, events(2, breaks=True), events(4))
        self.assertEqual(got, b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(4)))
        self.assertEqual((code, heads), ("", 1))

    async def test_broken_stream_that_may_not_run_twice_ends_visibly(self) -> None:
        once = replace(RESUMABLE, resumable=False)
        got, code, _ = await self.stream(once, events(2, breaks=True), events(4))
        self.assertEqual(got.count(b"data"), 2)
        self.assertEqual(code, "unknown")

    async def test_refused_stream_goes_to_another_upstream(self) -> None:
        full = status(503, (b"X-Not-Run", b"1"))
        got, code, _ = await self.stream(replace(RESUMABLE, resumable=False), full, events(1))
        self.assertEqual((got, code), (b"id: 0\ndata: e0\n\n", ""))
