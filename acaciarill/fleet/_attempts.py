"""Send one attempt of a request to an upstream."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ..edge import Exchange, Head, HttpPool
from ._model import ResponseMetadata, Upstream
from ._upstreams import UpstreamState

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Attempt:
    """Hold what is added to a request for one upstream; `left_s` is in seconds."""

    upstream: Upstream
    remaining_s: float
    customer: str = ""
    priority: int | None = None
    resume_after: int | None = None
    expected_version: int | None = None


@dataclass(slots=True, frozen=True)
class UpstreamCodec:
    """Translate between attempts and the headers that upstreams understand."""

    encode: Callable[[Headers, Attempt], Headers]
    decode: Callable[[Head], ResponseMetadata]


@dataclass(slots=True, frozen=True)
class Answer:
    """Hold the head of an answer, what it says, and the exchange that its body is read from."""

    exchange: Exchange
    head: Head
    metadata: ResponseMetadata


class AttemptSender:
    """Open attempts and note what upstreams say of their load."""

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
    ) -> AsyncIterator[Answer]:
        """Send a request and yield its answer once the head is there; raise UpstreamError."""
        async with self.pool.exchange(
            state.upstream.address,
            method,
            target,
            self.codec.encode(headers, attempt),
            body,
            lifetime=state.upstream.lifetime,
        ) as exchange:
            head = await exchange.read_head()
            metadata = self.codec.decode(head)
            if metadata.load is not None:
                state.note_report(metadata.load, self.clock())
            yield Answer(exchange, head, metadata)
