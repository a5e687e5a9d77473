"""Define a request to an upstream and its streamed response."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import httpx

from ..errors import AcaciarillError, Outcome, Step, UpstreamError
from .const import MAX_BYTES_PER_TOKEN, RECORD_OVERHEAD_BYTES

Headers = list[tuple[bytes, bytes]]


def generation_limit_bytes(max_tokens: int) -> int:
    """Return how long the response to a generation of some tokens may be, in bytes."""
    return RECORD_OVERHEAD_BYTES + max_tokens * MAX_BYTES_PER_TOKEN


@dataclass(slots=True)
class UpstreamRequest:
    """Describe a request to the upstreams of `target`.

    `deadline` is in seconds on the daemon's clock. `upstream` and `attempt_id` belong to the
    latest attempt. `may_have_run` is set once any attempt may have been executed by its upstream.
    `affinity` maps the request to the upstreams that probably cache its prompt prefix;
    `may_forward` allows forwarding to another daemon. `max_response_bytes` limits the body of the
    response, if it is not 0.
    """

    request_id: str
    customer: str
    target: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    idempotent: bool = False
    affinity: str = ""
    trace_parent: str = ""
    may_forward: bool = True
    max_response_bytes: int = 0
    tried_upstreams: set[str] = field(default_factory=set)
    upstream: str = ""
    attempt_id: str = ""
    may_have_run: bool = False

    def record_failure(self, failure: AcaciarillError) -> None:
        """Merge a failed attempt's outcome with those of earlier attempts.

        An attempt that was not run doesn't undo an earlier one that may have run, so the
        outcome of `failure` is then changed to unknown.
        """
        if failure.outcome is not Outcome.NOT_RUN:
            self.may_have_run = True
        elif self.may_have_run:
            failure.outcome = Outcome.UNKNOWN


class UpstreamResponse:
    """Hold the status and headers of a response and stream its body.

    For a forwarded request, `attempt_id` is the id of the request and `upstream` the name of the
    daemon that served it. `on_end` is called once: with False when the response was cut short or is
    longer than `max_bytes`, else with True, also when it is closed before its end.
    """

    __slots__ = (
        "status",
        "headers",
        "attempt_id",
        "upstream",
        "on_end",
        "max_bytes",
        "received_bytes",
        "_first_chunk",
        "_remaining_chunks",
        "_close",
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        remaining_chunks: AsyncIterator[bytes],
        close: Callable[[], Awaitable[None]],
        attempt_id: str = "",
        upstream: str = "",
        max_bytes: int = 0,
    ) -> None:
        self.status = status
        self.headers = headers
        self.attempt_id = attempt_id
        self.upstream = upstream
        self.on_end: Callable[[bool], None] | None = None
        self.max_bytes = max_bytes
        self.received_bytes = 0
        self._first_chunk: bytes | None = None
        self._remaining_chunks = remaining_chunks
        self._close = close

    async def prefetch(self) -> None:
        """Read the first chunk ahead, so that a failure before it can still be retried."""
        self._first_chunk = await self._next_chunk()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body; raise AcaciarillError when it is cut short or too long."""
        chunk = self._first_chunk if self._first_chunk is not None else await self._next_chunk()
        while chunk:
            yield chunk
            chunk = await self._next_chunk()

    async def _next_chunk(self) -> bytes:
        """Return the next chunk, or an empty one at the end of the body."""
        try:
            chunk = await anext(self._remaining_chunks, b"")
        except AcaciarillError:
            self._notify_end(False)
            raise
        except httpx.HTTPError as error:
            self._notify_end(False)
            raise UpstreamError(
                "the response was cut short", step=Step.RECEIVE, peer=self.upstream
            ) from error
        if not chunk:
            self._notify_end(True)
        self.received_bytes += len(chunk)
        if self.max_bytes and self.received_bytes > self.max_bytes:
            self._notify_end(False)
            raise UpstreamError(
                f"the response is longer than {self.max_bytes} bytes",
                step=Step.RECEIVE,
                peer=self.upstream,
            )
        return chunk

    def _notify_end(self, complete: bool) -> None:
        if self.on_end is not None:
            on_end, self.on_end = self.on_end, None
            on_end(complete)

    async def read(self) -> bytes:
        """Return the whole body; raise AcaciarillError when it is cut short or too long."""
        return b"".join([chunk async for chunk in self.chunks()])

    async def aclose(self) -> None:
        """Discard the unread body and release the connection."""
        self._notify_end(True)
        await self._close()
