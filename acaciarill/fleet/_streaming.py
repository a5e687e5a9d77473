"""Forward streams of server-sent events, and resume a broken stream at another upstream."""

from collections.abc import Awaitable, Callable

import anyio
from eliot import log_message

from ..edge import ResponseHead, check_event_size
from ..errors import Outcome, RefusedError, Step, UpstreamError
from ._attempts import UPSTREAM_LEFT, Attempt
from ._forward import ForwardedRequest, Forwarder
from ._upstreams import UpstreamState
from .const import DEADLINE_RESERVE_S, RETRY_AFTER_MIN_S

EVENT_END = b"\n\n"
STATUS_OK = 200

StartResponse = Callable[[ResponseHead], Awaitable[None]]
SendChunk = Callable[[bytes], Awaitable[None]]
ParseEventId = Callable[[bytes], int | None]
"""Return the id of one complete event, or None if it has none."""


class StreamForwarder:
    """Forward requests whose responses are streams of events."""

    def __init__(self, forwarder: Forwarder, parse_event_id: ParseEventId) -> None:
        self.forwarder = forwarder
        self.parse_event_id = parse_event_id

    async def forward(
        self, request: ForwardedRequest, start: StartResponse, send: SendChunk
    ) -> ResponseHead:
        """Forward one stream to its end; raise AcaciarillError if it cannot be completed.

        `start` is called once, with the head of the first response; the events of resumed
        attempts follow under that head.
        """
        last_event_id: int | None = None
        head: ResponseHead | None = None
        while len(request.attempted_upstreams) < max(1, request.route.max_attempts):
            remaining_s = request.deadline - self.forwarder.clock() - DEADLINE_RESERVE_S
            state = self.forwarder.table.choose(request.service, request.attempted_upstreams)
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
            try:
                with anyio.fail_after(remaining_s):
                    await self._attempt(request, state, remaining_s, progress, on_sent, start, send)
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
                if not not_run:
                    state.record_failure(self.forwarder.clock())
                if isinstance(error, UpstreamError):
                    await self.forwarder.record_failure(request, state, error)
                last_event_id, head = progress.last_event_id, progress.head
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

    async def _attempt(
        self,
        request: ForwardedRequest,
        state: UpstreamState,
        remaining_s: float,
        progress: "_Progress",
        on_sent: Callable[[], None] | None,
        start: StartResponse,
        send: SendChunk,
    ) -> None:
        forwarder = self.forwarder
        attempt = Attempt(
            state.upstream,
            remaining_s,
            request.customer,
            resume_after=progress.last_event_id,
            on_sent=on_sent,
        )
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
                if metadata.request_id != request.id:
                    raise UpstreamError(
                        "response carries the id of another request", step=Step.RECEIVE
                    )
                if progress.head is not None and head.status != STATUS_OK:
                    raise UpstreamError(
                        f"upstream did not resume the stream: status {head.status}",
                        step=Step.RECEIVE,
                    )
                forwarder.on_run(request.customer, sent_at)
                if progress.head is None:
                    progress.head = head
                    await start(head)
                partial = b""
                async for chunk in response.exchange.chunks():
                    *complete, partial = (partial + chunk).split(EVENT_END)
                    check_event_size(partial)
                    for event in complete:
                        progress.record_event_id(self.parse_event_id(event))
                        await send(event + EVENT_END)
                if partial:
                    await send(partial)
        except anyio.get_cancelled_exc_class():
            forwarder.record_cancelled(request, state, attempt)  # by its client or at its deadline
            raise
        finally:
            state.in_flight -= 1
            forwarder.table.notify_listeners()


class _Progress:
    """Track the head and the last event id of a stream, starting from those of earlier attempts."""

    def __init__(self, last_event_id: int | None, head: ResponseHead | None) -> None:
        self.last_event_id = last_event_id
        self.head = head

    def record_event_id(self, event_id: int | None) -> None:
        if event_id is not None:
            self.last_event_id = event_id
