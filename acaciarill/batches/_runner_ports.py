"""Define what the runners of batches share."""

from collections.abc import Callable
from dataclasses import dataclass

from ..fleet import AttemptSender, Configuration, Forwarder
from ._model import EventParser, Submission
from ._scheduler import EngineScheduler


@dataclass(slots=True)
class RunnerPorts:
    """Hold the dependencies that runners share: engines, scoring, the configuration and clocks.

    `event_reader` creates a parser for the chunks of one stream. `clock` returns seconds on the
    daemon's clock, `wall_clock` seconds since 1970.
    """

    sender: AttemptSender
    scheduler: EngineScheduler
    forwarder: Forwarder
    event_reader: Callable[[], EventParser]
    configuration: Callable[[], Configuration | None]
    clock: Callable[[], float]
    wall_clock: Callable[[], float]


def select_priority_groups(submission: Submission) -> set[str]:
    """Return the groups to finish first: those whose longest text is expected to be shortest."""
    longest: dict[str, int] = {}
    for item in submission.items:
        longest[item.group] = max(longest.get(item.group, 0), item.expected_tokens)
    count = submission.desired_groups or len(longest)
    return set(sorted(longest, key=lambda group: longest[group])[:count])


class ItemFailedError(Exception):
    """Report that an item cannot be completed."""
