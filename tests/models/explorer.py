"""Explore all reachable states of a model, breadth first."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

Step = tuple[str, Hashable]


@dataclass(slots=True)
class Exploration:
    """Hold the number of states, and the steps to a state that violates a guarantee, if any."""

    states: int
    counter_example: list[str] | None


def explore(
    initial: Hashable,
    steps: Callable[[Hashable], Iterable[Step]],
    is_violated: Callable[[Hashable], bool],
    limit: int = 3_000_000,
) -> Exploration:
    """Explore the states up to the first violation; raise RuntimeError above `limit` states."""
    predecessors: dict[Hashable, tuple[Hashable, str] | None] = {initial: None}
    queue = deque([initial])
    while queue:
        state = queue.popleft()
        if is_violated(state):
            return Exploration(len(predecessors), _path(predecessors, state))
        for name, next_state in steps(state):
            if next_state not in predecessors:
                predecessors[next_state] = (state, name)
                queue.append(next_state)
        if len(predecessors) > limit:
            raise RuntimeError(f"the model has over {limit} states")
    return Exploration(len(predecessors), None)


def _path(predecessors: dict, state: Hashable) -> list[str]:
    step_names: list[str] = []
    while (previous := predecessors[state]) is not None:
        state, name = previous
        step_names.append(name)
    return step_names[::-1]
