"""Model the lease, the orders and the takeovers of two processes.

Times are remaining or elapsed ticks, so time and renewals are unbounded; takeovers are bounded. A
process may pause anywhere (it takes no steps while the clocks run), its clock may lag by the drift
allowance in each lease period, the response to a successful write may be lost, and a process may
crash. `guards` are the mechanisms that are in place.
"""

from collections.abc import Callable, Iterable
from itertools import product
from typing import Any, NamedTuple

TTL_TICKS, SAFETY_MARGIN_TICKS, CLOCK_DRIFT_TICKS = 3, 1, 1
MAX_TAKEOVERS = 3
TAKEOVER_DELAY, SOCKET_CHECK, EPOCH_FENCING, ORDER_EPOCH_CHECK = (
    "takeover delay",
    "socket check",
    "epoch",
    "order epoch check",
)
"""Guards.

Without the takeover delay a successor acts while the previous holder's lease is still valid.
Without the check of the lease at the socket a process that was paused sends an order after its
lease expired. Without the check of the order's epoch a process that has acquired the lease again
sends an order that it decided in an earlier epoch. A process may still pause between its check and
its write, so a fencing upstream must refuse orders of an earlier epoch.
"""
ALL_GUARDS = frozenset({TAKEOVER_DELAY, SOCKET_CHECK, EPOCH_FENCING, ORDER_EPOCH_CHECK})

IDLE, HELD, WRITING, UNCONFIRMED = "idle", "held", "writing", "unconfirmed"


class Process(NamedTuple):
    """A candidate for the lease.

    `validity_left` and `write_age` are the ticks until its lease expires and since its last write
    was sent, `clock_lag` the ticks by which its clock has fallen behind in this lease period, and
    `unchanged_for` how long it has seen the lease unchanged. `view_current` tells whether the lease
    is as it last saw it, `own_write_stored` whether the lease is its own write. `epoch` is the
    epoch in which it holds the lease, `order_epoch` the one in which it decided an order, 0 for
    none; `lease_checked` tells whether the lease was checked for that order.
    """

    mode: str = IDLE
    validity_left: int = 0
    write_age: int = 0
    clock_lag: int = 0
    unchanged_for: int = 0
    view_current: bool = False
    own_write_stored: bool = False
    epoch: int = 0
    order_epoch: int = 0
    lease_checked: bool = False


class State(NamedTuple):
    """The lease's epoch, both processes, and the newest epoch of an accepted order."""

    epoch: int = 0
    processes: tuple[Process, Process] = (Process(), Process())
    newest: int = 0
    violated: bool = False


ProcessSteps = Iterable[tuple[str, Process, dict[str, Any]]]


def steps(guards: frozenset[str], fencing: bool) -> Callable[[State], Iterable]:
    """Return the function that yields the steps from a state.

    `fencing` tells whether the upstream checks epochs.
    """

    def next_steps(state: State) -> Iterable[tuple[str, State]]:
        yield from _tick_steps(state)
        for index in (0, 1):
            for name, process, changes in _process_steps(state, index, guards, fencing):
                processes_after = list(state.processes)
                processes_after[index] = process
                if name.startswith("stored"):  # the other process has not seen this write
                    processes_after[1 - index] = processes_after[1 - index]._replace(
                        view_current=False, own_write_stored=False
                    )
                yield f"{name} {index}", state._replace(processes=tuple(processes_after), **changes)

    return next_steps


def _tick_steps(state: State) -> Iterable[tuple[str, State]]:
    """Pass one tick; each process's clock advances, or lags within the drift allowance."""
    for processes_after in product(*(_after_tick(process) for process in state.processes)):
        yield "tick", state._replace(processes=processes_after)


def _after_tick(process: Process) -> list[Process]:
    if process.mode == IDLE:
        unchanged_for = min(
            TTL_TICKS + SAFETY_MARGIN_TICKS + CLOCK_DRIFT_TICKS, process.unchanged_for + 1
        )
        return [process._replace(unchanged_for=unchanged_for)]
    on_time = process._replace(
        validity_left=max(0, process.validity_left - 1),
        write_age=min(TTL_TICKS, process.write_age + 1),
    )
    if process.clock_lag < CLOCK_DRIFT_TICKS:
        return [on_time, process._replace(clock_lag=process.clock_lag + 1)]
    return [on_time]


def _process_steps(state: State, index: int, guards: frozenset[str], fencing: bool) -> ProcessSteps:
    process = state.processes[index]
    if process.mode in (IDLE, HELD):
        yield from _lease_steps(state, process, guards)
    elif process.mode == WRITING:
        yield from _write_steps(state, process)
    else:
        yield "read back", _finish_write(process, process.own_write_stored), {}
    if process.order_epoch:
        yield from _order_steps(state, process, guards, fencing)
    elif process.validity_left:
        yield "decide", process._replace(order_epoch=process.epoch), {}
    if process.mode != IDLE:
        yield "crash", Process(), {}


def _lease_steps(state: State, process: Process, guards: frozenset[str]) -> ProcessSteps:
    takeover_delay_ticks = (
        TTL_TICKS + CLOCK_DRIFT_TICKS + SAFETY_MARGIN_TICKS if TAKEOVER_DELAY in guards else 0
    )
    if process.mode == HELD and process.validity_left:
        yield "renew", process._replace(mode=WRITING, write_age=0, clock_lag=0), {}
    elif process.mode == HELD or not process.view_current:
        yield "observe lease", _without_lease(process)._replace(view_current=True), {}
    elif state.epoch < MAX_TAKEOVERS and (
        state.epoch == 0 or process.unchanged_for >= takeover_delay_ticks
    ):
        yield "claim", process._replace(
            mode=WRITING, write_age=0, clock_lag=0, epoch=0, validity_left=0
        ), {}


def _write_steps(state: State, process: Process) -> ProcessSteps:
    if not process.view_current:
        yield "conflict", _without_lease(process), {}
        return
    epoch = process.epoch or state.epoch + 1
    written = process._replace(epoch=epoch, own_write_stored=True, unchanged_for=0)
    yield "stored", _finish_write(written, True), {"epoch": epoch}
    yield "stored, response lost", written._replace(mode=UNCONFIRMED), {"epoch": epoch}


def _finish_write(process: Process, is_stored: bool) -> Process:
    if not is_stored:
        return _without_lease(process)
    validity_left = max(0, TTL_TICKS - SAFETY_MARGIN_TICKS - process.write_age)
    return process._replace(
        mode=HELD, validity_left=validity_left, view_current=True, own_write_stored=False
    )


def _without_lease(process: Process) -> Process:
    """Return the process without its lease but with the order that it has decided."""
    return Process(order_epoch=process.order_epoch, lease_checked=process.lease_checked)


def _order_steps(
    state: State, process: Process, guards: frozenset[str], fencing: bool
) -> ProcessSteps:
    """Check the lease and send the order; only for a fencing upstream these are two steps."""
    done = process._replace(order_epoch=0, lease_checked=False)
    may_send = process.validity_left > 0
    if ORDER_EPOCH_CHECK in guards and process.order_epoch != process.epoch:
        may_send = False
    may_send = may_send or SOCKET_CHECK not in guards
    if not may_send and not process.lease_checked:
        yield "discard order", done, {}
        return
    if fencing and not process.lease_checked:
        yield "check", process._replace(lease_checked=True), {}
        return
    if fencing and EPOCH_FENCING in guards and process.order_epoch < state.newest:
        yield "order refused by epoch", done, {}
        return
    violated = state.violated or process.order_epoch < state.newest
    yield "write", done, {"newest": max(state.newest, process.order_epoch), "violated": violated}
