"""Run the steps of a planned stop that wait for other daemons or for the store."""

from collections.abc import Awaitable, Callable, Mapping

import anyio
from eliot import log_message

LeavingStep = Callable[[], Awaitable[object]]
OnStepEnded = Callable[[str, str], None]
"""Record how a step of a planned stop ended, by its name."""

COMPLETED = "completed"
FAILED = "failed"
CUT_OFF = "cut off"


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
