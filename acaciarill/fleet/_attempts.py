"""Send one attempt of a request to an upstream and decode its response."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AbstractContextManager,
    AsyncExitStack,
    asynccontextmanager,
    nullcontext,
)
from dataclasses import dataclass
from typing import Protocol

from ..edge import CONNECTION_REFUSED, BodyReader, HttpPool, ResponseHead
from ..errors import Outcome, Step, UpstreamError
from ._model import ResponseMetadata, Upstream
from ._upstreams import UpstreamState

Headers = list[tuple[bytes, bytes]]
UPSTREAM_LEFT = "upstream-left"
"""Code of the error for a request that was not sent because its upstream is leaving or gone."""
RELAY_CUT_OFF = "relay-cut-off"
"""Code of the error for a request that no other daemon can pass on, as none reaches upstreams."""
WRONG_RESPONSE = "wrong-response"
"""Code of the error for a response that belongs to another request, or to none that is known."""


@dataclass(slots=True)
class Attempt:
    """Hold the parameters of one attempt; `remaining_s` is the time until the request's deadline.

    Its response carries `request_id`. `resume_after` is the id of the last event of a stream that
    was received before. `sent` is set and `on_sent` is called right before the first byte is sent.
    `is_relayed` says that another daemon passes the request on. If this daemon's links are lost, an
    attempt that `may_break` ends once it is silent.
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
    is_relayed: bool = False
    may_break: bool = False


@dataclass(slots=True, frozen=True)
class UpstreamCodec:
    """Encode an attempt as request headers, and decode the metadata of a response head."""

    encode: Callable[[Headers, Attempt], Headers]
    decode: Callable[[ResponseHead], ResponseMetadata]


@dataclass(slots=True, frozen=True)
class UpstreamResponse:
    """Hold the head of a response, its decoded metadata, and the exchange to read the body from."""

    exchange: BodyReader
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


@dataclass(slots=True, frozen=True)
class EncodedRequest:
    """Hold a request as an upstream is to receive it."""

    upstream: Upstream
    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes


class LinkMonitor(Protocol):
    """Tell whether this daemon has lost its own links to the upstreams."""

    @property
    def is_cut_off(self) -> bool:
        """Return whether the links are lost."""

    async def wait_until_checked(self) -> bool:
        """Wait for the check that is running, if any, and return whether the links are lost."""

    async def check_after_failure(self, suspect: Upstream) -> bool:
        """Return whether the links are lost, after no connection to an upstream could be opened."""

    def track_exchange(self) -> AbstractContextManager["TrackedExchange"]:
        """Track a direct exchange while it is open and bytes are expected from it."""


class TrackedExchange(Protocol):
    """Track one direct exchange."""

    def attach(
        self, has_unacknowledged_bytes: Callable[[], bool], abort: Callable[[], None] | None
    ) -> None:
        """Take the functions of the exchange once it is connected; `abort` if it may run again."""

    def record_received(self) -> None:
        """Record that bytes arrived."""


class Relay(Protocol):
    """Exchange requests with upstreams through other daemons."""

    def exchange(
        self, request: EncodedRequest, before_send: Callable[[], None]
    ) -> AbstractAsyncContextManager[tuple[BodyReader, ResponseHead]]:
        """Send a request and yield the exchange after its head; raise UpstreamError."""


class _SoundLinks:
    """Stand for links that are never lost, and for each exchange over them."""

    is_cut_off = False

    async def wait_until_checked(self) -> bool:
        return False

    async def check_after_failure(self, suspect: Upstream) -> bool:
        return False

    def track_exchange(self) -> AbstractContextManager[TrackedExchange]:
        return nullcontext(self)

    def attach(
        self, has_unacknowledged_bytes: Callable[[], bool], abort: Callable[[], None] | None
    ) -> None:
        pass

    def record_received(self) -> None:
        pass


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
        links: LinkMonitor | None = None,
        relay: Relay | None = None,
    ) -> None:
        self.links = links or _SoundLinks()
        self.relay = relay
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

    def is_upstream_fault(self, attempt: Attempt, error: UpstreamError | None = None) -> bool:
        """Return whether a failed attempt counts against its upstream.

        It does not if this daemon's own links, or the daemon that passed the request on, failed.
        """
        if error is not None and error.step is Step.FORWARD:
            return False
        return attempt.is_relayed or not self.links.is_cut_off

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
        the request may have run. While this daemon's links are lost, another one passes the request
        on.
        """
        deadline = self.clock() + attempt.remaining_s

        def encode() -> EncodedRequest:
            attempt.remaining_s = deadline - self.clock()
            return EncodedRequest(
                state.upstream,
                attempt.request_id,
                method,
                target,
                self.codec.encode(headers, attempt),
                body,
            )

        async with AsyncExitStack() as stack:
            if self.relay is None or not await self.links.wait_until_checked():
                try:
                    response = await stack.enter_async_context(
                        self._open_directly(state, attempt, encode())
                    )
                except UpstreamError as error:
                    if not _is_unconnected(error) or self.relay is None:
                        raise
                    if not await self.links.check_after_failure(state.upstream):
                        self._report_refusal(state, error)
                        raise
                else:
                    yield response
                    return
            try:
                response = await stack.enter_async_context(
                    self._open_relayed(state, attempt, encode())
                )
            except UpstreamError as error:
                if error.code != RELAY_CUT_OFF:
                    raise
                # Nobody can relay, so all upstreams may have been down and be back now.
                attempt.is_relayed = False
                response = await stack.enter_async_context(
                    self._open_directly(state, attempt, encode())
                )
            yield response

    def _report_refusal(self, state: UpstreamState, error: UpstreamError) -> None:
        if error.code == CONNECTION_REFUSED:
            self.on_refused(state)

    def _prepare_send(self, state: UpstreamState, attempt: Attempt) -> None:
        """Record that a request is sent now; raise UpstreamError if it must not be."""
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

    @asynccontextmanager
    async def _open_directly(
        self, state: UpstreamState, attempt: Attempt, request: EncodedRequest
    ) -> AsyncIterator[UpstreamResponse]:
        try:
            with self.links.track_exchange() as tracked:
                async with self.pool.exchange(
                    state.upstream.address,
                    request.method,
                    request.target,
                    request.headers,
                    request.body,
                    lifetime=state.upstream.lifetime,
                    request_id=attempt.request_id,
                    new_connection=not attempt.request_id,
                    before_send=lambda: self._prepare_send(state, attempt),
                    on_receive=tracked.record_received,
                ) as exchange:
                    tracked.attach(
                        exchange.has_unacknowledged_bytes,
                        exchange.abort if attempt.may_break else None,
                    )
                    head = await exchange.read_head()
                    metadata = self._accept_head(state, attempt, head, exchange.is_first)
                    yield UpstreamResponse(exchange, head, metadata)
        except UpstreamError as error:
            if self.relay is None:
                self._report_refusal(state, error)
            raise

    @asynccontextmanager
    async def _open_relayed(
        self, state: UpstreamState, attempt: Attempt, request: EncodedRequest
    ) -> AsyncIterator[UpstreamResponse]:
        assert self.relay is not None
        attempt.is_relayed = True
        try:
            async with self.relay.exchange(request, lambda: self._prepare_send(state, attempt)) as (
                exchange,
                head,
            ):
                # The relay has checked whether a response without an id may be this request's.
                metadata = self._accept_head(state, attempt, head, is_first=True)
                yield UpstreamResponse(exchange, head, metadata)
        except UpstreamError as error:
            if error.outcome is Outcome.NOT_RUN:
                attempt.sent = False
            self._report_refusal(state, error)
            raise

    def _accept_head(
        self, state: UpstreamState, attempt: Attempt, head: ResponseHead, is_first: bool
    ) -> ResponseMetadata:
        """Return the metadata of a response and record what it tells of the upstream.

        Raise UpstreamError if it belongs to another request.
        """
        metadata = self.codec.decode(head)
        if not belongs_to_request(metadata, attempt.request_id, is_first):
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
        return metadata


def _is_unconnected(error: UpstreamError) -> bool:
    """Return whether no connection to the upstream could be opened."""
    is_connect_step = error.step is Step.CONNECT and error.outcome is Outcome.NOT_RUN
    return is_connect_step and error.code != UPSTREAM_LEFT
