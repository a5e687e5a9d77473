"""Test retries and the outcome that the client gets, over real connections."""

import random
import unittest
from collections.abc import Callable
from dataclasses import replace

import anyio

from acaciarill.edge import HttpPool, HttpResponse, ResponseHead
from acaciarill.edge.const import MAX_INLINE_REQUEST_BYTES
from acaciarill.errors import AcaciarillError, Outcome, Step, UpstreamError
from acaciarill.fleet import (
    Attempt,
    AttemptSender,
    ForwardedRequest,
    Forwarder,
    ResponseMetadata,
    Route,
    RouteKind,
    Upstream,
    UpstreamCodec,
    UpstreamState,
    UpstreamTable,
)
from acaciarill.fleet.const import LIMIT_PATIENCE_FACTOR
from tests.fakes.upstream import (
    FakeUpstream,
    ResponseScript,
    close_without_response,
    never_respond,
    respond_with,
    respond_with_wrong_id,
)

IDEMPOTENT_ROUTE = Route("r", "h", "/r/", RouteKind.IDEMPOTENT, (("s", 1.0),), 2.0, 0.05, 3, 0)
ONCE = replace(IDEMPOTENT_ROUTE, kind=RouteKind.ONCE)


def decode(head: ResponseHead) -> ResponseMetadata:
    return ResponseMetadata(
        request_id=head.get(b"x-request-id") or "", not_run=head.get(b"x-not-run") is not None
    )


def encode(headers: list[tuple[bytes, bytes]], attempt: Attempt) -> list[tuple[bytes, bytes]]:
    return [*headers, (b"X-Instance", attempt.upstream.id.encode())]


FULL = respond_with(503, (b"X-Not-Run", b"1"))
OK = respond_with(200)


class UnconnectedPool(HttpPool):
    """Wait for connections that are never established."""

    async def _connect(self, address: str):  # type: ignore[no-untyped-def]
        await anyio.sleep_forever()


class DelayedPool(HttpPool):
    """Call a function while each connection is being opened."""

    def __init__(self, on_connect: Callable[[str], None]) -> None:
        super().__init__(anyio.current_time)
        self.on_connect = on_connect

    async def _connect(self, address: str):  # type: ignore[no-untyped-def]
        connection = await super()._connect(address)
        self.on_connect(address)
        return connection


class ForwardTest(unittest.IsolatedAsyncioTestCase):
    """Forward a request to upstreams that fail in different ways."""

    def setUp(self) -> None:
        self.waits_s: dict[str, float] = {}
        self.permit_calls: list[tuple[str, float]] = []
        self.permit_delay_s = 0.0

    async def acquire_permit(self, state: UpstreamState, max_wait_s: float) -> None:
        """Permit requests to an upstream after its time in `waits_s`, if it has one."""
        wait_s = self.waits_s.get(state.upstream.id)
        if wait_s is None:
            return
        self.permit_calls.append((state.upstream.id, max_wait_s))
        await anyio.sleep(self.permit_delay_s)
        if wait_s > max_wait_s:
            state.limited_until = anyio.current_time() + wait_s
            raise UpstreamError(
                "limited", step=Step.ADMIT, outcome=Outcome.NOT_RUN, retry_after_s=wait_s
            )

    async def forward(
        self,
        route: Route,
        *scripts: ResponseScript,
        pool: HttpPool | None = None,
        body: bytes = b"x",
        background: bool = False,
    ) -> tuple[HttpResponse | AcaciarillError, ForwardedRequest, int]:
        """Return the outcome, the request, and how many attempts reached upstreams."""
        upstreams = [FakeUpstream(script) for script in scripts]
        runs: list[str] = []
        async with anyio.create_task_group() as tasks:
            for upstream in upstreams:
                await upstream.start(tasks)
            table = UpstreamTable("dc", anyio.current_time, random.Random(1))
            table.update(
                [
                    Upstream(f"u{i}", f"u{i}", "s", upstream.address, "dc", 8 - i)
                    for i, upstream in enumerate(upstreams)
                ]
            )
            for i, name in enumerate(sorted(table.states)):
                table.states[name].in_flight = i  # makes the order of choice deterministic
            self.table = table
            forwarder = Forwarder(
                AttemptSender(
                    pool or HttpPool(anyio.current_time),
                    UpstreamCodec(encode, decode),
                    anyio.current_time,
                    acquire_permit=self.acquire_permit,
                ),
                table,
                anyio.current_time,
                random.Random(1),
                lambda customer, at: runs.append(customer),
            )
            request = ForwardedRequest(
                "id-1",
                "POST",
                "/r/1",
                [(b"X-Request-Id", b"id-1")],
                body,
                route,
                "s",
                "customer",
                anyio.current_time() + 2.0,
                background=background,
            )
            outcome: HttpResponse | AcaciarillError
            try:
                outcome = await forwarder.forward(request)
            except AcaciarillError as error:
                outcome = error
            tasks.cancel_scope.cancel()
        self.runs = runs
        return outcome, request, sum(len(upstream.requests) for upstream in upstreams)

    async def test_full_upstream_is_skipped_for_every_route_kind(self) -> None:
        for route in (IDEMPOTENT_ROUTE, ONCE):
            outcome, request, _ = await self.forward(route, FULL, OK)
            self.assertEqual(outcome.head.status, 200)
            self.assertEqual(request.attempted_upstreams, ["u0", "u1"])
            self.assertEqual(self.runs, ["customer"])

    async def test_lost_response_is_retried_only_on_idempotent_routes(self) -> None:
        outcome, _, attempt_count = await self.forward(IDEMPOTENT_ROUTE, close_without_response, OK)
        self.assertEqual((outcome.head.status, attempt_count), (200, 2))
        outcome, _, attempt_count = await self.forward(ONCE, close_without_response, OK)
        self.assertEqual(
            (outcome.outcome, outcome.status, attempt_count), (Outcome.UNKNOWN, 504, 1)
        )

    async def test_refusal_after_lost_response_has_unknown_outcome(self) -> None:
        outcome, _, _ = await self.forward(IDEMPOTENT_ROUTE, close_without_response, FULL, FULL)
        self.assertEqual((outcome.outcome, outcome.status), (Outcome.UNKNOWN, 504))

    async def test_refusals_alone_give_not_run_and_retry_after(self) -> None:
        outcome, _, _ = await self.forward(IDEMPOTENT_ROUTE, FULL, FULL, FULL)
        self.assertEqual((outcome.outcome, outcome.status), (Outcome.NOT_RUN, 503))
        self.assertGreater(outcome.retry_after_s, 0.0)

    async def test_response_to_another_request_is_discarded(self) -> None:
        outcome, _, _ = await self.forward(IDEMPOTENT_ROUTE, respond_with_wrong_id, OK)
        self.assertEqual(outcome.body, b"body")

    async def test_attempt_moves_on_after_timeout(self) -> None:
        outcome, request, _ = await self.forward(IDEMPOTENT_ROUTE, never_respond, OK)
        self.assertEqual((outcome.head.status, request.attempted_upstreams), (200, ["u0", "u1"]))

    async def test_request_is_not_sent_to_an_upstream_that_left_after_it_was_chosen(self) -> None:
        # Opening a connection takes up to 0.4 s, during which an upstream may leave.
        def drain_first(address: str) -> None:
            upstreams = [state.upstream for state in self.table.states.values()]
            if address == upstreams[0].address:
                self.table.update([replace(upstreams[0], draining=True), *upstreams[1:]])

        for body in (b"x", b"x" * (MAX_INLINE_REQUEST_BYTES + 1)):
            pool = DelayedPool(drain_first)
            outcome, request, attempt_count = await self.forward(
                replace(ONCE, max_attempts=1), OK, OK, pool=pool, body=body
            )
            self.assertEqual((outcome.head.status, attempt_count), (200, 1))
            self.assertEqual(request.attempted_upstreams, ["u1"])
            self.assertEqual(self.runs, ["customer"])

    async def test_request_waits_for_a_permit_only_if_no_other_upstream_accepts_it(self) -> None:
        self.waits_s = {"u0": 0.3, "u1": 0.0}
        outcome, request, _ = await self.forward(IDEMPOTENT_ROUTE, OK, OK)
        self.assertEqual((outcome.head.status, request.attempted_upstreams), (200, ["u1"]))
        self.assertEqual(self.permit_calls, [("u0", 0.0), ("u1", 0.0)])

    async def test_request_that_no_limit_allows_in_time_is_rejected_with_the_time_of_the_permit(
        self,
    ) -> None:
        self.waits_s = {"u0": 0.3, "u1": 0.2}
        outcome, _, attempt_count = await self.forward(IDEMPOTENT_ROUTE, OK, OK)
        self.assertEqual((outcome.outcome, outcome.status), (Outcome.NOT_RUN, 503))
        self.assertEqual((outcome.retry_after_s, attempt_count), (0.2, 0))
        patience_s = LIMIT_PATIENCE_FACTOR * IDEMPOTENT_ROUTE.latency_objective_s
        self.assertEqual(self.permit_calls[-1], ("u1", patience_s))

    async def test_deadline_that_passes_while_a_permit_is_requested_is_no_failure_of_the_upstream(
        self,
    ) -> None:
        self.permit_delay_s = 2.1
        self.waits_s = {"u0": 0.0}
        outcome, _, attempt_count = await self.forward(IDEMPOTENT_ROUTE, OK)
        self.assertEqual((outcome.outcome, attempt_count), (Outcome.NOT_RUN, 0))
        self.assertEqual(self.table.states["u0"].consecutive_failures, 0)

    async def test_background_request_never_waits_for_a_permit_ahead_of_clients(self) -> None:
        # Scoring requests, which may wait longer, would take each permit before clients' requests.
        self.waits_s = {"u0": 0.3, "u1": 0.2}
        outcome, _, _ = await self.forward(IDEMPOTENT_ROUTE, OK, OK, background=True)
        self.assertEqual(outcome.status, 503)
        self.assertAlmostEqual(outcome.retry_after_s, 0.2, delta=0.05)
        self.assertEqual(self.permit_calls, [("u0", 0.0), ("u1", 0.0)])

    async def test_only_status_500_counts_as_server_error(self) -> None:
        # Regression (hunt-944f-15, MIXED): a batch item failed because a 504 was counted as a
        # failed scoring attempt.
        _, request, _ = await self.forward(
            IDEMPOTENT_ROUTE, respond_with(504), respond_with(500), respond_with(500)
        )
        self.assertEqual(request.server_error_count, 2)

    async def test_attempts_stop_at_the_route_limit(self) -> None:
        _, request, attempt_count = await self.forward(
            replace(IDEMPOTENT_ROUTE, max_attempts=2),
            close_without_response,
            close_without_response,
            OK,
        )
        self.assertEqual((len(request.attempted_upstreams), attempt_count), (2, 2))

    async def test_each_attempt_counts_as_usage_once(self) -> None:
        await self.forward(IDEMPOTENT_ROUTE, respond_with(500), OK)
        self.assertEqual(self.runs, ["customer", "customer"])

    async def test_full_upstream_is_not_ejected(self) -> None:
        # A burst that fills all upstreams would otherwise eject them all.
        await self.forward(IDEMPOTENT_ROUTE, FULL, FULL, FULL)
        self.assertEqual([state.ejected_until for state in self.table.states.values()], [0.0] * 3)

    async def test_attempts_that_reach_no_upstream_have_not_run(self) -> None:
        outcome, _, attempt_count = await self.forward(
            IDEMPOTENT_ROUTE, OK, OK, OK, pool=UnconnectedPool(anyio.current_time)
        )
        self.assertEqual(
            (outcome.outcome, outcome.status, attempt_count), (Outcome.NOT_RUN, 503, 0)
        )
        self.assertGreater(outcome.retry_after_s, 0.0)
        self.assertEqual(self.runs, [])
