"""Track whether this daemon reaches the upstreams itself."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio
from eliot import log_message

from ..fleet import Upstream, UpstreamTable
from ._decisions import (
    LinkState,
    are_links_lost,
    choose_probes,
    is_check_due,
    is_quiet,
    is_silent_exchange,
    may_acquire_duties,
)
from .const import (
    PROBE_STAGGER_S,
    PROBE_TIMEOUT_S,
    PROBED_UPSTREAMS,
    RECOVERY_PROBE_PERIOD_S,
    SILENCE_S,
)

CanConnect = Callable[[str, float], Awaitable[bool]]
"""Return whether a connection to an address can be opened within some seconds."""
StartTask = Callable[..., None]


@dataclass(slots=True)
class TrackedExchange:
    """Hold when an open exchange began or last brought bytes.

    `has_unacknowledged_bytes` is None until it is connected; `abort` ends it if it may run again.
    """

    links: "UpstreamLinks"
    received_at: float
    has_unacknowledged_bytes: Callable[[], bool] | None = None
    abort: Callable[[], None] | None = None

    def attach(
        self, has_unacknowledged_bytes: Callable[[], bool], abort: Callable[[], None] | None
    ) -> None:
        """Take the functions of the exchange once it is connected."""
        self.has_unacknowledged_bytes, self.abort = has_unacknowledged_bytes, abort

    def is_stalled(self, now: float) -> bool:
        """Return whether the upstream's host has not confirmed what was sent a while ago."""
        if now - self.received_at < SILENCE_S:
            return False
        return self.has_unacknowledged_bytes is None or self.has_unacknowledged_bytes()

    def record_received(self) -> None:
        """Record that bytes arrived."""
        self.received_at = self.links.state.quiet_since = self.links.clock()


class UpstreamLinks:
    """Check this daemon's links when upstreams cannot be reached, and notice when they are back.

    A single upstream that fails says nothing of the links: others are probed before they count as
    lost, and no upstream is probed while all is well. `on_change` is called when the links are lost
    and when they are back.
    """

    def __init__(
        self,
        table: UpstreamTable,
        can_connect: CanConnect,
        clock: Callable[[], float],
        start_task: StartTask,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.table = table
        self.can_connect = can_connect
        self.clock = clock
        self.start_task = start_task
        self.on_change = on_change
        self.state = LinkState()
        self.open_exchanges: dict[int, TrackedExchange] = {}
        self.check_finished: anyio.Event | None = None

    @property
    def is_cut_off(self) -> bool:
        """Return whether this daemon's links to the upstreams are lost."""
        return self.state.cut_off_since is not None

    def may_acquire_duties(self) -> bool:
        """Return whether this daemon may acquire duties that send orders to upstreams."""
        return may_acquire_duties(self.state, self.clock())

    @contextmanager
    def track_exchange(self) -> Iterator[TrackedExchange]:
        """Track a direct exchange while it is open and bytes are expected from it."""
        now = self.clock()
        if not self.open_exchanges:
            self.state.quiet_since = now
        tracked = TrackedExchange(self, now)
        self.open_exchanges[id(tracked)] = tracked
        try:
            yield tracked
        finally:
            del self.open_exchanges[id(tracked)]

    def check_silence(self) -> None:
        """Start a check of the links if nothing arrives though exchanges are open.

        Once the links are lost, give up the silent exchanges that can run through another daemon.
        """
        now = self.clock()
        if self.is_cut_off:
            for tracked in list(self.open_exchanges.values()):
                if tracked.abort is not None and is_silent_exchange(tracked.received_at, now):
                    abort, tracked.abort = tracked.abort, None
                    abort()
        elif self.open_exchanges and self.check_finished is None and is_quiet(self.state, now):
            is_stalled = any(tracked.is_stalled(now) for tracked in self.open_exchanges.values())
            if is_check_due(self.state, is_stalled, now):
                self._start_check("unconfirmed bytes" if is_stalled else "silence", "")

    async def check_after_failure(self, suspect: Upstream) -> bool:
        """Return whether the links are lost, after no connection to an upstream could be opened."""
        if self.is_cut_off:
            return True
        if self.check_finished is None:
            self._start_check("connection failed", suspect.id)
        return await self.wait_until_checked()

    async def wait_until_checked(self) -> bool:
        """Wait for the check that is running, if any, and return whether the links are lost."""
        if self.check_finished is not None:
            await self.check_finished.wait()
        return self.is_cut_off

    async def is_refused(
        self,
        is_refused_here: Callable[[str, float], Awaitable[bool]],
        address: str,
        timeout_s: float,
    ) -> bool:
        """Return whether no process listens at an address, False if lost links may be the cause."""
        if self.is_cut_off or not await is_refused_here(address, timeout_s):
            return False
        suspects = [s.upstream for s in self.table.states.values() if s.upstream.address == address]
        return not suspects or not await self.check_after_failure(suspects[0])

    def _start_check(self, reason: str, suspect: str) -> None:
        self.state.checked_at = self.clock()
        self.check_finished = anyio.Event()
        self.start_task(self._check, reason, suspect)

    async def _check(self, reason: str, suspect: str) -> None:
        try:
            probes = choose_probes(self._registered(), suspect, PROBED_UPSTREAMS)
            reached = await self._probe(probes)
            if are_links_lost(reached):
                self._record_cut_off(reason, suspect, probes)
        finally:
            finished, self.check_finished = self.check_finished, None
            if finished is not None:
                finished.set()

    def _registered(self) -> list[Upstream]:
        states = [state for state in self.table.states.values() if not state.has_left()]
        self.table.rng.shuffle(states)
        return [state.upstream for state in states]

    async def _probe(self, upstreams: list[Upstream]) -> list[bool]:
        """Return which upstreams were reached, up to the first one that was."""
        reached: list[bool] = []

        async def probe(upstream: Upstream) -> None:
            reached.append(await self.can_connect(upstream.address, PROBE_TIMEOUT_S))
            if reached[-1]:
                probes.cancel_scope.cancel()

        async with anyio.create_task_group() as probes:
            for upstream in upstreams:
                probes.start_soon(probe, upstream)
                await anyio.sleep(PROBE_STAGGER_S)
        return reached

    def _record_cut_off(self, reason: str, suspect: str, probes: list[Upstream]) -> None:
        self.state.cut_off_since = self.clock()
        log_message(
            message_type="links:lost",
            reason=reason,
            suspect=suspect,
            probed=[upstream.id for upstream in probes],
            action="exchange requests with upstreams through other daemons",
        )
        for state in self.table.states.values():
            state.record_success()  # what failed lately was this daemon's links
        self.on_change()
        self.start_task(self._probe_until_restored)

    async def _probe_until_restored(self) -> None:
        while self.state.cut_off_since is not None:
            await anyio.sleep(RECOVERY_PROBE_PERIOD_S)
            if not any(await self._probe(self._registered()[:1])):
                continue
            now = self.clock()
            log_message(
                message_type="links:restored",
                cut_off_s=round(now - self.state.cut_off_since, 2),
            )
            self.state.cut_off_since = None
            self.state.restored_at = now
            self.table.notify_listeners()
            self.on_change()
