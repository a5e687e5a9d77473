"""Pass requests of daemons that have lost their links on to the upstreams."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ..edge import Exchange, HttpPool
from ..errors import Outcome, PeerError, Step, UpstreamError
from ..fleet import (
    RELAY_CUT_OFF,
    WRONG_RESPONSE,
    Members,
    UpstreamCodec,
    UpstreamState,
    UpstreamTable,
    belongs_to_request,
)
from ..peers import CONNECTION_ERRORS, messages
from ._links import UpstreamLinks
from .const import (
    MAX_RELAYED_EXCHANGES,
    RELAY_CONTACT_TTL_S,
    RELAY_PING_PERIOD_S,
    RELAY_REFUSED,
    RELAY_UPSTREAM_LEFT,
)

SendFrame = Callable[..., Awaitable[None]]


class RelayServer:
    """Send each request once, over this daemon's own links, and return the response as it arrives.

    It decides nothing: which upstream, until when and how often is up to the daemon that asks. It
    refuses what it must not send: requests of daemons that it does not know, and requests to
    upstreams that are not registered in this lifetime, or that leave. A request that it receives is
    never relayed again.
    """

    def __init__(
        self,
        members: Members,
        table: UpstreamTable,
        links: UpstreamLinks,
        pool: HttpPool,
        codec: UpstreamCodec,
        clock: Callable[[], float],
        on_exchange: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.members = members
        self.table = table
        self.links = links
        self.pool = pool
        self.codec = codec
        self.clock = clock
        self.on_exchange = on_exchange
        self.draining = False
        self.active_exchanges = 0

    async def on_relay(self, call: Any, send: SendFrame) -> None:
        """Run one exchange and send its frames; raise AcaciarillError."""
        state = self._find_upstream(call)
        self.active_exchanges += 1
        self.on_exchange("passed on")
        try:
            failure: Exception | None = PeerError(
                "the daemon that asked has been silent for too long", step=Step.FORWARD
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_without_contact, call.daemon, tasks.cancel_scope)
                try:
                    await self._exchange(call, state, send)
                    failure = None
                except (UpstreamError, *CONNECTION_ERRORS) as error:
                    failure = error  # raised below, since the group would wrap it
                tasks.cancel_scope.cancel()
            if failure is not None:
                raise failure
        finally:
            self.active_exchanges -= 1

    def _find_upstream(self, call: Any) -> UpstreamState:
        """Return the upstream that a request is for; raise PeerError if it must not be sent."""
        if call.daemon not in self.members.by_name:
            raise _refusal("the daemon is not known here", RELAY_REFUSED)
        if self.draining or self.active_exchanges >= MAX_RELAYED_EXCHANGES:
            raise _refusal("no further exchanges are relayed here", RELAY_REFUSED)
        if self.links.is_cut_off:
            raise _refusal("the links to the upstreams are lost here too", RELAY_CUT_OFF)
        state = self.table.states.get(call.upstream)
        if state is None or state.upstream.lifetime != call.lifetime:
            raise _refusal("the upstream is not registered here", RELAY_UPSTREAM_LEFT)
        return state

    async def _cancel_without_contact(self, name: str, scope: anyio.CancelScope) -> None:
        """End the exchange once its daemon is silent: another one may take its work over."""
        started_at = self.clock()
        while True:
            await anyio.sleep(RELAY_PING_PERIOD_S)
            member = self.members.by_name.get(name)
            last_contact_at = max(started_at, member.last_contact_at if member else started_at)
            if self.clock() - last_contact_at > RELAY_CONTACT_TTL_S:
                scope.cancel()
                return

    async def _exchange(self, call: Any, state: UpstreamState, send: SendFrame) -> None:
        def check_before_send() -> None:
            if state.has_left():
                raise UpstreamError(
                    "upstream left before the request was sent",
                    step=Step.FORWARD,
                    peer=state.upstream.id,
                    outcome=Outcome.NOT_RUN,
                    code=RELAY_UPSTREAM_LEFT,
                )

        upstream = state.upstream
        try:
            with self.links.track_exchange() as tracked:
                async with self.pool.exchange(
                    upstream.address,
                    call.method,
                    call.target,
                    [(header.name, header.value) for header in call.headers or []],
                    call.body or b"",
                    lifetime=upstream.lifetime,
                    request_id=call.request_id,
                    new_connection=not call.request_id,
                    before_send=check_before_send,
                    on_receive=tracked.record_received,
                ) as exchange:
                    tracked.attach(exchange.has_unacknowledged_bytes, None)
                    await self._return_response(call, state, exchange, send)
        except UpstreamError as error:
            is_unconnected = error.step is Step.CONNECT and error.outcome is Outcome.NOT_RUN
            if not is_unconnected or error.code == RELAY_UPSTREAM_LEFT:
                raise
            if await self.links.check_after_failure(upstream):
                raise _cut_off_error(upstream.id) from error
            raise

    async def _return_response(
        self, call: Any, state: UpstreamState, exchange: Exchange, send: SendFrame
    ) -> None:
        head = await exchange.read_head()
        metadata = self.codec.decode(head)
        if not belongs_to_request(metadata, call.request_id, exchange.is_first):
            raise UpstreamError(
                "response belongs to another request",
                step=Step.RECEIVE,
                peer=state.upstream.id,
                outcome=Outcome.UNKNOWN,
                code=WRONG_RESPONSE,
            )
        if metadata.is_leaving:
            state.record_leaving()  # this daemon sends requests of its own there too
        headers = [messages.Header(name=name, value=value) for name, value in head.headers]
        await send(forward_head=messages.ForwardHead(status=head.status, headers=headers))
        async for chunk in exchange.chunks():
            await send(forward_chunk=messages.ForwardChunk(data=chunk))
        await send(forward_end=messages.ForwardEnd(outcome=str(Outcome.RAN)))


def _refusal(message: str, code: str) -> PeerError:
    return PeerError(message, step=Step.FORWARD, outcome=Outcome.NOT_RUN, code=code)


def _cut_off_error(upstream: str) -> UpstreamError:
    return UpstreamError(
        "the links to the upstreams are lost here too",
        step=Step.FORWARD,
        peer=upstream,
        outcome=Outcome.NOT_RUN,
        code=RELAY_CUT_OFF,
    )
