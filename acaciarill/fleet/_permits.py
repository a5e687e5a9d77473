"""Obtain permits for requests to upstreams that limit their rate, and issue them to other daemons.

For each upstream, the first live daemon in rendezvous order issues the permits. No daemon is
elected, and none holds state that another cannot replace.
"""

import math
from collections.abc import Awaitable, Callable

import anyio

from ..errors import Outcome, Step, UpstreamError
from ._issuers import Issuers
from ._members import Members
from ._rate_limits import (
    Permit,
    RateBucket,
    RateLimit,
    effective_rate,
    isolated_rate,
    issue_permit,
    open_bucket,
)
from ._upstreams import UpstreamState
from .const import (
    BUCKET_TTL_S,
    ISSUER_PING_PERIOD_S,
    PERMIT_PENDING_S,
)

UPSTREAM_LIMITED = "upstream-limited"
"""Code of the error for a request that was not sent because of its upstream's rate limit."""

CallIssuer = Callable[[str, str, RateLimit, float], Awaitable[Permit]]
"""Ask a daemon for a permit: its name, the upstream's key, the limit and the longest wait in
seconds; raise PeerError."""
AnnounceLifted = Callable[[str, str], None]
"""Tell a daemon, by its name, that the upstream with a key no longer limits its rate."""


class RatePermits:
    """Hold the buckets of the upstreams for which this daemon issues permits.

    `ping` starts a ping of a daemon, whose result reaches the members, and does not wait.
    `on_permit` is called with the outcome of each request for a permit.
    """

    def __init__(
        self,
        members: Members,
        call_issuer: CallIssuer,
        announce_lifted: AnnounceLifted,
        ping: Callable[[str], None],
        clock: Callable[[], float],
        on_permit: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.members = members
        self.call_issuer = call_issuer
        self.announce_lifted = announce_lifted
        self.ping = ping
        self.clock = clock
        self.on_permit = on_permit
        self.buckets: dict[str, RateBucket] = {}
        self.lifted_at: dict[str, float] = {}
        self.pinged_at: dict[str, float] = {}
        self.issuers = Issuers(members, clock, lambda: on_permit("issuer_unreachable"))

    async def acquire(self, state: UpstreamState, max_wait_s: float) -> None:
        """Wait until a request may be sent to an upstream; raise UpstreamError if that is too late.

        The error's code is UPSTREAM_LIMITED; its `retry_after_s` is when to try again.
        """
        if state.rate_limit is None:
            return
        named_at = state.rate_limit_named_at
        limit = RateLimit(state.rate_limit, self.clock() - named_at)
        if not max_wait_s:  # of several requests at once, only one asks
            state.limited_until = self.clock() + PERMIT_PENDING_S
        permit = await self._request_permit(_key(state), limit, max_wait_s)
        if permit.limit_lifted:
            if state.rate_limit_named_at == named_at:
                state.record_rate_limit(None, self.clock())
            return
        state.limited_until = self.clock() + permit.next_s
        self.on_permit("granted" if permit.granted else "rejected")
        if not permit.granted:
            raise UpstreamError(
                "upstream has reached its rate limit",
                step=Step.ADMIT,
                peer=state.upstream.id,
                outcome=Outcome.NOT_RUN,
                code=UPSTREAM_LIMITED,
                retry_after_s=permit.wait_s,
            )
        if permit.wait_s:
            await anyio.sleep(permit.wait_s)

    def report_lifted(self, state: UpstreamState) -> None:
        """Tell the issuer that a response of an upstream named no limit any more."""
        key = _key(state)
        for issuer in self.members.live_order(key)[:1]:
            if issuer == self.members.name:
                self.record_lifted(key)
            else:
                self.announce_lifted(issuer, key)

    def record_lifted(self, key: str) -> None:
        """Record that an upstream no longer limits its rate, for daemons that ask later."""
        self.lifted_at[key] = self.clock()
        self.buckets.pop(key, None)

    async def _request_permit(self, key: str, limit: RateLimit, max_wait_s: float) -> Permit:
        permit = await self.issuers.ask(
            key,
            lambda: self.issue(key, limit, max_wait_s),
            lambda name: self.call_issuer(name, key, limit, max_wait_s),
        )
        return self._issue_isolated(key, limit, max_wait_s) if permit is None else permit

    def issue(self, key: str, limit: RateLimit, max_wait_s: float) -> Permit:
        """Issue a permit to this or another daemon."""
        if self.clock() - self.lifted_at.get(key, -math.inf) < limit.age_s:
            return Permit(True, 0.0, 0.0, limit_lifted=True)
        order = self.members.live_order(key)
        is_first = order[:1] == [self.members.name]
        for name in order[1:2] if is_first else order[:1]:
            self._ping_sometimes(name)
        return self._issue(key, effective_rate(limit.rate, is_first), max_wait_s)

    def _ping_sometimes(self, name: str) -> None:
        """Keep the issuer and its substitute informed of whether the other is there."""
        now = self.clock()
        if now - self.pinged_at.get(name, -math.inf) >= ISSUER_PING_PERIOD_S:
            self.pinged_at[name] = now
            self.ping(name)

    def _issue_isolated(self, key: str, limit: RateLimit, max_wait_s: float) -> Permit:
        rate = isolated_rate(limit.rate, len(self.members.by_name))
        return self._issue(key, rate, max_wait_s)

    def _issue(self, key: str, rate: float, max_wait_s: float) -> Permit:
        now = self.clock()
        if key not in self.buckets:
            self._drop_unused(now)
            self.buckets[key] = open_bucket(rate, now)
        return issue_permit(self.buckets[key], rate, now, max_wait_s)

    def _drop_unused(self, now: float) -> None:
        for key, bucket in list(self.buckets.items()):
            if bucket.last_due_at < now - BUCKET_TTL_S:
                del self.buckets[key]
        for key, lifted_at in list(self.lifted_at.items()):
            if lifted_at < now - BUCKET_TTL_S:
                del self.lifted_at[key]


def _key(state: UpstreamState) -> str:
    return f"{state.upstream.id}/{state.upstream.lifetime}"
