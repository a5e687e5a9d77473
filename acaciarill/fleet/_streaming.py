"""Forward streams of server-sent events, and resume a broken stream at another upstream."""

from collections.abc import Awaitable, Callable

import anyio
from eliot import log_message

from ..edge import BodyReader, ResponseHead, check_event_size
from ..errors import Outcome, RefusedError, Step, UpstreamError
from ._attempts import UPSTREAM_LEFT, Attempt
from ._forward import ForwardedRequest, Forwarder
from ._stream_records import make_stream_key, record_ttl_s, stream_age_s
from ._stream_versions import StreamVersions
from ._upstreams import UpstreamState
from .const import (
    DEADLINE_RESERVE_S,
    LOOKUP_PATIENCE_FACTOR,
    RETRY_AFTER_MIN_S,
)

CONTENT_TYPE = b"content-type"
EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"
STATUS_OK = 200

STREAM_UNKNOWN = "stream-unknown"
"""Code of the error for a stream that cannot be taken up, as nobody knows its software version."""

StartResponse = Callable[[ResponseHead], Awaitable[None]]
SendChunk = Callable[[bytes], Awaitable[None]]
ParseEventId = Callable[[bytes], int | None]
"""Return the id of one complete event, or None if it has none."""


async def _confirm_always(period_s: float) -> bool:
    """Return True, where no list of upstreams is followed."""
    return True


class StreamForwarder:
    """Forward requests whose responses are streams of events.

    A stream goes on only at upstreams of the software version that began it, also if its client
    takes it up at another daemon. `confirm_upstreams` returns whether the list of upstreams is up
    to date now, and has been throughout a past period in seconds.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        parse_event_id: ParseEventId,
        stream_versions: StreamVersions | None = None,
        confirm_upstreams: Callable[[float], Awaitable[bool]] = _confirm_always,
    ) -> None:
        self.forwarder = forwarder
        self.parse_event_id = parse_event_id
        self.stream_versions = stream_versions
        self.confirm_upstreams = confirm_upstreams

    async def forward(
        self, request: ForwardedRequest, start: StartResponse, send: SendChunk
    ) -> ResponseHead:
        """Forward one stream to its end; raise AcaciarillError if it cannot be completed.

        `start` is called once, with the head of the first response; the events of resumed
        attempts follow under that head.
        """
        last_event_id: int | None = None
        head: ResponseHead | None = None
        software_version = await self._find_version(request) if request.is_resumption else None
        while len(request.attempted_upstreams) < max(1, request.route.max_attempts):
            remaining_s = request.deadline - self.forwarder.clock() - DEADLINE_RESERVE_S
            state = self.forwarder.table.choose(
                request.service, request.attempted_upstreams, software_version
            )
            if remaining_s <= 0 or state is None:
                break
            on_sent = await self.forwarder.admit(request)
            if not await self.forwarder.acquire_permit(request, state):
                continue
            remaining_s = request.deadline - self.forwarder.clock() - DEADLINE_RESERVE_S
            if remaining_s <= 0:
                break
            request.attempted_upstreams.append(state.upstream.id)
            progress = _Progress(last_event_id, head)
            attempt = Attempt(
                state.upstream,
                request.id,
                remaining_s,
                request.customer,
                resume_after=last_event_id,
                on_sent=on_sent,
                may_break=request.route.resumable,
            )
            try:
                with anyio.fail_after(remaining_s):
                    await self._attempt(request, state, attempt, progress, start, send)
                self.forwarder.record_completed(request)
                return progress.head or ResponseHead(STATUS_OK, [])
            except (UpstreamError, TimeoutError) as error:
                if isinstance(error, UpstreamError) and error.code == UPSTREAM_LEFT:
                    request.attempted_upstreams.pop()
                    continue
                not_run = isinstance(error, UpstreamError) and error.outcome is Outcome.NOT_RUN
                request.may_have_run |= not not_run
                log_message(
                    message_type="request:attempt_failed",
                    request=request.id,
                    request_key=request.key,
                    attempt=len(request.attempted_upstreams),
                    upstream=state.upstream.id,
                    software_version=state.upstream.software_version,
                    reason=str(error) or "deadline exceeded",
                    last_event=progress.last_event_id,
                )
                failure = error if isinstance(error, UpstreamError) else None
                if not not_run and self.forwarder.sender.is_upstream_fault(attempt, failure):
                    state.record_failure(self.forwarder.clock())
                if isinstance(error, UpstreamError):
                    await self.forwarder.record_failure(request, state, error)
                last_event_id, head = progress.last_event_id, progress.head
                if progress.has_events:
                    software_version = state.upstream.software_version
                started = head is not None
                if (
                    not not_run
                    and not request.route.resumable
                    or (started and last_event_id is None)
                ):
                    break
        if request.may_have_run or head is not None:
            raise UpstreamError("stream ended before its last event", step=Step.RECEIVE, status=504)
        raise RefusedError(
            "no upstream accepted the stream", step=Step.ADMIT, retry_after_s=RETRY_AFTER_MIN_S
        )

    async def _find_version(self, request: ForwardedRequest) -> str:
        """Return the software version that began a stream; raise RefusedError if nobody knows."""
        software_version = None
        if self.stream_versions is not None and request.resumed_id:
            max_wait_s = LOOKUP_PATIENCE_FACTOR * (request.deadline - self.forwarder.clock())
            stream_key = make_stream_key(request.customer, request.resumed_id)
            software_version = await self.stream_versions.find(stream_key, max_wait_s)
        age_s = stream_age_s(request.route.timeout_s)
        if software_version is None and await self.confirm_upstreams(age_s):
            software_version = self.forwarder.table.only_software_version(request.service, age_s)
        log_message(
            message_type="stream:taken_up",
            request=request.id,
            resumed_request=request.resumed_id,
            software_version=software_version,
        )
        if software_version is None:
            raise RefusedError(
                "no daemon knows which software version began the stream",
                step=Step.ROUTE,
                code=STREAM_UNKNOWN,
                retry_after_s=RETRY_AFTER_MIN_S,
            )
        return software_version

    def _record_begun(self, request: ForwardedRequest, state: UpstreamState) -> None:
        """Record which software version began a stream, before its client has an event of it."""
        stream_id = request.resumed_id if request.is_resumption else request.id
        if self.stream_versions is not None and request.route.resumable and stream_id:
            stream_key = make_stream_key(request.customer, stream_id)
            ttl_s = record_ttl_s(request.route.timeout_s)
            self.stream_versions.record(stream_key, state.upstream.software_version, ttl_s)

    async def _attempt(
        self,
        request: ForwardedRequest,
        state: UpstreamState,
        attempt: Attempt,
        progress: "_Progress",
        start: StartResponse,
        send: SendChunk,
    ) -> None:
        forwarder = self.forwarder
        sent_at = forwarder.clock()
        state.in_flight += 1
        try:
            async with forwarder.sender.open(
                state, attempt, request.method, request.target, request.headers, request.body
            ) as response:
                head, metadata = response.head, response.metadata
                if metadata.not_run:
                    await response.exchange.read_body()
                    state.record_overload(forwarder.clock())
                    raise UpstreamError(
                        f"upstream rejected the request with status {head.status}",
                        step=Step.ADMIT,
                        peer=state.upstream.id,
                        outcome=Outcome.NOT_RUN,
                    )
                if progress.head is not None and not is_event_stream(head):
                    raise UpstreamError(
                        f"upstream did not resume the stream: status {head.status}, type"
                        f" {head.get(CONTENT_TYPE)}",
                        step=Step.RECEIVE,
                    )
                forwarder.on_run(request.customer, sent_at)
                if progress.head is None:
                    progress.head = head
                    await start(head)
                if is_event_stream(head):
                    await self._forward_events(request, state, response.exchange, progress, send)
                else:
                    async for chunk in response.exchange.chunks():
                        await send(chunk)
        except anyio.get_cancelled_exc_class():
            forwarder.record_cancelled(request, state, attempt)  # by its client or at its deadline
            raise
        finally:
            state.in_flight -= 1
            forwarder.table.notify_listeners()

    async def _forward_events(
        self,
        request: ForwardedRequest,
        state: UpstreamState,
        exchange: BodyReader,
        progress: "_Progress",
        send: SendChunk,
    ) -> None:
        """Send the events of a response to its end; raise UpstreamError if it stops before.

        A response that goes on with a stream must not repeat events that the client has.
        """
        resumed_after = progress.last_event_id
        partial = b""
        async for chunk in exchange.chunks():
            *complete, partial = (partial + chunk).split(EVENT_END)
            check_event_size(partial)
            for event in complete:
                event_id = self.parse_event_id(event)
                if None not in (event_id, resumed_after) and event_id <= resumed_after:
                    raise UpstreamError(
                        f"upstream did not resume the stream after event {resumed_after}",
                        step=Step.RECEIVE,
                        peer=state.upstream.id,
                    )
                if not progress.has_events:
                    progress.has_events = True
                    self._record_begun(request, state)
                progress.record_event_id(event_id)
                await send(event + EVENT_END)
        if partial.strip():
            raise UpstreamError(
                "stream ended in the middle of an event", step=Step.RECEIVE, peer=state.upstream.id
            )


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response is a stream of events; its type may be missing."""
    content_type = head.get(CONTENT_TYPE) or EVENT_STREAM
    return head.status == STATUS_OK and content_type.lower().startswith(EVENT_STREAM)


class _Progress:
    """Track the head and the last event id of a stream, starting from those of earlier attempts."""

    def __init__(self, last_event_id: int | None, head: ResponseHead | None) -> None:
        self.last_event_id = last_event_id
        self.head = head
        self.has_events = last_event_id is not None

    def record_event_id(self, event_id: int | None) -> None:
        if event_id is not None:
            self.last_event_id = event_id
