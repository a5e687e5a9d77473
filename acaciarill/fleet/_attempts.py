"""Send one attempt of a request to an upstream and decode its response."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ..edge import Exchange, HttpPool, ResponseHead
from ._model import ResponseMetadata, Upstream
from ._upstreams import UpstreamState

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Attempt:
    """Hold the parameters of one attempt; `remaining_s` is the time until the request's deadline.

    `resume_after` is the id of the last event of a stream that was received before. `sent` is set
    right before the first byte is sent.
    """

    upstream: Upstream
    remaining_s: float
    customer: str = ""
    priority: int | None = None
    resume_after: int | None = None
    expected_version: int | None = None
    sent: bool = False

    def mark_sent(self) -> None:
        """Record that bytes of the request may have reached the upstream."""
        self.sent = True


@dataclass(slots=True, frozen=True)
class UpstreamCodec:
    """Encode an attempt as request headers, and decode the metadata of a response head."""

    encode: Callable[[Headers, Attempt], Headers]
    decode: Callable[[ResponseHead], ResponseMetadata]


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """Hold the head of a response, its decoded metadata, and the exchange to read the body from."""

    exchange: Exchange
    head: ResponseHead
    metadata: ResponseMetadata


class AttemptSender:
    """Send attempts to upstreams and record the load that their responses report."""

    def __init__(self, pool: HttpPool, codec: UpstreamCodec, clock: Callable[[], float]) -> None:
        self.pool = pool
        self.codec = codec
        self.clock = clock

    @asynccontextmanager
    async def open(
        self,
        state: UpstreamState,
        attempt: Attempt,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> AsyncIterator[UpstreamResponse]:
        """Send a request and yield the response after its head is read; raise UpstreamError."""
        async with self.pool.exchange(
            state.upstream.address,
            method,
            target,
            self.codec.encode(headers, attempt),
            body,
            lifetime=state.upstream.lifetime,
            before_send=attempt.mark_sent,
        ) as exchange:
            head = await exchange.read_head()
            metadata = self.codec.decode(head)
            if metadata.load is not None:
                state.record_load_report(metadata.load, self.clock())
            yield UpstreamResponse(exchange, head, metadata)
