"""Send one attempt to one upstream over HTTP."""

import ssl
from contextlib import suppress

import httpx
import orjson

from ..config import Upstream
from ..const import HEADER_OUTCOME, HEADER_REQUEST_ID, HEADER_TRACE_PARENT
from ..errors import Outcome, Step, UpstreamError
from ._answer import Headers, UpstreamRequest, UpstreamResponse
from .const import (
    CANCEL_TIMEOUT_S,
    CLIENT_ONLY_HEADERS,
    CONNECT_TIMEOUT_S,
    HOP_BY_HOP,
    KEEPALIVE_EXPIRY_S,
    MAX_CONNECTIONS,
    MAX_KEEPALIVE,
)

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_DROPPED_FROM_ANSWER = HOP_BY_HOP | {b"date", b"server"}


def filter_request_headers(headers: Headers) -> Headers:
    """Return the caller's headers without credentials and those that end at each hop."""
    dropped = HOP_BY_HOP | CLIENT_ONLY_HEADERS | {b"traceparent", b"x-request-id", b"x-deadline-ms"}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class UpstreamClient:
    """Hold the connections to upstreams, in a pool for each.

    httpcore looks at every connection of a pool, and at every pair of them, whenever a request
    begins or ends: small pools keep that cost low.
    """

    def __init__(self) -> None:
        self.limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_KEEPALIVE,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )
        self.tls = ssl.create_default_context()
        self.control_bytes = 0
        self.control_http = self._new_client()
        self.control_http.event_hooks = {"response": [self._count_control]}
        self.pools: dict[str, httpx.AsyncClient] = {}

    def _new_client(self) -> httpx.AsyncClient:
        client = httpx.AsyncClient(
            limits=self.limits, timeout=None, trust_env=False, verify=self.tls
        )
        client.headers.clear()
        return client

    async def _count_control(self, response: httpx.Response) -> None:
        """Add the size of an exchange with the platform or of a load report."""
        headers = [*response.request.headers.raw, *response.headers.raw]
        self.control_bytes += sum(len(name) + len(value) + 4 for name, value in headers)
        self.control_bytes += len(response.request.content) + len(str(response.url))
        self.control_bytes += int(response.headers.get("content-length", 0))

    def _pool(self, address: str) -> httpx.AsyncClient:
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = self._new_client()
        return pool

    async def keep_only(self, addresses: set[str]) -> None:
        """Close the pools of upstreams that are no longer configured."""
        for address in self.pools.keys() - addresses:
            await self.pools.pop(address).aclose()

    async def aclose(self) -> None:
        """Close every connection."""
        await self.keep_only(set())
        await self.control_http.aclose()

    async def cancel(self, upstream: Upstream, attempt_id: str) -> None:
        """Cancel an attempt at an engine; a failure only costs the engine's time."""
        body = orjson.dumps({"request_id": attempt_id})
        url = f"http://{upstream.address}/cancel"
        with suppress(httpx.HTTPError):
            await self._pool(upstream.address).post(url, content=body, timeout=CANCEL_TIMEOUT_S)

    async def send(
        self, upstream: Upstream, request: UpstreamRequest, attempt_id: str, timeout_s: float
    ) -> UpstreamResponse:
        """Send an attempt and return the head of its answer.

        Raise UpstreamError: NOT_RUN only when no byte was handed to a socket, or when the
        upstream itself declares it.
        """
        headers = [
            *request.headers,
            (HEADER_REQUEST_ID.encode(), attempt_id.encode()),
        ]
        if request.trace_parent:
            headers.append((HEADER_TRACE_PARENT.encode(), request.trace_parent.encode()))
        pool = self._pool(upstream.address)
        outgoing = pool.build_request(
            request.method,
            f"http://{upstream.address}{request.path}",
            headers=headers,
            content=request.body,
            timeout=httpx.Timeout(timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s)),
        )
        try:
            response = await pool.send(outgoing, stream=True)
        except _NOT_SENT as error:
            raise UpstreamError(
                "the upstream cannot be reached",
                step=Step.CONNECT,
                peer=upstream.name,
                outcome=Outcome.NOT_RUN,
                status=503,
                retry_after_s=1.0,
            ) from error
        except httpx.HTTPError as error:
            raise UpstreamError(
                "the upstream did not answer", step=Step.RECEIVE, peer=upstream.name
            ) from error
        if upstream.declares_not_run and response.headers.get(HEADER_OUTCOME) == Outcome.NOT_RUN:
            await response.aclose()
            raise UpstreamError(
                "the upstream refused the request",
                step=Step.SEND,
                peer=upstream.name,
                outcome=Outcome.NOT_RUN,
                code="upstream-refused",
                status=503,
                retry_after_s=1.0,
            )
        return UpstreamResponse(
            response.status_code,
            [
                (name, value)
                for name, value in response.headers.raw
                if name.lower() not in _DROPPED_FROM_ANSWER
            ],
            aiter(response.stream),
            response.aclose,
            attempt_id,
            upstream.name,
        )
