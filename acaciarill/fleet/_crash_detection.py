"""Detect that an upstream crashed while a request ran there."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from eliot import log_message

from ._upstreams import UpstreamState
from .const import CRASH_CHECK_TIMEOUT_S, CRASH_DETECTION_S, MAX_SUSPICIONS


@dataclass(slots=True, frozen=True)
class _Suspicion:
    """Hold a request that got no response from an upstream, which may have crashed.

    `abandoned` says that this daemon closed the connection, not the upstream.
    """

    state: UpstreamState
    request_key: str
    at: float
    abandoned: bool = False


class CrashDetector:
    """Decide whether requests got no response because an upstream crashed.

    It did if the connection was lost and nothing listens at its address any more, or if its
    registration is gone or replaced soon after. A request that was abandoned counts if connections
    are refused soon after, since the upstream may have gone on with it. An upstream that has left
    did not crash.
    `is_refused` returns whether nothing listens at an address, if that is known within some
    seconds. `on_crash` is called with the lifetime of the upstream and the key of a request, for
    each request that ran there.
    """

    def __init__(
        self,
        is_refused: Callable[[str, float], Awaitable[bool]],
        clock: Callable[[], float],
        on_crash: Callable[[str, str], None],
    ) -> None:
        self.is_refused = is_refused
        self.clock = clock
        self.on_crash = on_crash
        self.suspicions: list[_Suspicion] = []

    async def record_lost_connection(self, state: UpstreamState, request_key: str) -> None:
        """Record that the connection to an upstream was lost while a request may have run there."""
        if state.has_left():
            return
        lost = _Suspicion(state, request_key, self.clock())
        # The client may have left by now, but the request may come again.
        with anyio.CancelScope(shield=True):
            refused = await self.is_refused(state.upstream.address, CRASH_CHECK_TIMEOUT_S)
        if refused or state.deregistered:
            self._report_crash(lost, "refused" if refused else "deregistered")
        else:
            self._suspect(lost)

    def record_abandoned(self, state: UpstreamState, request_key: str) -> None:
        """Record that this daemon gave up a request that may still run at an upstream."""
        if not state.has_left():
            self._suspect(_Suspicion(state, request_key, self.clock(), abandoned=True))

    def record_refused(self, state: UpstreamState) -> None:
        """Report the crash of an upstream that refuses connections, though it has not left."""
        if not self.suspicions or state.has_left():
            return
        oldest = self.clock() - CRASH_DETECTION_S
        crashed = [s for s in self.suspicions if s.state is state and s.at >= oldest]
        self.suspicions = [s for s in self.suspicions if s.state is not state]
        for suspicion in crashed:
            self._report_crash(suspicion, "refused")

    def _suspect(self, suspicion: _Suspicion) -> None:
        self.suspicions = [*self.suspicions, suspicion][-MAX_SUSPICIONS:]

    def check_registrations(self) -> None:
        """Report the crash of upstreams whose registration is gone soon after a lost connection."""
        if not self.suspicions:
            return
        oldest = self.clock() - CRASH_DETECTION_S
        recent = [s for s in self.suspicions if s.at >= oldest]
        self.suspicions = [s for s in recent if not s.state.has_left()]
        for suspicion in recent:
            state = suspicion.state
            if state.deregistered and not state.upstream.draining and not suspicion.abandoned:
                self._report_crash(suspicion, "deregistered")

    def _report_crash(self, suspicion: _Suspicion, evidence: str) -> None:
        upstream = suspicion.state.upstream
        log_message(
            message_type="upstream:crashed",
            upstream=upstream.id,
            request_key=suspicion.request_key,
            evidence=evidence,
        )
        self.on_crash(upstream.lifetime, suspicion.request_key)
