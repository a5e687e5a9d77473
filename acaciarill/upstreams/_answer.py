"""Hold a request to an upstream and its answer while it streams."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import httpx

from ..errors import AcaciarillError, Outcome, Step, UpstreamError

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class UpstreamRequest:
    """Describe what to send; `deadline` is in seconds on the daemon's clock.

    `upstream` and `attempt_id` name the latest attempt; `may_have_run` tells whether any attempt
    so far may have been run.
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
    tried_upstreams: set[str] = field(default_factory=set)
    upstream: str = ""
    attempt_id: str = ""
    may_have_run: bool = False

    def note_failure(self, failure: AcaciarillError) -> None:
        """Join an attempt's outcome to those before it, whose work a later refusal cannot undo."""
        if failure.outcome is not Outcome.NOT_RUN:
            self.may_have_run = True
        elif self.may_have_run:
            failure.outcome = Outcome.UNKNOWN


class UpstreamResponse:
    """Hold the head of an answer and the chunks still to come.

    `on_end` is called once: with False when the answer was cut short, else with True.
    """

    __slots__ = (
        "status",
        "headers",
        "attempt_id",
        "upstream",
        "on_end",
        "_first",
        "_rest",
        "_close",
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        rest: AsyncIterator[bytes],
        close: Callable[[], Awaitable[None]],
        attempt_id: str = "",
        upstream: str = "",
    ) -> None:
        self.status = status
        self.headers = headers
        self.attempt_id = attempt_id
        self.upstream = upstream
        self.on_end: Callable[[bool], None] | None = None
        self._first: bytes | None = None
        self._rest = rest
        self._close = close

    async def prefetch(self) -> None:
        """Wait for the first chunk, so that a failure before it can still be retried."""
        self._first = await self._next()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise AcaciarillError when it is cut short."""
        chunk = self._first if self._first is not None else await self._next()
        while chunk:
            yield chunk
            chunk = await self._next()

    async def _next(self) -> bytes:
        """Return the next chunk, empty at the end."""
        try:
            chunk = await anext(self._rest, b"")
        except AcaciarillError:
            self._end(False)
            raise
        except httpx.HTTPError as error:
            self._end(False)
            raise UpstreamError(
                "the answer was cut short", step=Step.RECEIVE, peer=self.upstream
            ) from error
        if not chunk:
            self._end(True)
        return chunk

    def _end(self, good: bool) -> None:
        if self.on_end is not None:
            on_end, self.on_end = self.on_end, None
            on_end(good)

    async def read(self) -> bytes:
        """Return the rest of the body; raise AcaciarillError when it is cut short."""
        return b"".join([chunk async for chunk in self.chunks()])

    async def aclose(self) -> None:
        """Give up on the rest of the answer and free what it holds."""
        self._end(True)
        await self._close()
