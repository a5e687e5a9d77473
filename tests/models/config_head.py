"""Model the acceptance of configuration changes with two operators and one daemon.

Operator 0 changes section 0 twice, operator 1 changes section 1, each by a conditional update of
the head. The response to a successful write may be lost. The daemon receives heads in any order,
since they arrive through a watch and from peers.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

CONDITIONAL_UPDATE, MONOTONIC_REVISION, RESOLVE_BY_CHANGE_ID = (
    "conditional update",
    "monotonic revision",
    "resolve by change id",
)
"""Guards.

Without the conditional update one operator overwrites the change of another. Without the monotonic
revision a daemon returns to an older head. Without the change id a change is applied again after
the response to its write was lost.
"""
ALL_GUARDS = frozenset({CONDITIONAL_UPDATE, MONOTONIC_REVISION, RESOLVE_BY_CHANGE_ID})
CHANGES = ((0, 0), (1, 0), (0, 1))
"""The section and the operator of each change, by the number of the change."""


class Head(NamedTuple):
    """The revision, the change in force in each section, and the numbers of all applied changes."""

    revision: int = 0
    sections: tuple[int, int] = (-1, -1)
    applied: tuple[int, ...] = ()


class State(NamedTuple):
    """All heads in order, each change's status and the head that it read, and the daemon's head."""

    history: tuple[Head, ...] = (Head(),)
    read_heads: tuple[Head | None, ...] = (None, None, None)
    status: tuple[str, ...] = ("new", "new", "new")
    daemon: Head = Head()
    reverted: bool = False


def steps(guards: frozenset[str]) -> Callable[[State], Iterable]:
    """Return the function that yields the steps from a state under a set of guards."""

    def next_steps(state: State) -> Iterable[tuple[str, State]]:
        for number, status in enumerate(state.status):
            yield from _operator_steps(state, number, status, guards)
        for head in state.history:
            if MONOTONIC_REVISION in guards and head.revision <= state.daemon.revision:
                continue
            if head != state.daemon:
                reverted = state.reverted or head.revision < state.daemon.revision
                yield f"daemon applies {head.revision}", state._replace(
                    daemon=head, reverted=reverted
                )

    return next_steps


def _operator_steps(state: State, number: int, status: str, guards: frozenset[str]):
    head = state.history[-1]
    if status == "new":
        earlier_changes = [n for n in range(number) if CHANGES[n][1] == CHANGES[number][1]]
        if all(state.status[n] == "accepted" for n in earlier_changes):
            yield f"read {number}", _set_status(state, number, "ready", head)
    elif status == "ready":
        read_head = state.read_heads[number]
        if CONDITIONAL_UPDATE in guards and read_head != head:
            yield f"conflict {number}", _set_status(state, number, "new", None)
            return
        section = CHANGES[number][0]
        sections = tuple(number if s == section else c for s, c in enumerate(read_head.sections))
        applied = Head(read_head.revision + 1, sections, (*read_head.applied, number))
        stored_state = state._replace(history=(*state.history, applied))
        yield f"stored {number}", _set_status(stored_state, number, "accepted", None)
        if head.applied.count(number) < 2:
            yield f"stored {number}, response lost", _set_status(
                stored_state, number, "unconfirmed", None
            )
    elif status == "unconfirmed":
        already_applied = number in head.applied and RESOLVE_BY_CHANGE_ID in guards
        yield f"resolve {number}", _set_status(
            state, number, "accepted" if already_applied else "new", None
        )


def _set_status(state: State, number: int, status: str, read_head: Head | None) -> State:
    statuses, read_heads = list(state.status), list(state.read_heads)
    statuses[number], read_heads[number] = status, read_head
    return state._replace(status=tuple(statuses), read_heads=tuple(read_heads))


def violates_guarantee(state: State) -> bool:
    """Return whether an accepted change was lost or applied twice, or the daemon reverted."""
    applied = state.history[-1].applied
    accepted = [number for number, status in enumerate(state.status) if status == "accepted"]
    change_lost = any(number not in applied for number in accepted)
    applied_twice = len(applied) != len(set(applied))
    return change_lost or applied_twice or state.reverted
