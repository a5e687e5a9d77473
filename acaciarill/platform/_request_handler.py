"""Handle client requests: authenticate, route and forward them, and serve the batch API."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

from eliot import log_message

from ..batches import BatchManager, ResultPage
from ..edge import Request, Responder, ResponseHead
from ..errors import AcaciarillError, BadRequestError, Outcome, RefusedError, Step
from ..fleet import (
    Configuration,
    ForwardedRequest,
    Forwarder,
    Route,
    RouteKind,
    StreamForwarder,
    StreamVersions,
)
from ..numerals import parse_natural
from ._decode import encode_result_page, parse_event_id
from ._headers import response_headers
from .const import (
    AUTHORIZATION_SCHEME,
    HEADER_AUTHORIZATION,
    HEADER_DEADLINE_MS,
    HEADER_LAST_EVENT_ID,
    HEADER_REQUEST_ID,
    HEADER_RESUMED_ID,
    HEADER_WAIT_MS,
    MAX_RESULT_WAIT_MS,
    PATH_BATCHES,
    PATH_ITEMS,
)

MS_PER_S = 1000
DEFAULT_RETRY_AFTER_S = 0.5
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class NotAllowedError(BadRequestError):
    """Report a request without a valid API key."""

    code = "not-allowed"
    status = 401


class NoRouteError(BadRequestError):
    """Report a request that matches no route."""

    code = "no-route"
    status = 404


@dataclass(slots=True, frozen=True)
class _Admission:
    """Hold what the head of a request decides; calls of the batch API have no route."""

    configuration: Configuration
    route: Route | None
    customer: str


class RequestHandler:
    """Respond to the client requests that this daemon receives."""

    def __init__(
        self,
        configuration: Callable[[], Configuration | None],
        forwarder: Forwarder,
        stream_versions: StreamVersions,
        confirm_upstreams: Callable[[float], Awaitable[bool]],
        batch_manager: BatchManager,
        clock: Callable[[], float],
        observe_request: Callable[[str, int, float], None],
        drain_deadline: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.drain_deadline = drain_deadline
        self.configuration = configuration
        self.forwarder = forwarder
        self.stream_forwarder = StreamForwarder(
            forwarder, parse_event_id, stream_versions, confirm_upstreams
        )
        self.batch_manager = batch_manager
        self.clock = clock
        self.observe_request = observe_request

    def check_head(self, request: Request) -> AcaciarillError | None:
        """Return why a request cannot be served whatever its body is, or None."""
        try:
            request.head_result = self._admit(request)
        except AcaciarillError as error:
            return error
        return None

    def _admit(self, request: Request) -> _Admission:
        """Find the route and the customer of a request by its head; raise AcaciarillError."""
        configuration = self.configuration()
        if configuration is None:
            raise RefusedError(
                "no configuration has been received yet",
                step=Step.CONFIGURE,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        path = request.target.partition("?")[0]
        if path.startswith((PATH_BATCHES, PATH_ITEMS)):
            return _Admission(configuration, None, self._authenticate(configuration, request, None))
        route = self._find_route(configuration, request, path)
        customer = self._authenticate(configuration, request, route)
        self._check_drain(request, route)
        return _Admission(configuration, route, customer)

    def _current_admission(self, request: Request) -> _Admission:
        """Return what the check of the head found, unless the configuration has changed since."""
        if request.head_error is not None:
            raise request.head_error
        admission = request.head_result
        if admission is None or admission.configuration is not self.configuration():
            return self._admit(request)
        self._check_drain(request, admission.route)
        return admission

    async def serve(self, request: Request, responder: Responder) -> None:
        """Respond to one request; every AcaciarillError becomes an error response."""
        kind = "request"
        status = 0
        try:
            path, _, query = request.target.partition("?")
            if path.startswith((PATH_BATCHES, PATH_ITEMS)):
                kind = "batch"
            admission = self._current_admission(request)
            configuration, route = admission.configuration, admission.route
            customer = admission.customer
            if route is None:
                status = await self._serve_batch(customer, request, responder, path, query)
            else:
                if route.kind is RouteKind.BATCH:
                    kind = "submission"
                    await self.batch_manager.acceptance.accept(
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
                    status = await self._forward_stream(request, responder, route, customer)
                else:
                    status = await self._forward(request, responder, route, customer)
        except AcaciarillError as error:
            status = await self._send_error(request, responder, error)
        duration_s = self.clock() - request.received_at
        self.observe_request(kind, status, duration_s)

    def _find_route(self, configuration: Configuration, request: Request, path: str) -> Route:
        host = request.get(b"host").partition(":")[0]
        route = configuration.find_route(host, path)
        if route is None:
            raise NoRouteError("no route matches this host and path", step=Step.ROUTE)
        return route

    def _check_drain(self, request: Request, route: Route | None) -> None:
        """Raise RefusedError if this daemon stops before the route's objective."""
        if route is None:
            return
        if request.received_at + route.latency_objective_s > self.drain_deadline():
            raise RefusedError(
                "this daemon stops before the request can be served",
                step=Step.ADMIT,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )

    def _authenticate(
        self, configuration: Configuration, request: Request, route: Route | None
    ) -> str:
        """Return the customer of the API key, empty if none is required; raise NotAllowedError."""
        customers = configuration.customers
        if customers is None or (route is not None and route.public):
            return ""
        authorization = request.get(HEADER_AUTHORIZATION)
        if authorization.lower().startswith(AUTHORIZATION_SCHEME):
            customer = customers.get(authorization[len(AUTHORIZATION_SCHEME) :].strip())
            if customer is not None:
                return customer
        raise NotAllowedError("API key is missing or unknown", step=Step.AUTHENTICATE)

    async def _forward(
        self, request: Request, responder: Responder, route: Route, customer: str
    ) -> int:
        forwarded_request = self._build_request(request, route, customer)
        response = await self.forwarder.forward(forwarded_request)
        self._log_request(
            request,
            response.head.status,
            route=route.name,
            attempted_upstreams=forwarded_request.attempted_upstreams,
        )
        await responder.send_response(
            response.head.status, response_headers(response.head), response.body
        )
        return response.head.status

    async def _forward_stream(
        self, request: Request, responder: Responder, route: Route, customer: str
    ) -> int:
        async def start(head: ResponseHead) -> None:
            await responder.start(head.status, response_headers(head))

        forwarded_request = self._build_request(request, route, customer)
        head = await self.stream_forwarder.forward(forwarded_request, start, responder.send)
        self._log_request(
            request,
            head.status,
            route=route.name,
            attempted_upstreams=forwarded_request.attempted_upstreams,
            resumed_request=forwarded_request.resumed_id or None,
        )
        await responder.finish()
        return head.status

    def _build_request(self, request: Request, route: Route, customer: str) -> ForwardedRequest:
        return ForwardedRequest(
            request.get(HEADER_REQUEST_ID),
            request.method,
            request.target,
            request.headers,
            request.body,
            route,
            route.choose_service(self.forwarder.rng.random()),
            customer,
            request.received_at + self._timeout_s(request, route),
            is_resumption=bool(request.get(HEADER_LAST_EVENT_ID) or request.get(HEADER_RESUMED_ID)),
            resumed_id=request.get(HEADER_RESUMED_ID),
        )

    def _timeout_s(self, request: Request, route: Route) -> float:
        """Return the client's timeout in seconds, limited by the route's timeout."""
        timeout_ms = parse_natural(request.get(HEADER_DEADLINE_MS))
        if timeout_ms is not None:
            return min(timeout_ms / MS_PER_S, route.timeout_s)
        return route.timeout_s

    async def _serve_batch(
        self,
        customer: str,
        request: Request,
        responder: Responder,
        path: str,
        query: str,
    ) -> int:
        parameters = parse_qs(query)
        headers: list[tuple[bytes, bytes]] = []
        body = b""
        if path.startswith(PATH_ITEMS) and request.method == "GET":
            batch_id = unquote(path.removeprefix(PATH_ITEMS))
            item_id = parameters.get("id", [""])[0]
            body = await self.batch_manager.reader.item_body(batch_id, customer, item_id)
        elif request.method == "GET":
            batch_id = unquote(path.removeprefix(PATH_BATCHES))
            page = await self._read_results(request, batch_id, customer, parameters)
            headers, body = JSON_HEADERS, encode_result_page(page)
        elif request.method == "DELETE" and path.startswith(PATH_BATCHES):
            batch_id = unquote(path.removeprefix(PATH_BATCHES))
            await self.batch_manager.acceptance.end(batch_id, customer)
            self._log_request(request, 200, batch=batch_id, ended=True)
        else:
            raise BadRequestError(
                "the batch API does not support this method and path", step=Step.PARSE, status=405
            )
        await responder.send_response(200, list(headers), body)
        return 200

    async def _read_results(
        self, request: Request, batch_id: str, customer: str, parameters: dict[str, list[str]]
    ) -> ResultPage:
        after = parse_natural(parameters.get("after", ["0"])[0])
        if after is None:
            raise BadRequestError(
                "query parameter `after` is not a non-negative integer", step=Step.PARSE
            )
        wait_ms = min(MAX_RESULT_WAIT_MS, parse_natural(request.get(HEADER_WAIT_MS)) or 0)
        return await self.batch_manager.reader.results(
            batch_id, customer, after, wait_ms / MS_PER_S
        )

    async def _send_error(
        self, request: Request, responder: Responder, error: AcaciarillError
    ) -> int:
        status = error.status
        if status in (429, 503) and error.outcome is not Outcome.NOT_RUN:
            status = 504  # clients rely on a 429 or 503 to mean that the request has not run
        headers = list(JSON_HEADERS)
        if status in (429, 503):
            retry_after_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        request_id = request.get(HEADER_REQUEST_ID)
        if request_id:
            headers.append((HEADER_REQUEST_ID, request_id.encode()))
        self._log_request(
            request, status, step=str(error.step), reason=error.message, outcome=str(error.outcome)
        )
        if responder.started:
            return status
        body = b'{"code":"%s"}' % error.code.encode()
        await responder.send_response(status, headers, body)
        return status

    def _log_request(self, request: Request, status: int, **fields: object) -> None:
        configuration = self.configuration()
        log_message(
            message_type="request:completed",
            request=request.get(HEADER_REQUEST_ID),
            method=request.method,
            path=request.target,
            status=status,
            duration_s=round(self.clock() - request.received_at, 4),
            configuration=configuration.version if configuration else None,
            **fields,
        )
