"""Test upstreams that send bytes without end, beside the requests of other clients."""

import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio

from acaciarill.batches.const import STATE_COMPLETED
from acaciarill.edge import ResponseBuffers
from acaciarill.edge.const import MAX_RESPONSE_BYTES
from acaciarill.errors import UpstreamError
from acaciarill.fleet import RouteKind
from acaciarill.peers import messages
from acaciarill.relays._client import RelayedExchange
from tests.fakes.event_loop import PlainLoopTestCase
from tests.fakes.raw_upstream import RawAnswer, RawRequest, RawUpstream
from tests.platform.batches import make_item, running_batches, stream_events
from tests.platform.raw_fleet import Answer, identify, make_route, raw_fleet, whole
from tests.platform.relaying import start_relay

REQUESTS = 60
MEMORY_LIMIT_BYTES = 100 * 1024 * 1024
"""A third of the memory of a front machine."""
TIMEOUT_S = 20.0
MAX_FRAMES = 2000
BLOCK = b"x" * 0x10000
CHUNK = b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)


def endless(
    repeated: bytes, status: int | None = None, framing: str = "", body: bytes = b""
) -> Answer:
    """Return an answer that goes on without end, after a head if there is a status."""

    def answer(request: RawRequest) -> RawAnswer:
        if status is None:
            return RawAnswer(body, repeated=repeated)
        fields = identify(request) | {"X-Acaciarill-Weight-Versions": "1"}
        lines = [f"HTTP/1.1 {status} Odd", *(f"{name}: {text}" for name, text in fields.items())]
        lines += [framing] if framing else []
        head = "\r\n".join(lines).encode() + b"\r\n"
        return RawAnswer(head + body, repeated=repeated)

    return answer


CHUNKED = "Transfer-Encoding: chunked"
ANSWERS: dict[str, Answer] = {
    "bytes that are no head": endless(BLOCK),
    "empty lines": endless(b"\r\n" * 1000),
    "heads that are not final": endless(b"HTTP/1.1 102 Processing\r\n\r\n"),
    "header fields": endless(b"X-Field: text\r\n" * 100, 200),
    "one header field": endless(BLOCK, 200, body=b"X-Field: "),
    "chunks": endless(CHUNK, 200, CHUNKED, b"\r\n"),
    "chunks of an error": endless(CHUNK, 500, CHUNKED, b"\r\n"),
    "chunks of one byte": endless(b"1\r\nx\r\n" * 1000, 200, CHUNKED, b"\r\n"),
    "size of a chunk": endless(b"0" * 1000, 200, CHUNKED, b"\r\n"),
    "extension of a chunk": endless(BLOCK, 200, CHUNKED, b"\r\n1;"),
    "fields after the last chunk": endless(b"X-Field: text\r\n", 200, CHUNKED, b"\r\n0\r\n"),
    "body without a length": endless(BLOCK, 200, body=b"\r\n"),
    "body of a large length": endless(BLOCK, 200, f"Content-Length: {2**60}", b"\r\n"),
}


@contextmanager
def limited_memory(test: PlainLoopTestCase) -> Iterator[None]:
    """Fail if the block needs more than MEMORY_LIMIT_BYTES at any time."""
    tracemalloc.start()
    try:
        yield
        _, peak_bytes = tracemalloc.get_traced_memory()
        test.assertLess(peak_bytes, MEMORY_LIMIT_BYTES)
    finally:
        tracemalloc.stop()


class EndlessBytesTest(PlainLoopTestCase):
    """Guard against keeping what a faulty upstream sends until the memory is exhausted.

    Reported by other operators: the requests of all other clients ended with the process.
    """

    async def test_other_clients_are_served_meanwhile(self) -> None:
        for name, answer in ANSWERS.items():
            with self.subTest(name), limited_memory(self):
                bodies: list[bytes] = []
                route = make_route("p", RouteKind.IDEMPOTENT, 2)
                async with raw_fleet(
                    route, answer, lambda request: RawAnswer(whole(request))
                ) as fleet:

                    async def send(number: int, fleet: Any = fleet, into: Any = bodies) -> None:
                        into.append((await fleet.send("/p/1", f"x{number}")).body)

                    with anyio.fail_after(TIMEOUT_S):
                        async with anyio.create_task_group() as tasks:
                            for number in range(REQUESTS):
                                tasks.start_soon(send, number)
                self.assertEqual(bodies, [b"whole body"] * REQUESTS)

    async def test_client_of_a_request_that_may_not_repeat_gets_no_part_of_it(self) -> None:
        for name, answer in ANSWERS.items():
            with self.subTest(name), limited_memory(self):
                async with raw_fleet(make_route("p", RouteKind.ONCE, 2), answer) as fleet:
                    received = await fleet.send("/p/1")
                self.assertIn(received.status, (502, 504))
                self.assertNotIn(b"xxxx", received.data)

    async def test_items_run_elsewhere(self) -> None:
        sound = stream_events(3, lambda number: b"e%d" % number)
        for name, answer in ANSWERS.items():
            with self.subTest(name), limited_memory(self):
                async with running_batches(RawUpstream(answer), sound) as batches:
                    items = [make_item(f"i{number}") for number in range(8)]
                    runner = batches.start("b1", *items)
                    with anyio.move_on_after(TIMEOUT_S):
                        while len(runner.log.results) < len(items):
                            await anyio.sleep(0.02)
                states = {(result.state, result.text) for result in runner.log.results}
                self.assertEqual(states, {(STATE_COMPLETED, "e1\ne2\ne3")})

    async def test_relay_keeps_nothing_of_it_and_ends_with_the_daemon_that_asked(self) -> None:
        for name, answer in ANSWERS.items():
            upstream = RawUpstream(answer)
            sizes: list[int] = []

            async def send(sizes: list[int] = sizes, **frame: Any) -> None:
                if "forward_chunk" in frame:
                    sizes.append(len(frame["forward_chunk"].data))
                if sum(sizes) > MAX_RESPONSE_BYTES or len(sizes) > MAX_FRAMES:
                    raise anyio.BrokenResourceError  # the daemon that asked has closed

            with self.subTest(name), limited_memory(self):
                async with anyio.create_task_group() as tasks:
                    server, call = await start_relay(upstream, tasks)
                    with (
                        anyio.fail_after(TIMEOUT_S),
                        self.assertRaises((UpstreamError, anyio.BrokenResourceError)),
                    ):
                        await server.on_relay(call, send)
                    await anyio.sleep(0.05)
                    repeated_bytes = upstream.repeated_bytes
                    await anyio.sleep(0.1)
                    self.assertEqual(upstream.repeated_bytes, repeated_bytes)
                    tasks.cancel_scope.cancel()

    async def test_body_that_a_relay_passes_on_is_cut(self) -> None:
        class EndlessFrames:
            async def receive(self) -> messages.Frame:
                await anyio.lowlevel.checkpoint()
                return messages.Frame(call_id=1, forward_chunk=messages.ForwardChunk(data=BLOCK))

        buffers = ResponseBuffers()
        with limited_memory(self), anyio.fail_after(TIMEOUT_S):
            exchange = RelayedExchange("d1", EndlessFrames(), buffers)  # type: ignore[arg-type]
            with self.assertRaisesRegex(UpstreamError, str(MAX_RESPONSE_BYTES)):
                await exchange.read_body()
        self.assertEqual(buffers.total_bytes, 0)
