"""Model the delivery of a group's samples along a chain of cursors, with the real Cursor class.

Two daemons each have a sample for every index of one group, because both believe that they produce
the group. A response may be lost, or arrive after the trainer has abandoned its pull.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from acaciarill.trainers import Cursor

BITMAP, LATEST_PULL_ONLY = "bitmap", "latest pull only"
"""Guards.

Without the bitmap of delivered samples in the cursor a daemon delivers the sample of another daemon
again. If a trainer accepts responses of earlier pulls, a late one delivers samples again.
"""
ALL_GUARDS = frozenset({BITMAP, LATEST_PULL_ONLY})
GROUP_SIZE = 3
MAX_PULLS = 5


class PullResponse(NamedTuple):
    """A response in flight: its pull, the indexes of its samples, and the next cursor."""

    pull: int
    sample_indexes: tuple[int, ...]
    cursor: str


class State(NamedTuple):
    """The trainer's cursor and latest pull, responses in flight, and deliveries of each sample."""

    cursor: str
    pull: int = 0
    awaiting_response: bool = False
    in_flight: frozenset[PullResponse] = frozenset()
    delivery_counts: tuple[int, ...] = (0,) * GROUP_SIZE


def initial() -> State:
    """Return the state before the first pull."""
    return State(Cursor("digest", "model", 2, 1, 0, [GROUP_SIZE]).encode())


def steps(guards: frozenset[str]) -> Callable[[State], Iterable]:
    """Return the function that yields the steps from a state under a set of guards."""

    def next_steps(state: State) -> Iterable[tuple[str, State]]:
        if not state.awaiting_response and state.pull < MAX_PULLS:
            yield from _pull_steps(state, guards)
        for response in state.in_flight:
            without_response = state._replace(in_flight=state.in_flight - {response})
            yield "lose", without_response
            if response.pull == state.pull or LATEST_PULL_ONLY not in guards:
                delivery_counts = list(state.delivery_counts)
                for index in response.sample_indexes:
                    delivery_counts[index] += 1
                yield "deliver", without_response._replace(
                    cursor=response.cursor,
                    awaiting_response=False,
                    delivery_counts=tuple(delivery_counts),
                )
        if state.awaiting_response:
            yield "give up", state._replace(awaiting_response=False)

    return next_steps


def _pull_steps(state: State, guards: frozenset[str]) -> Iterable[tuple[str, State]]:
    """Pull from a daemon that has any subset of the samples ready."""
    for ready_bitmap in range(1, 1 << GROUP_SIZE):
        cursor = Cursor.decode(state.cursor)
        if BITMAP not in guards:
            cursor.delivered = 0
        delivered_bitmap = cursor.unfinished_groups().get(0)
        if delivered_bitmap is None:
            return
        ready_indexes = [index for index in range(GROUP_SIZE) if ready_bitmap >> index & 1]
        sample_indexes = tuple(index for index in ready_indexes if cursor.mark_delivered(0, index))
        response = PullResponse(state.pull + 1, sample_indexes, cursor.encode())
        yield f"pull {ready_bitmap:b}", state._replace(
            pull=state.pull + 1, awaiting_response=True, in_flight=state.in_flight | {response}
        )


def violates_guarantee(state: State) -> bool:
    """Return whether a sample was delivered twice."""
    return max(state.delivery_counts) > 1
