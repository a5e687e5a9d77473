"""Serve callers' requests as an ASGI application."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager

import anyio
import httpx
import orjson

from ..config import ConfigCoordinator, Route
from ..config.const import ACCESS_OPEN
from ..connection_budget import ConnectionBudget
from ..const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID, MS_PER_S, RETRY_AFTER_SHORT_S
from ..errors import (
    AcaciarillError,
    BadRequestError,
    Outcome,
    RefusedError,
    Step,
    UpstreamError,
)
from ..numerals import parse_natural
from ..telemetry import Telemetry
from ..upstreams import Dispatcher, UpstreamRequest, UpstreamResponse, filter_request_headers
from ..usage import UsageCounter
from ..web import CallerGoneError, Receive, Scope, Send, held_body, send_response
from ._admission import Admission
from ._claims import ClaimStore
from ._durations import DurationEstimator
from ._exchange import Exchange, run_exchange
from ._generate import (
    GenerateRequest,
    StreamTail,
    engine_body,
    prepare_engine_request,
    request_id_for,
)
from ._keys import Authenticator, Caller
from .const import (
    DEFAULT_COST_TOKENS,
    MAX_IDEMPOTENCY_KEY_LENGTH,
    MIN_TIME_LEFT_FACTOR,
    OPEN_CUSTOMER,
    PATH_LIVENESS,
    PATH_READINESS,
    PATH_STEPS,
    STEPS_TIMEOUT_S,
)

StepsHandler = Callable[[str, str, bytes, Caller], Awaitable[bytes]]
"""Return the JSON response to a trainer's request, given method, path, body and caller."""


class CallersApp:
    """Authenticate, admit and dispatch requests; end a response cleanly only if it is complete."""

    def __init__(
        self,
        config: ConfigCoordinator,
        authenticator: Authenticator,
        admission: Admission,
        claims: ClaimStore,
        dispatcher: Dispatcher,
        usage: UsageCounter,
        telemetry: Telemetry,
        clock: Callable[[], float],
        steps: StepsHandler,
        budget: ConnectionBudget,
    ) -> None:
        self.budget = budget
        self.config = config
        self.authenticator = authenticator
        self.admission = admission
        self.claims = claims
        self.dispatcher = dispatcher
        self.usage = usage
        self.telemetry = telemetry
        self.clock = clock
        self.steps = steps
        self.ready = False
        self.durations = DurationEstimator()
        self.running: dict[int, Exchange] = {}
        config.subscribe(self._abort_withdrawn)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        if path in (PATH_LIVENESS, PATH_READINESS):
            is_ok = path == PATH_LIVENESS or self.ready
            await send_response(send, 200 if is_ok else 503, [], b"ok" if is_ok else b"draining")
            return
        headers = {name: value.decode("latin-1") for name, value in scope["headers"]}
        trace_parent = headers.get(b"traceparent", "")
        started_at = self.clock()
        with self.telemetry.span("callers.request", {}, trace_parent) as span:
            trace_parent = self.telemetry.trace_parent(span)
            labels = {"customer": "", "route": "", "outcome": str(Outcome.RAN)}
            try:
                await self._respond(scope, headers, receive, send, trace_parent, labels)
            except AcaciarillError as error:
                labels["outcome"] = str(error.outcome)
                await _send_error(send, error)
            except CallerGoneError:
                labels["outcome"] = "caller-gone"
            span.set_attributes(labels)
        self.telemetry.requests.add(1, labels)
        self.telemetry.request_seconds.record(
            self.clock() - started_at, {"customer": labels["customer"]}
        )

    async def _respond(
        self,
        scope: Scope,
        headers: dict[bytes, str],
        receive: Receive,
        send: Send,
        trace_parent: str,
        labels: dict[str, str],
    ) -> None:
        path = scope["path"]
        if path == PATH_STEPS or path.startswith(PATH_STEPS + "/"):
            caller = self.authenticator.authenticate(headers.get(b"authorization", ""))
            labels |= {"customer": caller.customer, "route": PATH_STEPS}
            async with self._held_body(headers, receive) as body:

                async def serve_steps(exchange: Exchange) -> None:
                    await self._serve_steps(scope, body, exchange, send)

                await self._run_exchange(caller, STEPS_TIMEOUT_S, receive, serve_steps)
            return
        route, caller = self._find_route(path, headers)
        labels |= {"customer": caller.customer, "route": route.path}
        async with self._held_body(headers, receive) as body:
            request, cost_tokens, generate = self._build_request(
                scope, headers, route, caller, body, trace_parent
            )

            async def serve_route(exchange: Exchange) -> None:
                await self._serve_route(
                    route, request, cost_tokens, generate, headers, exchange, send
                )

            remaining_s = request.deadline - self.clock()
            await self._run_exchange(caller, remaining_s, receive, serve_route)

    def _held_body(
        self, headers: dict[bytes, str], receive: Receive
    ) -> AbstractAsyncContextManager[bytes]:
        return held_body(receive, headers.get(b"content-length", ""), self.budget)

    async def _run_exchange(
        self,
        caller: Caller,
        timeout_s: float,
        receive: Receive,
        handler: Callable[[Exchange], Awaitable[None]],
    ) -> None:
        """Run a request after checking its key again, as its body may have taken long to arrive."""
        exchange = Exchange(caller, anyio.CancelScope())
        self.running[id(exchange)] = exchange
        try:
            self.authenticator.recheck(caller)
            await run_exchange(exchange, timeout_s, receive, handler)
        finally:
            del self.running[id(exchange)]

    async def _serve_steps(self, scope: Scope, body: bytes, exchange: Exchange, send: Send) -> None:
        response = await self.steps(scope["method"], scope["path"], body, exchange.caller)
        exchange.response_started = True
        await send_response(send, 200, [(b"content-type", b"application/json")], response)
        exchange.response_completed = True

    def _find_route(self, path: str, headers: dict[bytes, str]) -> tuple[Route, Caller]:
        route = self.config.document.find_route(path)
        if route is not None and route.access == ACCESS_OPEN:
            return route, Caller(OPEN_CUSTOMER, route.owner, "")
        caller = self.authenticator.authenticate(headers.get(b"authorization", ""))
        if route is None or route.owner != caller.owner:
            raise BadRequestError(
                "no such route", step=Step.ROUTE, status=404, code="unknown-route"
            )
        return route, caller

    def _build_request(
        self,
        scope: Scope,
        headers: dict[bytes, str],
        route: Route,
        caller: Caller,
        body: bytes,
        trace_parent: str,
    ) -> tuple[UpstreamRequest, float, GenerateRequest | None]:
        document = self.config.document
        query = scope["query_string"].decode("latin-1")
        path = scope["raw_path"].decode("latin-1") if scope.get("raw_path") else scope["path"]
        request = UpstreamRequest(
            request_id=request_id_for(headers.get(HEADER_REQUEST_ID.encode(), "")),
            customer=caller.customer,
            target=route.target,
            method=scope["method"],
            path=path + ("?" + query if query and "?" not in path else ""),
            headers=filter_request_headers(scope["headers"]),
            body=body,
            deadline=self.clock() + _timeout_ms(headers, route) / MS_PER_S,
            idempotent=route.idempotent,
            trace_parent=trace_parent,
        )
        if route.target not in document.models:
            return request, DEFAULT_COST_TOKENS, None
        generate = prepare_engine_request(request, body)
        return request, generate.max_tokens, generate

    async def _serve_route(
        self,
        route: Route,
        request: UpstreamRequest,
        cost_tokens: float,
        generate: GenerateRequest | None,
        headers: dict[bytes, str],
        exchange: Exchange,
        send: Send,
    ) -> None:
        customer = exchange.caller.customer
        target = route.target
        remaining_s = request.deadline - self.clock()
        required_s = (self.durations.median_s(target, cost_tokens) or 0.0) * MIN_TIME_LEFT_FACTOR
        # After a longer wait the upstream would probably miss the deadline and waste its work.
        max_wait_s = max(0.0, remaining_s - required_s)
        borrowed = await self.admission.acquire(target, customer, cost_tokens, max_wait_s)
        if generate is not None:
            request.body = engine_body(generate, customer, borrowed)
        started_at = self.clock()
        claim_name = ""
        try:
            self.authenticator.recheck(exchange.caller)  # the wait may have been long
            claim_name = await self._claim_key(route, customer, headers)
            exchange.dispatched = True
            response = await self.dispatcher.dispatch(request)
            try:
                await self._stream_response(response, generate, exchange, send)
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
            self.durations.observe(target, cost_tokens, self.clock() - started_at)
        except AcaciarillError as error:
            if claim_name and error.outcome is Outcome.NOT_RUN:
                await self.claims.release_claim(claim_name)
            raise
        finally:
            self.admission.release(target, customer)

    async def _claim_key(self, route: Route, customer: str, headers: dict[bytes, str]) -> str:
        key = headers.get(HEADER_IDEMPOTENCY_KEY.encode(), "")
        if not route.claims or not key:
            return ""
        if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
            raise BadRequestError("the idempotency key is too long", step=Step.PARSE)
        return await self.claims.claim(customer, key)

    async def _stream_response(
        self,
        response: UpstreamResponse,
        generate: GenerateRequest | None,
        exchange: Exchange,
        send: Send,
    ) -> None:
        """Send a response to the caller; end it cleanly only if it is complete.

        The last chunk is held until the upstream's response has ended without an error.
        """
        if generate is not None and response.status < httpx.codes.MULTIPLE_CHOICES:
            tokens = await self._stream_generation(response, generate, exchange, send)
        else:
            tokens = 0
            await self._start_response(response, exchange, send)
            last_chunk = b""
            async for chunk in response.chunks():
                if last_chunk:
                    await _send_chunk(send, last_chunk)
                last_chunk = chunk
            await send({"type": "http.response.body", "body": last_chunk})
        exchange.response_completed = True
        self.usage.count(exchange.caller.customer, 1, tokens)

    async def _stream_generation(
        self, response: UpstreamResponse, generate: GenerateRequest, exchange: Exchange, send: Send
    ) -> int:
        """Send a generation to the caller and return its number of tokens.

        Raise UpstreamError unless the engine's final record shows that the generation is complete
        and belongs to this attempt.
        """
        tail = StreamTail()
        unsent = b""
        if generate.stream:
            await self._start_response(response, exchange, send)
        async for chunk in response.chunks():
            tail.feed(chunk)
            if generate.stream:
                await _send_chunk(send, chunk)
            else:
                unsent += chunk
        final_record = tail.final_record()
        if not final_record.get("done") or final_record.get("request_id") != response.attempt_id:
            raise UpstreamError(
                "the generation response is incomplete", step=Step.RECEIVE, peer=response.upstream
            )
        if not generate.stream:
            await self._start_response(response, exchange, send)
        await send({"type": "http.response.body", "body": unsent})
        tokens = final_record.get("tokens", 0)
        return max(0, min(tokens, generate.max_tokens)) if isinstance(tokens, int) else 0

    async def _start_response(
        self, response: UpstreamResponse, exchange: Exchange, send: Send
    ) -> None:
        exchange.response_started = True
        headers = response.headers
        if not self.ready:  # draining: the next request must go to another daemon
            headers = [*headers, (b"connection", b"close")]
        await send({"type": "http.response.start", "status": response.status, "headers": headers})

    async def abort_unverified(self) -> None:
        """Abort running requests with keys while the list of withdrawn keys is outdated."""
        if self.authenticator.withdrawals_are_current():
            return
        for exchange in list(self.running.values()):
            if exchange.caller.key_id:
                exchange.abort_unverified()

    def _abort_withdrawn(self) -> None:
        """Abort running requests whose keys were withdrawn or removed."""
        for exchange in list(self.running.values()):
            if self.authenticator.is_withdrawn(exchange.caller):
                exchange.abort_withdrawn()


async def _send_chunk(send: Send, chunk: bytes) -> None:
    await send({"type": "http.response.body", "body": chunk, "more_body": True})


def _timeout_ms(headers: dict[bytes, str], route: Route) -> int:
    text = headers.get(b"x-deadline-ms", "")
    if not text:
        return route.timeout_ms
    timeout_ms = parse_natural(text)
    if not timeout_ms:
        raise BadRequestError("x-deadline-ms: expected a positive integer", step=Step.PARSE)
    return min(timeout_ms, route.timeout_ms)


async def _send_error(send: Send, error: AcaciarillError) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"x-outcome", str(error.outcome).encode()),
    ]
    if error.retry_after_s is None and isinstance(error, RefusedError) and error.status != 401:
        error.retry_after_s = RETRY_AFTER_SHORT_S
    if error.retry_after_s is not None:
        headers.append((b"retry-after", str(max(1, round(error.retry_after_s))).encode()))
    await send_response(send, error.status, headers, orjson.dumps(error.as_body()))


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
