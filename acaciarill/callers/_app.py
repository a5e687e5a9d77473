"""Answer callers' requests: an ASGI application."""

from collections.abc import Awaitable, Callable

import anyio
import httpx
import orjson

from ..config import ConfigCoordinator, Route
from ..config.const import ACCESS_OPEN
from ..const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID, MS_PER_S, RETRY_AFTER_SHORT_S
from ..errors import (
    AcaciarillError,
    BadRequestError,
    Outcome,
    RefusedError,
    Step,
    UpstreamError,
)
from ..telemetry import Telemetry
from ..upstreams import Dispatcher, UpstreamRequest, UpstreamResponse, filter_request_headers
from ..usage import UsageCounter
from ..web import CallerGoneError, Receive, Scope, Send, read_body, send_response
from ._admission import Admission
from ._claims import ClaimStore
from ._exchange import Exchange, run_exchange
from ._generate import (
    GenerateRequest,
    StreamTail,
    engine_body,
    engine_request,
    request_id_for,
)
from ._keys import Authenticator, Caller
from ._paces import Paces
from .const import (
    DEFAULT_COST_TOKENS,
    MAX_IDEMPOTENCY_KEY_LENGTH,
    OPEN_CUSTOMER,
    PATH_LIVENESS,
    PATH_READINESS,
    PATH_STEPS,
    STEPS_TIMEOUT_S,
    USUAL_TIME_FACTOR,
)

StepsHandler = Callable[[str, str, bytes, Caller], Awaitable[bytes]]
"""Answers a trainer's request: method, path, body, caller."""


class CallersApp:
    """Authenticate, admit and dispatch each request, and stream its answer whole."""

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
    ) -> None:
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
        self.paces = Paces()
        self.running: dict[int, Exchange] = {}
        config.subscribe(self._cut_withdrawn)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        if path in (PATH_LIVENESS, PATH_READINESS):
            good = path == PATH_LIVENESS or self.ready
            await send_response(send, 200 if good else 503, [], b"ok" if good else b"draining")
            return
        headers = {name: value.decode("latin-1") for name, value in scope["headers"]}
        trace_parent = headers.get(b"traceparent", "")
        started_at = self.clock()
        with self.telemetry.span("callers.request", {}, trace_parent) as span:
            trace_parent = self.telemetry.trace_parent(span)
            labels = {"customer": "", "route": "", "outcome": str(Outcome.RAN)}
            try:
                await self._answer(scope, headers, receive, send, trace_parent, labels)
            except AcaciarillError as error:
                labels["outcome"] = str(error.outcome)
                await _send_refusal(send, error)
            except CallerGoneError:
                labels["outcome"] = "caller-gone"
            span.set_attributes(labels)
        self.telemetry.requests.add(1, labels)
        self.telemetry.seconds.record(self.clock() - started_at, {"customer": labels["customer"]})

    async def _answer(
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
            body = await read_body(receive)

            async def serve_steps(exchange: Exchange) -> None:
                await self._serve_steps(scope, body, exchange, send)

            await self._run_exchange(caller, STEPS_TIMEOUT_S, receive, serve_steps)
            return
        route, caller = self._find_route(path, headers)
        labels |= {"customer": caller.customer, "route": route.path}
        body = await read_body(receive)
        request, cost, generate = self._build(scope, headers, route, caller, body, trace_parent)

        async def serve_route(exchange: Exchange) -> None:
            await self._serve_route(route, request, cost, generate, headers, exchange, send)

        left_s = request.deadline - self.clock()
        await self._run_exchange(caller, left_s, receive, serve_route)

    async def _run_exchange(
        self,
        caller: Caller,
        timeout_s: float,
        receive: Receive,
        work: Callable[[Exchange], Awaitable[None]],
    ) -> None:
        """Run a request whose key is checked again: its body may have taken long to arrive."""
        exchange = Exchange(caller, anyio.CancelScope())
        self.running[id(exchange)] = exchange
        try:
            self.authenticator.check_again(caller)
            await run_exchange(exchange, timeout_s, receive, work)
        finally:
            del self.running[id(exchange)]

    async def _serve_steps(self, scope: Scope, body: bytes, exchange: Exchange, send: Send) -> None:
        answer = await self.steps(scope["method"], scope["path"], body, exchange.caller)
        exchange.started = True
        await send_response(send, 200, [(b"content-type", b"application/json")], answer)
        exchange.ended = True

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

    def _build(
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
        generate = engine_request(request, body)
        return request, generate.max_tokens, generate

    async def _serve_route(
        self,
        route: Route,
        request: UpstreamRequest,
        cost: float,
        generate: GenerateRequest | None,
        headers: dict[bytes, str],
        exchange: Exchange,
        send: Send,
    ) -> None:
        customer = exchange.caller.customer
        target = route.target
        left_s = request.deadline - self.clock()
        usual_s = (self.paces.median_s(target, cost) or 0.0) * USUAL_TIME_FACTOR
        # Waiting longer would leave too little time to end, and cost the upstream for nothing.
        wait_s = max(0.0, left_s - usual_s)
        lent = await self.admission.acquire(target, customer, cost, wait_s)
        if generate is not None:
            request.body = engine_body(generate, customer, lent)
        started_at = self.clock()
        claim = ""
        try:
            self.authenticator.check_again(exchange.caller)  # it may have waited long
            claim = await self._claim(route, customer, headers)
            exchange.sent_on = True
            answer = await self.dispatcher.dispatch(request)
            try:
                await self._stream(answer, generate, exchange, send)
            finally:
                with anyio.CancelScope(shield=True):
                    await answer.aclose()
            self.paces.observe(target, cost, self.clock() - started_at)
        except AcaciarillError as error:
            if claim and error.outcome is Outcome.NOT_RUN:
                await self.claims.give_back(claim)
            raise
        finally:
            self.admission.release(target, customer)

    async def _claim(self, route: Route, customer: str, headers: dict[bytes, str]) -> str:
        key = headers.get(HEADER_IDEMPOTENCY_KEY.encode(), "")
        if not route.claims or not key:
            return ""
        if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
            raise BadRequestError("the idempotency key is too long", step=Step.PARSE)
        return await self.claims.claim(customer, key)

    async def _stream(
        self,
        answer: UpstreamResponse,
        generate: GenerateRequest | None,
        exchange: Exchange,
        send: Send,
    ) -> None:
        """Pass an answer on; only a whole one gets a clean end."""
        if generate is not None and answer.status < httpx.codes.MULTIPLE_CHOICES:
            tokens = await self._stream_generation(answer, generate, exchange, send)
        else:
            tokens = 0
            await self._start(answer, exchange, send)
            held_back = b""
            async for chunk in answer.chunks():
                if held_back:
                    await _send_chunk(send, held_back)
                held_back = chunk
            await send({"type": "http.response.body", "body": held_back})
        exchange.ended = True
        self.usage.count(exchange.caller.customer, 1, tokens)

    async def _stream_generation(
        self, answer: UpstreamResponse, generate: GenerateRequest, exchange: Exchange, send: Send
    ) -> int:
        """Pass a generation on and return its tokens; its closing line says that it is whole."""
        tail = StreamTail()
        whole = b""
        if generate.stream:
            await self._start(answer, exchange, send)
        async for chunk in answer.chunks():
            tail.feed(chunk)
            if generate.stream:
                await _send_chunk(send, chunk)
            else:
                whole += chunk
        closing = tail.closing_line()
        if not closing.get("done") or closing.get("request_id") != answer.attempt_id:
            raise UpstreamError("the answer is not whole", step=Step.RECEIVE, peer=answer.upstream)
        if not generate.stream:
            await self._start(answer, exchange, send)
        await send({"type": "http.response.body", "body": whole})
        return int(closing.get("tokens", 0))

    async def _start(self, answer: UpstreamResponse, exchange: Exchange, send: Send) -> None:
        exchange.started = True
        headers = answer.headers
        if not self.ready:  # draining: the caller's next request belongs to another daemon
            headers = [*headers, (b"connection", b"close")]
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})

    async def end_unproven(self) -> None:
        """End the running requests of keys while withdrawals may be unknown here."""
        if self.authenticator.fresh():
            return
        for exchange in list(self.running.values()):
            if exchange.caller.key_id:
                exchange.end_unproven()

    def _cut_withdrawn(self) -> None:
        """End the running requests of keys that no longer hold."""
        for exchange in list(self.running.values()):
            if self.authenticator.withdrawn(exchange.caller):
                exchange.withdraw()


async def _send_chunk(send: Send, chunk: bytes) -> None:
    await send({"type": "http.response.body", "body": chunk, "more_body": True})


def _timeout_ms(headers: dict[bytes, str], route: Route) -> int:
    text = headers.get(b"x-deadline-ms", "")
    if not text:
        return route.timeout_ms
    if not text.isdigit() or int(text) < 1:
        raise BadRequestError("x-deadline-ms is not a positive number", step=Step.PARSE)
    return min(int(text), route.timeout_ms)


async def _send_refusal(send: Send, error: AcaciarillError) -> None:
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
