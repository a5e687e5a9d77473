"""Call the object store directly, or through a peer while direct calls fail."""

from collections.abc import Awaitable, Callable

import anyio
from eliot import log_message

from ..edge import HttpPool
from ..errors import AcaciarillError, Outcome, PeerError, Step, StoreError, UpstreamError
from .const import STORE_BACKOFF_S, STORE_CALL_TIMEOUT_S, STORE_CONTACT_TTL_S

StoreResponse = tuple[int, bytes]
Relay = Callable[[str, str, bytes, float, float], Awaitable[StoreResponse | None]]
"""Relay a call through a peer; return None if no peer can reach the store.

The last two arguments are the timeout of the store's response and the deadline of all tries."""

REJECTED_STATUSES = (429, 503)
TRIES_TIMEOUT_FACTOR = 2.0
"""A call may be tried directly and once more through a peer, each for the timeout of one try."""


class StoreChannel:
    """Send calls to the store; bypass the direct path for a while after it fails."""

    def __init__(
        self,
        address: str,
        pool: HttpPool,
        clock: Callable[[], float],
        on_call: Callable[[str, bool], None] = lambda method, relayed: None,
        on_out_of_time: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_call = on_call
        self.on_out_of_time = on_out_of_time
        self.address = address
        self.pool = pool
        self.clock = clock
        self.relay: Relay | None = None
        self.last_response_at = -STORE_CONTACT_TTL_S
        self.backoff_until = 0.0
        self.direct_calls = 0
        self.relayed_calls = 0

    @property
    def is_reachable(self) -> bool:
        """Return whether the store answered this host directly within STORE_CONTACT_TTL_S."""
        return (
            self.clock() - self.last_response_at < STORE_CONTACT_TTL_S
            and self.backoff_until <= self.clock()
        )

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = STORE_CALL_TIMEOUT_S,
        retry_via_peer: bool = True,
    ) -> StoreResponse:
        """Return the status and body of a response; raise StoreError.

        `retry_via_peer` repeats a read whose response was lost. The error's outcome is NOT_RUN
        only if the store cannot have processed the call. All tries together end after twice
        `timeout_s` seconds.
        """
        deadline = self.clock() + TRIES_TIMEOUT_FACTOR * timeout_s
        if self.backoff_until > self.clock():
            response = await self._call_via_peer(method, target, body, timeout_s, deadline)
            if response is not None:
                return response
        try:
            remaining_s = deadline - self.clock()
            if remaining_s <= 0:
                raise StoreError(
                    "no peer relayed the call in time",
                    step=Step.STORE,
                    peer=self.address,
                    outcome=Outcome.NOT_RUN,
                )
            status, response_body = await self.call_directly(
                method, target, body, min(timeout_s, remaining_s)
            )
        except StoreError as error:
            self._start_backoff(error.message)
            if error.outcome is Outcome.UNKNOWN and (method != "GET" or not retry_via_peer):
                raise  # the caller must find out whether a lost write was applied
            response = await self._call_via_peer(method, target, body, timeout_s, deadline)
            if response is None:
                if self.clock() >= deadline:
                    self.on_out_of_time()
                raise
            return response
        if status in REJECTED_STATUSES:
            self._start_backoff(f"store rejected the call with status {status}")
            response = await self._call_via_peer(method, target, body, timeout_s, deadline)
            if response is not None:
                return response
            raise StoreError(
                f"store rejected the call with status {status}",
                step=Step.STORE,
                peer=self.address,
                outcome=Outcome.NOT_RUN,
            )
        return status, response_body

    async def call_directly(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> StoreResponse:
        """Call the store from this host, without a relay; raise StoreError."""
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
                    response_body = await exchange.read_body()
        except (UpstreamError, TimeoutError) as error:
            not_run = isinstance(error, UpstreamError) and error.outcome is Outcome.NOT_RUN
            outcome = Outcome.NOT_RUN if not_run and not sent else Outcome.UNKNOWN
            self.pool.close_idle_connections(self.address)
            raise StoreError(
                f"store did not respond: {error or 'timeout'}",
                step=Step.STORE,
                peer=self.address,
                outcome=outcome,
            ) from error
        if head.status not in REJECTED_STATUSES:
            self.last_response_at = self.clock()
        return head.status, response_body

    async def _call_via_peer(
        self, method: str, target: str, body: bytes, timeout_s: float, deadline: float
    ) -> StoreResponse | None:
        if self.relay is None or self.clock() >= deadline:
            return None
        try:
            response = await self.relay(method, target, body, timeout_s, deadline)
        except PeerError as error:
            if error.outcome is Outcome.NOT_RUN:
                return None
            raise StoreError(
                "peer that relays calls to the store did not respond",
                step=Step.STORE,
                peer=error.peer,
                outcome=error.outcome,
            ) from error
        except AcaciarillError:
            return None
        if response is not None:
            self.relayed_calls += 1
            self.on_call(method, True)
        return response

    def _start_backoff(self, reason: str) -> None:
        if self.backoff_until <= self.clock():
            log_message(
                message_type="store:backoff_started",
                reason=reason,
                last_response_s_ago=round(self.clock() - self.last_response_at, 1),
            )
        self.backoff_until = self.clock() + STORE_BACKOFF_S
