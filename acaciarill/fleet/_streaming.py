"""Pass a stream of events on as it is made, and resume it elsewhere where that is allowed."""

from collections.abc import Awaitable, Callable

import anyio
from eliot import log_message

from ..edge import Head
from ..errors import Outcome, RefusedError, Step, UpstreamError
from ._attempts import Attempt
from ._forward import ForwardedRequest, Forwarder
from ._upstreams import UpstreamState
from .const import DEADLINE_RESERVE_S, RETRY_AFTER_MIN_S

EVENT_END = b"\n\n"
STATUS_OK = 200

Start = Callable[[Head], Awaitable[None]]
Send = Callable[[bytes], Awaitable[None]]
EventId = Callable[[bytes], int | None]
"""Return the id of one whole event."""


class StreamForwarder:
    """Forward requests whose answers are streams of events."""

    def __init__(self, forwarder: Forwarder, event_id: EventId) -> None:
        self.forwarder = forwarder
        self.event_id = event_id

    async def forward(self, call: ForwardedRequest, start: Start, send: Send) -> Head:
        """Pass one stream on; raise AcaciarillError when it cannot be completed.

        `start` gets the head of the first answer; a resumed stream goes on under it.
        """
        last_id: int | None = None
        head: Head | None = None
        while len(call.attempted_upstreams) < max(1, call.route.max_attempts):
            left = call.deadline - self.forwarder.clock() - DEADLINE_RESERVE_S
            state = self.forwarder.table.choose(call.service, call.attempted_upstreams)
            if left <= 0 or state is None:
                break
            call.attempted_upstreams.append(state.upstream.id)
            progress = _Progress(last_id, head)
            try:
                with anyio.fail_after(left):
                    await self._attempt(call, state, left, progress, start, send)
                return progress.head or Head(STATUS_OK, [])
            except (UpstreamError, TimeoutError) as error:
                known = isinstance(error, UpstreamError) and error.outcome is Outcome.NOT_RUN
                call.may_have_run |= not known
                log_message(
                    message_type="request:attempt_failed",
                    request=call.id,
                    attempt=len(call.attempted_upstreams),
                    upstream=state.upstream.id,
                    reason=str(error) or "no time left",
                    last_event=progress.last_id,
                )
                if not known:
                    state.record_failure(self.forwarder.clock())
                last_id, head = progress.last_id, progress.head
                started = head is not None
                if not known and not call.route.resumable or (started and last_id is None):
                    break
        if call.may_have_run or head is not None:
            raise UpstreamError("the stream broke off", step=Step.RECEIVE, status=504)
        raise RefusedError(
            "no upstream took the stream", step=Step.ADMIT, retry_after_s=RETRY_AFTER_MIN_S
        )

    async def _attempt(
        self,
        call: ForwardedRequest,
        state: UpstreamState,
        left: float,
        progress: "_Progress",
        start: Start,
        send: Send,
    ) -> None:
        forwarder = self.forwarder
        attempt = Attempt(state.upstream, left, call.customer, resume_after=progress.last_id)
        sent_at = forwarder.clock()
        state.in_flight += 1
        try:
            async with forwarder.sender.open(
                state, attempt, call.method, call.target, call.headers, call.body
            ) as answer:
                head, metadata = answer.head, answer.metadata
                if metadata.not_run:
                    await answer.exchange.read_body()
                    state.record_overload(forwarder.clock())
                    raise UpstreamError(
                        f"refused with {head.status}",
                        step=Step.ADMIT,
                        peer=state.upstream.id,
                        outcome=Outcome.NOT_RUN,
                    )
                if metadata.request_id != call.id:
                    raise UpstreamError("the answer is not to this request", step=Step.RECEIVE)
                if progress.head is not None and head.status != STATUS_OK:
                    raise UpstreamError(f"not resumed: {head.status}", step=Step.RECEIVE)
                forwarder.on_run(call.customer, sent_at)
                if progress.head is None:
                    progress.head = head
                    await start(head)
                rest = b""
                async for chunk in answer.exchange.chunks():
                    *whole, rest = (rest + chunk).split(EVENT_END)
                    for block in whole:
                        progress.note(self.event_id(block))
                        await send(block + EVENT_END)
                if rest:
                    await send(rest)
        finally:
            state.in_flight -= 1
            forwarder.table.notify_listeners()


class _Progress:
    """Hold how far a stream has come over all its attempts."""

    def __init__(self, last_id: int | None, head: Head | None) -> None:
        self.last_id = last_id
        self.head = head

    def note(self, number: int | None) -> None:
        if number is not None:
            self.last_id = number
