"""Detect that an upstream crashed while a request ran there."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from eliot import log_message

from ._upstreams import UpstreamState
from .const import CRASH_DETECTION_S, MAX_LOST_CONNECTIONS


@dataclass(slots=True, frozen=True)
class _LostConnection:
    """Hold which request lost its connection to an upstream that still accepted connections."""

    state: UpstreamState
    request_key: str
    lost_at: float


class CrashDetector:
    """Decide whether requests lost their connections because an upstream crashed.

    It did if nothing listens at its address any more, or if its registration is gone or replaced
    soon after. An upstream that had announced that it leaves did not crash.
    `is_refused` returns whether nothing listens at an address. `on_crash` is called with the
    lifetime of the upstream and the key of a request, for each request that ran there.
    """

    def __init__(
        self,
        is_refused: Callable[[str], Awaitable[bool]],
        clock: Callable[[], float],
        on_crash: Callable[[str, str], None],
    ) -> None:
        self.is_refused = is_refused
        self.clock = clock
        self.on_crash = on_crash
        self.undecided: list[_LostConnection] = []

    async def record_lost_connection(self, state: UpstreamState, request_key: str) -> None:
        """Record that the connection to an upstream was lost while a request may have run there."""
        if state.upstream.draining:
            return
        lost = _LostConnection(state, request_key, self.clock())
        # The client may have left by now, but the request may come again.
        with anyio.CancelScope(shield=True):
            refused = await self.is_refused(state.upstream.address)
        if refused or state.deregistered:
            self._report_crash(lost, "refused" if refused else "deregistered")
        else:
            self.undecided = [*self.undecided, lost][-MAX_LOST_CONNECTIONS:]

    def check_registrations(self) -> None:
        """Report the crash of upstreams whose registration is gone soon after a lost connection."""
        if not self.undecided:
            return
        oldest = self.clock() - CRASH_DETECTION_S
        recent = [lost for lost in self.undecided if lost.lost_at >= oldest]
        self.undecided = [
            lost for lost in recent if not (lost.state.deregistered or lost.state.upstream.draining)
        ]
        for lost in recent:
            if lost.state.deregistered and not lost.state.upstream.draining:
                self._report_crash(lost, "deregistered")

    def _report_crash(self, lost: _LostConnection, evidence: str) -> None:
        upstream = lost.state.upstream
        log_message(
            message_type="upstream:crashed",
            upstream=upstream.id,
            request_key=lost.request_key,
            evidence=evidence,
        )
        self.on_crash(upstream.lifetime, lost.request_key)
