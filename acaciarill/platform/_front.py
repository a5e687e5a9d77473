"""Translate the calls of requesters and trainers into operations of the product."""

from collections.abc import Callable
from urllib.parse import parse_qs, unquote

from eliot import log_message

from ..batches import BatchManager, ResultPage
from ..edge import Request, Responder, ResponseHead
from ..errors import AcaciarillError, BadRequestError, Outcome, RefusedError, Step
from ..fleet import Configuration, ForwardedRequest, Forwarder, Route, RouteKind, StreamForwarder
from ._decode import encode_page, event_id
from ._headers import answer_headers
from .const import (
    AUTHORIZATION_SCHEME,
    HEADER_AUTHORIZATION,
    HEADER_DEADLINE_MS,
    HEADER_REQUEST_ID,
    HEADER_WAIT_MS,
    MAX_WAIT_MS,
    PATH_BATCHES,
    PATH_ITEMS,
)

MS_PER_S = 1000
RETRY_AFTER_S = 0.5
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class NotAllowedError(BadRequestError):
    """Report a request without a known key."""

    code = "not-allowed"
    status = 401


class NoRouteError(BadRequestError):
    """Report a request that no route takes."""

    code = "no-route"
    status = 404


class Front:
    """Answer each request that arrives at this daemon."""

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        forwarder: Forwarder,
        book: BatchManager,
        clock: Callable[[], float],
        observe: Callable[[str, int, float], None],
    ) -> None:
        self.configuration = configuration
        self.forwarder = forwarder
        self.streams = StreamForwarder(forwarder, event_id)
        self.book = book
        self.clock = clock
        self.observe = observe

    async def serve(self, request: Request, responder: Responder) -> None:
        """Answer one request; every failure of the product becomes a status."""
        kind = "request"
        status = 0
        try:
            configuration = self.configuration()
            if configuration is None:
                raise RefusedError(
                    "no configuration is known yet",
                    step=Step.CONFIGURE,
                    retry_after_s=RETRY_AFTER_S,
                )
            path, _, query = request.target.partition("?")
            if path.startswith((PATH_BATCHES, PATH_ITEMS)):
                kind = "batch"
                status = await self._serve_batch(configuration, request, responder, path, query)
            else:
                route = self._route(configuration, request, path)
                customer = self._customer(configuration, request, route)
                if route.kind is RouteKind.BATCH:
                    kind = "submission"
                    await self.book.acceptance.accept(
                        request.get(HEADER_REQUEST_ID),
                        customer,
                        route.host,
                        path,
                        request.body,
                        configuration.version,
                    )
                    status = 202
                    await responder.send_response(status, [])
                elif route.kind is RouteKind.STREAM:
                    kind = "stream"
                    status = await self._stream(request, responder, route, customer)
                else:
                    status = await self._forward(request, responder, route, customer)
        except AcaciarillError as error:
            status = await self._fail(request, responder, error)
        took = self.clock() - request.received_at
        self.observe(kind, status, took)

    def _route(self, configuration: Configuration, request: Request, path: str) -> Route:
        host = request.get(b"host").partition(":")[0]
        route = configuration.find_route(host, path)
        if route is None:
            raise NoRouteError("no route takes this host and path", step=Step.ROUTE)
        return route

    def _customer(self, configuration: Configuration, request: Request, route: Route | None) -> str:
        """Return the customer of the request's key; empty where none is needed."""
        if not configuration.customers or (route is not None and route.public):
            return ""
        value = request.get(HEADER_AUTHORIZATION)
        if value.lower().startswith(AUTHORIZATION_SCHEME):
            customer = configuration.customers.get(value[len(AUTHORIZATION_SCHEME) :].strip())
            if customer is not None:
                return customer
        raise NotAllowedError("the key is not known", step=Step.AUTHENTICATE)

    async def _forward(
        self, request: Request, responder: Responder, route: Route, customer: str
    ) -> int:
        call = self._call(request, route, customer)
        reply = await self.forwarder.forward(call)
        self._log(request, reply.head.status, route=route.name, tried=call.attempted_upstreams)
        await responder.send_response(reply.head.status, answer_headers(reply.head), reply.body)
        return reply.head.status

    async def _stream(
        self, request: Request, responder: Responder, route: Route, customer: str
    ) -> int:
        async def start(head: ResponseHead) -> None:
            await responder.start(head.status, answer_headers(head))

        call = self._call(request, route, customer)
        head = await self.streams.forward(call, start, responder.send)
        self._log(request, head.status, route=route.name, tried=call.attempted_upstreams)
        await responder.finish()
        return head.status

    def _call(self, request: Request, route: Route, customer: str) -> ForwardedRequest:
        return ForwardedRequest(
            request.get(HEADER_REQUEST_ID),
            request.method,
            request.target,
            request.headers,
            request.body,
            route,
            route.choose_service(self.forwarder.rng.random()),
            customer,
            request.received_at + self._allowed_s(request, route),
        )

    def _allowed_s(self, request: Request, route: Route) -> float:
        text = request.get(HEADER_DEADLINE_MS)
        if text.isdigit():
            return min(int(text) / MS_PER_S, route.timeout_s)
        return route.timeout_s

    async def _serve_batch(
        self,
        configuration: Configuration,
        request: Request,
        responder: Responder,
        path: str,
        query: str,
    ) -> int:
        customer = self._customer(configuration, request, None)
        fields = parse_qs(query)
        headers: list[tuple[bytes, bytes]] = []
        body = b""
        if path.startswith(PATH_ITEMS) and request.method == "GET":
            batch_id = unquote(path.removeprefix(PATH_ITEMS))
            item_id = fields.get("id", [""])[0]
            body = await self.book.reader.item_body(batch_id, customer, item_id)
        elif request.method == "GET":
            batch_id = unquote(path.removeprefix(PATH_BATCHES))
            page = await self._read(request, batch_id, customer, fields)
            headers, body = JSON_HEADERS, encode_page(page)
        elif request.method == "DELETE" and path.startswith(PATH_BATCHES):
            batch_id = unquote(path.removeprefix(PATH_BATCHES))
            await self.book.acceptance.end(batch_id, customer)
            self._log(request, 200, batch=batch_id, ended=True)
        else:
            raise BadRequestError("unknown call", step=Step.PARSE, status=405)
        await responder.send_response(200, list(headers), body)
        return 200

    async def _read(
        self, request: Request, batch_id: str, customer: str, fields: dict[str, list[str]]
    ) -> ResultPage:
        after_text = fields.get("after", ["0"])[0]
        if not after_text.isdigit():
            raise BadRequestError("after must be a number", step=Step.PARSE)
        wait_text = request.get(HEADER_WAIT_MS)
        wait_ms = min(MAX_WAIT_MS, int(wait_text)) if wait_text.isdigit() else 0
        return await self.book.reader.results(
            batch_id, customer, int(after_text), wait_ms / MS_PER_S
        )

    async def _fail(self, request: Request, responder: Responder, error: AcaciarillError) -> int:
        status = error.status
        if status in (429, 503) and error.outcome is not Outcome.NOT_RUN:
            status = 504  # those two promise that nothing has run
        headers = list(JSON_HEADERS)
        if status in (429, 503):
            pause = error.retry_after_s or RETRY_AFTER_S
            headers.append((b"Retry-After", f"{pause:.2f}".encode()))
        request_id = request.get(HEADER_REQUEST_ID)
        if request_id:
            headers.append((HEADER_REQUEST_ID, request_id.encode()))
        self._log(
            request, status, step=str(error.step), reason=error.message, outcome=str(error.outcome)
        )
        if responder.started:
            return status
        body = b'{"code":"%s"}' % error.code.encode()
        await responder.send_response(status, headers, body)
        return status

    def _log(self, request: Request, status: int, **fields: object) -> None:
        configuration = self.configuration()
        log_message(
            message_type="request:answered",
            request=request.get(HEADER_REQUEST_ID),
            method=request.method,
            path=request.target,
            status=status,
            took_s=round(self.clock() - request.received_at, 4),
            configuration=configuration.version if configuration else None,
            **fields,
        )
