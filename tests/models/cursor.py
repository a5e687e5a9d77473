"""Specify delivery along the cursor chain, with the product's own cursor.

Two daemons each hold a sample for each slot of one group (both believe that they hold it). An
answer may be lost, and one that was given up on may still arrive late.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from acaciarill.trainers import Cursor

BITMAP, LATEST = "bitmap", "latest pull only"
ALL_GUARDS = frozenset({BITMAP, LATEST})
SLOTS = 3
MAX_PULLS = 5


class Answer(NamedTuple):
    """An answer under way: the pull it answers, the slots in it, and the next cursor."""

    pull: int
    slots: tuple[int, ...]
    cursor: str


class State(NamedTuple):
    """The trainer's cursor, its latest pull, answers under way, and counts of each slot."""

    cursor: str
    pull: int = 0
    waiting: bool = False
    under_way: frozenset[Answer] = frozenset()
    counted: tuple[int, ...] = (0,) * SLOTS


def initial() -> State:
    """Return the state before the first pull."""
    return State(Cursor("digest", "model", 2, 1, 0, [SLOTS]).encode())


def steps(guards: frozenset[str]) -> Callable[[State], Iterable]:
    """Return the step function for a set of guards."""

    def following(state: State) -> Iterable[tuple[str, State]]:
        if not state.waiting and state.pull < MAX_PULLS:
            yield from _pulls(state, guards)
        for answer in state.under_way:
            rest = state._replace(under_way=state.under_way - {answer})
            yield "lose", rest
            if answer.pull == state.pull or LATEST not in guards:
                counted = list(state.counted)
                for slot in answer.slots:
                    counted[slot] += 1
                yield "deliver", rest._replace(
                    cursor=answer.cursor, waiting=False, counted=tuple(counted)
                )
        if state.waiting:
            yield "give up", state._replace(waiting=False)

    return following


def _pulls(state: State, guards: frozenset[str]) -> Iterable[tuple[str, State]]:
    """Pull at a daemon that has any subset of the slots ready."""
    for ready in range(1, 1 << SLOTS):
        cursor = Cursor.decode(state.cursor)
        if BITMAP not in guards:
            cursor.delivered = 0
        wanted = cursor.unfinished_groups().get(0)
        if wanted is None:
            return
        offered = [slot for slot in range(SLOTS) if ready >> slot & 1]
        slots = tuple(slot for slot in offered if cursor.mark_delivered(0, slot))
        answer = Answer(state.pull + 1, slots, cursor.encode())
        yield f"pull {ready:b}", state._replace(
            pull=state.pull + 1, waiting=True, under_way=state.under_way | {answer}
        )


def broken(state: State) -> bool:
    """Tell whether a slot was counted twice."""
    return max(state.counted) > 1
