"""Reach the object store directly, or through a peer while it turns this host away."""

from collections.abc import Awaitable, Callable

import anyio
from eliot import log_message

from ..edge import HttpPool
from ..errors import AcaciarillError, Outcome, PeerError, Step, StoreError, UpstreamError
from .const import STORE_AVOID_S, STORE_CALL_TIMEOUT_S, STORE_FRESH_S

StoreReply = tuple[int, bytes]
Relay = Callable[[str, str, bytes, float], Awaitable[StoreReply | None]]
"""Pass a call on through a peer; return None when no peer reaches the store."""

TURNED_AWAY = (429, 503)


class StoreChannel:
    """Send calls to the store and remember whether it answers this host."""

    def __init__(
        self,
        address: str,
        pool: HttpPool,
        clock: Callable[[], float],
        on_call: Callable[[str, bool], None] = lambda method, relayed: None,
    ) -> None:
        self.on_call = on_call
        self.address = address
        self.pool = pool
        self.clock = clock
        self.relay: Relay | None = None
        self.reached_at = -STORE_FRESH_S
        self.avoid_until = 0.0
        self.direct_calls = 0
        self.relayed_calls = 0

    @property
    def is_reachable(self) -> bool:
        """Tell whether the store has answered this host directly within the last seconds."""
        return self.clock() - self.reached_at < STORE_FRESH_S and self.avoid_until <= self.clock()

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = STORE_CALL_TIMEOUT_S,
        retry_via_peer: bool = True,
    ) -> StoreReply:
        """Return status and body; raise StoreError. `resend` sends a lost read again via a peer.

        The error's outcome is NOT_RUN only when the store cannot have taken the call.
        """
        if self.avoid_until > self.clock():
            relayed = await self._relayed(method, target, body, timeout_s)
            if relayed is not None:
                return relayed
        try:
            status, answer = await self.call_directly(method, target, body, timeout_s)
        except StoreError as error:
            self._avoid(error.message)
            if error.outcome is Outcome.UNKNOWN and (method != "GET" or not retry_via_peer):
                raise  # the caller must settle what a lost write has done
            relayed = await self._relayed(method, target, body, timeout_s)
            if relayed is None:
                raise
            return relayed
        if status in TURNED_AWAY:
            self._avoid(f"answered {status}")
            relayed = await self._relayed(method, target, body, timeout_s)
            if relayed is not None:
                return relayed
            raise StoreError(
                f"the store answered {status}",
                step=Step.STORE,
                peer=self.address,
                outcome=Outcome.NOT_RUN,
            )
        return status, answer

    async def call_directly(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> StoreReply:
        """Call the store from this host; raise StoreError."""
        self.direct_calls += 1
        self.on_call(method, False)
        headers = [(b"Content-Type", b"application/json")] if body else []
        sent = False
        try:
            with anyio.fail_after(timeout_s):
                async with self.pool.exchange(
                    self.address, method, target, headers, body
                ) as exchange:
                    sent = True
                    head = await exchange.read_head()
                    answer = await exchange.read_body()
        except (UpstreamError, TimeoutError) as error:
            known = isinstance(error, UpstreamError) and error.outcome is Outcome.NOT_RUN
            outcome = Outcome.NOT_RUN if known and not sent else Outcome.UNKNOWN
            self.pool.forget(self.address)
            raise StoreError(
                f"the store did not answer: {error or 'timeout'}",
                step=Step.STORE,
                peer=self.address,
                outcome=outcome,
            ) from error
        if head.status not in TURNED_AWAY:
            self.reached_at = self.clock()
        return head.status, answer

    async def _relayed(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> StoreReply | None:
        if self.relay is None:
            return None
        try:
            found = await self.relay(method, target, body, timeout_s)
        except PeerError as error:
            if error.outcome is Outcome.NOT_RUN:
                return None
            raise StoreError(
                "the peer that relays to the store did not answer",
                step=Step.STORE,
                peer=error.peer,
                outcome=error.outcome,
            ) from error
        except AcaciarillError:
            return None
        if found is not None:
            self.relayed_calls += 1
            self.on_call(method, True)
        return found

    def _avoid(self, reason: str) -> None:
        if self.avoid_until <= self.clock():
            log_message(
                message_type="store:avoided",
                reason=reason,
                reached_s_ago=round(self.clock() - self.reached_at, 1),
            )
        self.avoid_until = self.clock() + STORE_AVOID_S
