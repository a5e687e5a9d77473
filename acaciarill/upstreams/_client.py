"""Send attempts to upstreams over HTTP."""

import ssl
from contextlib import suppress

import httpx
import orjson

from ..config import Upstream
from ..const import HEADER_OUTCOME, HEADER_REQUEST_ID, HEADER_TRACE_PARENT
from ..edge import is_final_status
from ..errors import Outcome, Step, UpstreamError
from ..numerals import parse_natural
from ._limited_transport import LimitedTransport
from ._messages import Headers, UpstreamRequest, UpstreamResponse
from .const import (
    CANCEL_TIMEOUT_S,
    CLIENT_ONLY_HEADERS,
    CONNECT_TIMEOUT_S,
    HOP_BY_HOP_HEADERS,
    KEEPALIVE_EXPIRY_S,
    MAX_CONNECTIONS_PER_POOL,
    MAX_CONTROL_RESPONSE_BYTES,
    MAX_IDLE_CONNECTIONS_PER_POOL,
)

_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_REMOVED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {b"date", b"server"}


def filter_request_headers(headers: Headers) -> Headers:
    """Return the client's headers that an upstream gets.

    Credentials, hop-by-hop headers and the headers that the daemon itself reads are removed.
    """
    removed_headers = (
        HOP_BY_HOP_HEADERS
        | CLIENT_ONLY_HEADERS
        | {b"traceparent", b"x-request-id", b"x-deadline-ms"}
    )
    return [(name, value) for name, value in headers if name.lower() not in removed_headers]


class UpstreamClient:
    """Send requests over one connection pool per upstream address.

    httpcore scans every connection of a pool, and every pair of them, whenever a request starts
    or ends, so small pools keep that cost low. `control_http` calls the platform, reads load
    reports and cancels attempts, and limits the responses, which it reads whole; `control_bytes`
    counts its traffic.
    """

    def __init__(self) -> None:
        self.limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS_PER_POOL,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS_PER_POOL,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )
        self.tls = ssl.create_default_context()
        self.control_bytes = 0
        self.control_http = self._new_client(
            LimitedTransport(
                MAX_CONTROL_RESPONSE_BYTES, limits=self.limits, trust_env=False, verify=self.tls
            )
        )
        self.control_http.event_hooks = {"response": [self._count_control_bytes]}
        self.pools: dict[str, httpx.AsyncClient] = {}

    def _new_client(self, transport: httpx.AsyncBaseTransport | None = None) -> httpx.AsyncClient:
        client = httpx.AsyncClient(
            limits=self.limits,
            timeout=None,
            trust_env=False,
            verify=self.tls,
            transport=transport,
        )
        client.headers.clear()
        return client

    async def _count_control_bytes(self, response: httpx.Response) -> None:
        """Add the size of a request and its response to `control_bytes`."""
        headers = [*response.request.headers.raw, *response.headers.raw]
        self.control_bytes += sum(len(name) + len(value) + 4 for name, value in headers)
        self.control_bytes += len(response.request.content) + len(str(response.url))
        self.control_bytes += parse_natural(response.headers.get("content-length", "0")) or 0

    def _pool(self, address: str) -> httpx.AsyncClient:
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = self._new_client()
        return pool

    async def close_unused_pools(self, used_addresses: set[str]) -> None:
        """Close the pools of all addresses except `used_addresses`."""
        for address in self.pools.keys() - used_addresses:
            await self.pools.pop(address).aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self.close_unused_pools(set())
        await self.control_http.aclose()

    async def cancel(self, upstream: Upstream, attempt_id: str) -> None:
        """Cancel an attempt at an engine; ignore failures, which only waste engine time."""
        body = orjson.dumps({"request_id": attempt_id})
        url = f"http://{upstream.address}/cancel"
        with suppress(httpx.HTTPError):
            await self.control_http.post(url, content=body, timeout=CANCEL_TIMEOUT_S)

    async def send(
        self, upstream: Upstream, request: UpstreamRequest, attempt_id: str, timeout_s: float
    ) -> UpstreamResponse:
        """Send an attempt and return its response, whose body is not read yet.

        Raise UpstreamError, with the outcome NOT_RUN only when no byte was written to a socket
        or when the upstream itself declares that it did not run the request.
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
        except _NOT_SENT_ERRORS as error:
            raise UpstreamError(
                "cannot connect to the upstream",
                step=Step.CONNECT,
                peer=upstream.name,
                outcome=Outcome.NOT_RUN,
                status=503,
                retry_after_s=1.0,
            ) from error
        except httpx.HTTPError as error:
            raise UpstreamError(
                "the upstream sent no response", step=Step.RECEIVE, peer=upstream.name
            ) from error
        if not is_final_status(response.status_code):
            await response.aclose()
            raise UpstreamError(
                f"the response has the invalid status {response.status_code}",
                step=Step.RECEIVE,
                peer=upstream.name,
            )
        if response.headers.get(HEADER_REQUEST_ID, attempt_id) != attempt_id:
            await response.aclose()
            raise UpstreamError(
                "the response belongs to another request", step=Step.RECEIVE, peer=upstream.name
            )
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
                if name.lower() not in _REMOVED_RESPONSE_HEADERS
            ],
            aiter(response.stream),
            response.aclose,
            attempt_id,
            upstream.name,
            request.max_response_bytes,
        )
