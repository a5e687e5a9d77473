"""Stop a daemon as planned: drain its clients, and leave the fleet meanwhile."""

from collections.abc import Awaitable, Callable, Mapping

import anyio
from eliot import log_message

from ..edge import EdgeServer
from ..fleet import StreamVersions
from ..fleet.const import (
    DRAIN_NOTICE_S,
    DRAIN_POLL_S,
    FINAL_HAND_OVER_S,
    PING_PERIOD_S,
    PING_TIMEOUT_S,
)
from ..relays import RelayServer

LeavingStep = Callable[[], Awaitable[object]]
OnStepEnded = Callable[[str, str], None]
"""Record how a step of a planned stop ended, by its name."""

COMPLETED = "completed"
FAILED = "failed"
CUT_OFF = "cut off"


class Drain:
    """Run the steps of one planned stop, which end by a deadline on the daemon's clock.

    The clients' part runs beside `steps`, which wait for other daemons or the store, by their
    names. Without an edge server the daemon has no clients.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        deadline: float,
        edge_server: EdgeServer | None,
        relay_server: RelayServer,
        announce: LeavingStep,
        stream_versions: StreamVersions,
        steps: Mapping[str, LeavingStep],
        on_step_ended: OnStepEnded,
    ) -> None:
        self.clock = clock
        self.started = clock()
        self.deadline = deadline
        self.edge_server = edge_server
        self.relay_server = relay_server
        self.announce = announce
        self.stream_versions = stream_versions
        self.steps = {**steps, "hand over streams": self._hand_over_streams}
        self.on_step_ended = on_step_ended
        self.clients_drained = False

    async def run(self) -> None:
        """Return once clients are served or cut off, and others know what this daemon knew."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                leave_fleet, self.announce, self.steps, self._remaining_s(), self.on_step_ended
            )
            if self.edge_server is not None:
                await self._drain_clients(self.edge_server)
            self.clients_drained = True
        with anyio.move_on_after(max(FINAL_HAND_OVER_S, self._remaining_s())):
            await self._check_streams_handed_over()
        while self.relay_server.active_exchanges and self._remaining_s() > 0:  # noqa: ASYNC110
            await anyio.sleep(DRAIN_POLL_S)
        if self.edge_server is not None:
            self.edge_server.stop_accepting()

    def _remaining_s(self) -> float:
        return self.deadline - self.clock()

    async def _drain_clients(self, edge_server: EdgeServer) -> None:
        """Close idle connections, finish the requests that run, and end those that run too long."""
        await anyio.sleep(DRAIN_NOTICE_S)
        log_drain_step("close idle connections", self.clock() - self.started)
        edge_server.drain()
        while edge_server.active_requests and self._remaining_s() > 0:  # noqa: ASYNC110
            await anyio.sleep(DRAIN_POLL_S)
        log_drain_step("end requests", self.clock() - self.started)
        await edge_server.end_requests()

    async def _hand_over_streams(self) -> None:
        """Hand over what is known of streams, and again while clients are still served."""
        await self.stream_versions.hand_over()
        round_s = PING_PERIOD_S + PING_TIMEOUT_S
        while self.edge_server is not None and not self.clients_drained:
            if self._remaining_s() < round_s:
                return
            await anyio.sleep(PING_PERIOD_S)
            await self._check_streams_handed_over()

    async def _check_streams_handed_over(self) -> None:
        """Hand over the streams of which only daemons knew that are lost by now."""
        if self.stream_versions.beginnings:
            await self.announce()
            await self.stream_versions.hand_over()


async def leave_fleet(
    announce: LeavingStep,
    steps: Mapping[str, LeavingStep],
    timeout_s: float,
    on_step_ended: OnStepEnded = lambda step, outcome: None,
) -> None:
    """Announce a planned stop, then run the other steps at the same time, by their names.

    Each of them ends after `timeout_s` seconds in all, and none keeps another from running,
    whatever it raises.
    """
    started = anyio.current_time()

    async def run(name: str, step: LeavingStep) -> None:
        log_drain_step(name, anyio.current_time() - started)
        outcome, error_text = CUT_OFF, None
        try:
            with anyio.move_on_after(started + timeout_s - anyio.current_time()):
                await step()
                outcome = COMPLETED
        except Exception as error:  # the stop goes on without what this step was to hand over
            outcome, error_text = FAILED, repr(error)
        on_step_ended(name, outcome)
        if outcome != COMPLETED:
            log_message(
                message_type="daemon:drain_step_ended",
                step=name,
                outcome=outcome,
                error=error_text,
                after_s=round(anyio.current_time() - started, 2),
                action="other daemons take over what was not handed over",
            )

    await run("announce", announce)
    async with anyio.create_task_group() as tasks:
        for name, step in steps.items():
            tasks.start_soon(run, name, step)


def log_drain_step(step: str, after_s: float) -> None:
    """Log the beginning of a step; the last line names the step at which a drain stands."""
    log_message(message_type="daemon:drain_step", step=step, after_s=round(after_s, 2))
