"""Test forwarding and resuming of event streams over real connections."""

import random
import unittest
from dataclasses import replace

import anyio

from acaciarill.edge import HttpPool, Request, Responder, ResponseHead
from acaciarill.errors import AcaciarillError, RefusedError
from acaciarill.fleet import (
    Attempt,
    AttemptSender,
    ForwardedRequest,
    Forwarder,
    Members,
    ResponseMetadata,
    Route,
    RouteKind,
    StreamForwarder,
    StreamRecord,
    StreamVersions,
    Upstream,
    UpstreamCodec,
    UpstreamTable,
)
from tests.fakes.upstream import FakeUpstream, ResponseScript, respond_with

RESUMABLE = Route("r", "h", "/r/", RouteKind.STREAM, (("s", 1.0),), 2.0, 0.05, 3, 0, resumable=True)


def decode(head: ResponseHead) -> ResponseMetadata:
    return ResponseMetadata(
        request_id=head.get(b"x-request-id") or "", not_run=head.get(b"x-not-run") is not None
    )


def encode(headers: list[tuple[bytes, bytes]], attempt: Attempt) -> list[tuple[bytes, bytes]]:
    after = "" if attempt.resume_after is None else str(attempt.resume_after)
    return [*headers, (b"X-After", after.encode())]


def events(end: int, breaks: bool = False) -> ResponseScript:
    """Stream the events after the requested one up to `end`, which is omitted or cut off."""

    async def script(request: Request, responder: Responder) -> None:
        after = request.headers_by_name.get(b"x-after", b"")
        first = int(after) + 1 if after else 0
        await responder.start(200, [(b"X-Request-Id", request.headers_by_name[b"x-request-id"])])
        for number in range(first, end):
            await responder.send(b"id: %d\ndata: e%d\n\n" % (number, number))
        if breaks:
            await responder.send(b"id: %d\nda" % end)
            return
        await responder.finish()

    return script


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Break streams off and check the bytes that the client receives."""

    async def stream(self, route: Route, *scripts: ResponseScript) -> tuple[bytes, str, int]:
        """Return the forwarded bytes, the error's outcome if any, and the number of heads."""
        upstreams = [FakeUpstream(script) for script in scripts]
        received: list[bytes] = []
        heads: list[ResponseHead] = []

        async def start(head: ResponseHead) -> None:
            heads.append(head)

        async def send(data: bytes) -> None:
            received.append(data)

        outcome = ""
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
            streams = StreamForwarder(forwarder, lambda event: int(event.split(b"\n")[0][4:]))
            deadline = anyio.current_time() + 2.0
            request = ForwardedRequest(
                "x", "POST", "/r/1", [(b"X-Request-Id", b"x")], b"", route, "s", "", deadline
            )
            try:
                await streams.forward(request, start, send)
            except AcaciarillError as error:
                outcome = str(error.outcome)
            tasks.cancel_scope.cancel()
        return b"".join(received), outcome, len(heads)

    async def test_broken_stream_resumes_after_last_complete_event(self) -> None:
        received, outcome, heads = await self.stream(RESUMABLE, events(2, breaks=True), events(4))
        self.assertEqual(received, b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(4)))
        self.assertEqual((outcome, heads), ("", 1))

    async def test_broken_stream_fails_if_not_resumable(self) -> None:
        once = replace(RESUMABLE, resumable=False)
        received, outcome, _ = await self.stream(once, events(2, breaks=True), events(4))
        self.assertEqual(received.count(b"data"), 2)
        self.assertEqual(outcome, "unknown")

    async def test_refused_stream_is_retried_at_another_upstream(self) -> None:
        full = respond_with(503, (b"X-Not-Run", b"1"))
        received, outcome, _ = await self.stream(
            replace(RESUMABLE, resumable=False), full, events(1)
        )
        self.assertEqual((received, outcome), (b"id: 0\ndata: e0\n\n", ""))


class StreamOfCustomerTest(unittest.IsolatedAsyncioTestCase):
    """Take up streams of two customers whose requests have the same id."""

    # review/5 on a related path: streams were known by the id of their request alone.
    async def test_stream_of_another_customer_with_the_same_id_is_not_taken_for_this_one(
        self,
    ) -> None:
        clock = anyio.current_time
        members = Members("f1", "f1", "dc", "front", clock)

        async def tell(holder: str, records: list[StreamRecord]) -> None:
            return

        async def ask(holder: str, key: str) -> None:
            return None

        versions = StreamVersions(members, tell, ask, clock, lambda *task: None)
        table = UpstreamTable("dc", clock, random.Random(1))
        upstream = Upstream("u", "u", "s", "127.0.0.1:1", "dc", 8, software_version="v1")
        table.update([upstream])
        sender = AttemptSender(HttpPool(clock), UpstreamCodec(encode, decode), clock)
        forwarder = Forwarder(sender, table, clock, random.Random(1))

        async def confirm_nothing(period_s: float) -> bool:
            return False

        streams = StreamForwarder(forwarder, lambda event: 0, versions, confirm_nothing)

        def request(customer: str, **fields: object) -> ForwardedRequest:
            deadline = clock() + 1.0
            return ForwardedRequest(
                "x", "GET", "/r/1", [], b"", RESUMABLE, "s", customer, deadline, **fields
            )

        streams._record_begun(request("c"), table.states["u"])
        taken_up = request("c", is_resumption=True, resumed_id="x")
        self.assertEqual(await streams._find_version(taken_up), "v1")
        with self.assertRaises(RefusedError):
            await streams._find_version(request("rival", is_resumption=True, resumed_id="x"))
