"""Test crowds on the paths beside those that the users reported, within the same limits."""

import base64
import signal
from collections.abc import Iterator
from itertools import repeat

import anyio
import orjson

from acaciarill.peers import messages
from acaciarill.peers._codec import encode
from acaciarill.peers.const import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.clients.cases import (
    CLIENT_LIMITS,
    LARGE_BODIES,
    LIMITS,
    MAX_BODY_BYTES,
    PIECE_BYTES,
    PIPELINES,
    CrowdTestCase,
    PeakUsage,
    body_with_length,
    requests_sent_ahead,
)
from tests.platform.clients.crowd import Crowd
from tests.platform.clients.deployment import (
    ANSWER_TIMEOUT_S,
    MB,
    Deployment,
    ProcessLimits,
    running_deployment,
)

LARGE_ANSWERS = 100
"""Together, they have one and a half times the memory of a process."""
ANSWER_BYTES = 2 * MB
ENDLESS_HEADS = 400
STRANGERS = 900
"""One and a half times the descriptors of a process."""
SLOW_BODIES = 12
SLOW_PIECES = 6
PIECE_PAUSE_S = 0.4
FRAMES = 16
LARGE_STEPS = 64
"""Together, they have the memory of a process."""
ITEM_BODY_BYTES = 50_000
CALLS_SENT_AHEAD = 20_000


def frame(**member: object) -> bytes:
    """Return a frame between daemons with one member."""
    data = encode(messages.Frame(call_id=1, **member))
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


def greeting() -> bytes:
    """Return the frame with which a connection between daemons begins."""
    return frame(
        greeting=messages.Greeting(
            protocol_version=PROTOCOL_VERSION,
            daemon="stranger",
            incarnation="stranger.1",
            data_centre="a",
        )
    )


def frame_that_stops_short() -> Iterator[bytes]:
    """Yield a greeting and most of a frame of the largest size."""
    yield greeting()
    yield MAX_FRAME_BYTES.to_bytes(LENGTH_PREFIX_BYTES, "big")
    yield b"x" * (MAX_FRAME_BYTES - 1)


def calls_sent_ahead() -> Iterator[bytes]:
    """Yield a greeting and many calls, of which none waits for its response."""
    yield greeting()
    call = frame(fetch_view=messages.FetchView(kind="config"))
    for _ in range(CALLS_SENT_AHEAD * len(call) // PIECE_BYTES + 1):
        yield call * (PIECE_BYTES // len(call))


def endless_head() -> Iterator[bytes]:
    """Yield a head just short of the largest size, without its end."""
    yield b"GET /p/1 HTTP/1.1\r\nHost: h.example\r\n"
    yield b"X-Field: " + b"x" * (CLIENT_LIMITS["max_header_bytes"] - 100)


def large_step() -> bytes:
    """Return the submission of a batch of over half of the largest size."""
    prompt = base64.b64encode(b"x" * ITEM_BODY_BYTES).decode()
    count = MAX_BODY_BYTES // (2 * ITEM_BODY_BYTES)
    items = [{"id": f"i{n}", "path": f"/b/x/{n}", "body": prompt} for n in range(count)]
    return orjson.dumps({"step": 0, "model": "m", "items": items})


class RelatedCrowdTest(CrowdTestCase):
    """Guard against the causes of the reported crowds on related paths."""

    async def test_heads_that_do_not_end(self) -> None:
        await self.check_beside([endless_head() for _ in range(ENDLESS_HEADS)])

    async def test_connections_beyond_the_descriptors(self) -> None:
        await self.check_beside([iter(()) for _ in range(STRANGERS)])

    async def test_connections_beyond_the_descriptors_at_the_ready_path(self) -> None:
        await self.check_beside([iter(()) for _ in range(STRANGERS)], "ready")

    async def test_large_answers_that_nobody_reads(self) -> None:
        request = b"GET /s/1 HTTP/1.1\r\nHost: h.example\r\n\r\n"

        def prepare(deployment: Deployment) -> None:
            deployment.web.answer_bytes, deployment.web.response_delay_s = ANSWER_BYTES, 0.0

        def restore(deployment: Deployment) -> None:
            deployment.web.answer_bytes = 0

        await self.check_beside(
            [iter((request,)) for _ in range(LARGE_ANSWERS)], prepare=prepare, restore=restore
        )

    async def test_large_bodies_at_the_metrics(self) -> None:
        await self.check_beside(
            [body_with_length(MAX_BODY_BYTES, MAX_BODY_BYTES - 1) for _ in range(LARGE_BODIES)],
            "metrics",
        )

    async def test_requests_sent_ahead_to_the_metrics(self) -> None:
        request = b"GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n"
        await self.check_beside([requests_sent_ahead(request) for _ in range(PIPELINES)], "metrics")

    async def test_frames_of_strangers_that_stop_short(self) -> None:
        await self.check_beside([frame_that_stops_short() for _ in range(FRAMES)], "peer")

    async def test_calls_of_strangers_whose_responses_are_not_read(self) -> None:
        await self.check_beside([calls_sent_ahead() for _ in range(PIPELINES)], "peer")


class StepCrowdTest(PlainLoopTestCase):
    """Guard against what is kept of batches after their submissions were read."""

    async def submit(
        self,
        bodies: list[bytes],
        limits: ProcessLimits,
        client_limits: dict[str, int],
        at_once: int,
    ) -> set[int]:
        """Submit batches whose items wait, check the process, and return the statuses."""
        statuses: set[int] = set()
        turns = anyio.Semaphore(at_once)

        async with running_deployment(limits, client_limits) as deployment:

            async def submit_one(body: bytes) -> None:
                async with turns:
                    statuses.add(await deployment.status("front", "/b/x", body))

            usage, daemon = PeakUsage(), deployment.front
            deployment.engine.deregister()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(usage.watch, daemon)
                async with anyio.create_task_group() as submissions:
                    for body in bodies:
                        submissions.start_soon(submit_one, body)
                ordinary_status = await deployment.status()
                tasks.cancel_scope.cancel()
            is_running = daemon.is_running()
        self.assertEqual((ordinary_status, is_running), (200, True))
        self.assertLess(usage.memory_bytes, limits.memory_mb * MB)
        return statuses

    async def test_large_steps_one_after_the_other(self) -> None:
        statuses = await self.submit([large_step()] * LARGE_STEPS, LIMITS, CLIENT_LIMITS, 1)
        self.assertLessEqual(statuses, {202, 503})

    async def test_large_steps_at_once(self) -> None:
        statuses = await self.submit([large_step()] * LARGE_STEPS, LIMITS, CLIENT_LIMITS, 16)
        self.assertLessEqual(statuses, {202, 503})

    async def test_steps_of_many_small_values(self) -> None:
        for name, value in (("lists", b"[],"), ("maps", b"{},"), ("numbers", b"1.5,")):
            with self.subTest(name):
                many = value * ((MAX_BODY_BYTES - 100) // len(value))
                body = b'{"step":0,"model":"m","items":[' + many + b"0]}"
                statuses = await self.submit([body] * 4, LIMITS, CLIENT_LIMITS, 4)
                self.assertLessEqual(statuses, {400, 413})

    async def test_step_of_the_largest_legal_size_is_accepted(self) -> None:
        limits = ProcessLimits(memory_mb=160)
        client_limits = CLIENT_LIMITS | {"max_body_bytes": 32 * MB}
        prompt = base64.b64encode(b"x" * 60_000).decode()
        items = [{"id": f"i{n}", "path": f"/b/{n}", "body": prompt} for n in range(410)]
        body = orjson.dumps({"step": 0, "model": "m", "items": items})
        self.assertGreater(len(body), 31 * MB)
        self.assertEqual(await self.submit([body], limits, client_limits, 1), {202})


class YieldTest(CrowdTestCase):
    """Check who gives way: what holds most for longest, not who comes last."""

    async def test_large_body_after_bodies_that_have_stalled(self) -> None:
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            with Crowd(deployment.front.address("front")) as crowd:
                await crowd.send_all(
                    [body_with_length(MAX_BODY_BYTES, PIECE_BYTES) for _ in range(LARGE_BODIES)]
                )
                await anyio.sleep(1.5)  # they have stalled by then
                response = await deployment.call("front", "POST", "/p/1", b"x" * MAX_BODY_BYTES)
        self.assertEqual(response.head.status, 200)

    async def test_large_body_after_bodies_of_which_a_byte_comes_now_and_then(self) -> None:
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            with Crowd(deployment.front.address("front")) as crowd:
                async with anyio.create_task_group() as tasks:
                    pieces = [
                        body_with_length(MAX_BODY_BYTES, PIECE_BYTES) for _ in range(SLOW_BODIES)
                    ]
                    await crowd.send_all(pieces)
                    for connection in crowd.sockets:
                        tasks.start_soon(
                            crowd.send_slowly, connection, repeat(b"x", SLOW_PIECES), PIECE_PAUSE_S
                        )
                    await anyio.sleep(SLOW_PIECES * PIECE_PAUSE_S / 2)
                    response = await deployment.call("front", "POST", "/p/1", b"x" * MAX_BODY_BYTES)
                    tasks.cancel_scope.cancel()
        self.assertEqual(response.head.status, 200)


class StopTest(PlainLoopTestCase):
    """Guard against a crowd that holds up a planned stop."""

    async def test_process_stops_by_itself_beside_a_crowd(self) -> None:
        request = b"GET /s/1 HTTP/1.1\r\nHost: h.example\r\n\r\n"
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            daemon = deployment.front
            with Crowd(daemon.address("front")) as crowd:
                await crowd.send_all(
                    [body_with_length(MAX_BODY_BYTES, PIECE_BYTES) for _ in range(LARGE_BODIES)]
                    + [requests_sent_ahead(request) for _ in range(PIPELINES)]
                    + [endless_head() for _ in range(LARGE_BODIES)]
                )
                assert daemon.process is not None
                daemon.process.send_signal(signal.SIGTERM)
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    while daemon.is_running():
                        await anyio.sleep(0.05)
            exit_code = daemon.process.returncode
        self.assertEqual(exit_code, 0)
