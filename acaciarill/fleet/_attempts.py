"""Send one attempt of a request to an upstream and decode its response."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ..edge import CONNECTION_REFUSED, Exchange, HttpPool, ResponseHead
from ..errors import Outcome, Step, UpstreamError
from ._model import ResponseMetadata, Upstream
from ._upstreams import UpstreamState

Headers = list[tuple[bytes, bytes]]
UPSTREAM_LEFT = "upstream-left"
"""Code of the error for a request that was not sent because its upstream is leaving or gone."""
WRONG_RESPONSE = "wrong-response"
"""Code of the error for a response that belongs to another request, or to none that is known."""


@dataclass(slots=True)
class Attempt:
    """Hold the parameters of one attempt; `remaining_s` is the time until the request's deadline.

    Its response carries `request_id`. `resume_after` is the id of the last event of a stream that
    was received before. `sent` is set and `on_sent` is called right before the first byte is sent.
    """

    upstream: Upstream
    request_id: str
    remaining_s: float
    customer: str = ""
    priority: int | None = None
    resume_after: int | None = None
    expected_version: int | None = None
    sent: bool = False
    on_sent: Callable[[], None] | None = None


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


def belongs_to_request(metadata: ResponseMetadata, request_id: str, is_first: bool) -> bool:
    """Return whether a response is the one to a request.

    An upstream may send a response twice, the second time when the connection carries the next
    request. Without an id, a response is known only on a connection that has carried no other
    request; a request with an id gets only rejections without one.
    """
    if metadata.request_id:
        return metadata.request_id == request_id
    return is_first and (metadata.not_run or not request_id)


AcquirePermit = Callable[[UpstreamState, float], Awaitable[None]]


async def _permit_always(state: UpstreamState, max_wait_s: float) -> None:
    """Permit every request."""


class AttemptSender:
    """Send attempts to upstreams and record the load and the limits that their responses report.

    `on_sent` is called for each attempt with whether its upstream had named a limit before.
    `on_limit_lifted` is called when an upstream names no limit any more, `on_refused` when one
    refuses a connection.
    `acquire_permit` waits up to some seconds until a request may be sent to an upstream, and raises
    UpstreamError with the code UPSTREAM_LIMITED otherwise.
    """

    def __init__(
        self,
        pool: HttpPool,
        codec: UpstreamCodec,
        clock: Callable[[], float],
        on_sent: Callable[[bool], None] = lambda rate_limited: None,
        acquire_permit: AcquirePermit | None = None,
        on_limit_lifted: Callable[[UpstreamState], None] = lambda state: None,
        on_refused: Callable[[UpstreamState], None] = lambda state: None,
    ) -> None:
        self.pool = pool
        self.codec = codec
        self.clock = clock
        self.on_sent = on_sent
        self.acquire_permit = acquire_permit or _permit_always
        self.on_limit_lifted = on_limit_lifted
        self.on_refused = on_refused

    def _record_rate_limit(self, state: UpstreamState, metadata: ResponseMetadata) -> None:
        if metadata.rate_limit is None and not metadata.request_id:
            return  # not a response to this daemon's request
        was_limited = state.rate_limit is not None
        state.record_rate_limit(metadata.rate_limit, self.clock())
        if was_limited and metadata.rate_limit is None:
            self.on_limit_lifted(state)

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
        """Send a request and yield the response after its head is read; raise UpstreamError.

        The error's code is UPSTREAM_LEFT if the upstream has left since it was chosen, and
        WRONG_RESPONSE if the response belongs to another request: nothing of it is believed, and
        the request may have run.
        """

        def check_before_send() -> None:
            if state.has_left():
                raise UpstreamError(
                    "upstream left before the request was sent",
                    step=Step.CONNECT,
                    peer=state.upstream.id,
                    outcome=Outcome.NOT_RUN,
                    code=UPSTREAM_LEFT,
                )
            attempt.sent = True
            if attempt.on_sent is not None:
                attempt.on_sent()
            self.on_sent(state.rate_limit is not None)

        try:
            async with self.pool.exchange(
                state.upstream.address,
                method,
                target,
                self.codec.encode(headers, attempt),
                body,
                lifetime=state.upstream.lifetime,
                request_id=attempt.request_id,
                new_connection=not attempt.request_id,
                before_send=check_before_send,
            ) as exchange:
                head = await exchange.read_head()
                metadata = self.codec.decode(head)
                if not belongs_to_request(metadata, attempt.request_id, exchange.is_first):
                    raise UpstreamError(
                        "response belongs to another request",
                        step=Step.RECEIVE,
                        peer=state.upstream.id,
                        outcome=Outcome.UNKNOWN,
                        code=WRONG_RESPONSE,
                    )
                if metadata.load is not None:
                    state.record_load_report(metadata.load, self.clock())
                self._record_rate_limit(state, metadata)
                if metadata.is_leaving:
                    state.record_leaving()
                yield UpstreamResponse(exchange, head, metadata)
        except UpstreamError as error:
            if error.code == CONNECTION_REFUSED:
                self.on_refused(state)
            raise
