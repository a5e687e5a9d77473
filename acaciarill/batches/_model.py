"""Define batches, their items and their results."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

import orjson

from ..stored_forms import build_record

FIRST_EPOCH = 1
"""Epoch of a batch under its first owner; each change of owner adds 1."""


@dataclass(slots=True, frozen=True)
class ScoreRequest:
    """Hold the request that scores a finished text."""

    id: str
    host: str
    path: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Item:
    """Hold one generation request of a batch; the items of a group share their prompt.

    `expected_tokens` is the client's estimate of the output length, 0 if there is none.
    `max_output_tokens` is how many tokens the client allows, 0 if it sets no limit.
    """

    id: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    tokens: int
    group: str
    expected_tokens: int = 0
    score: ScoreRequest | None = None
    max_output_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Submission:
    """Hold a submitted batch; `desired_groups` is how many groups to finish first (0: all)."""

    model: str
    min_version: int
    desired_groups: int
    items: tuple[Item, ...]


@dataclass(slots=True, frozen=True)
class BatchHead:
    """Hold the object whose creation accepts a batch; `submitted_at` is in seconds since 1970.

    `total` counts the items, `parts` the objects that hold the submitted bytes, and `digest` is a
    hash of these bytes. `configuration` is the configuration version under which the batch was
    accepted.
    """

    customer: str
    host: str
    path: str
    submitted_at: float
    total: int
    parts: int
    digest: str
    owner: str
    epoch: int = FIRST_EPOCH
    ended: bool = False
    configuration: int = 0

    def encode(self) -> bytes:
        """Return the head as JSON."""
        return orjson.dumps(self)

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "BatchHead":
        """Create a head from its decoded JSON; raise TypeError if a field is missing."""
        return build_record(cls, value)


@dataclass(slots=True, frozen=True)
class Result:
    """Hold the outcome of an item; a completed one has the weight versions that generated it."""

    id: str
    state: str
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str | None = None

    def row(self) -> list[Any]:
        """Return the result as a row of a stored segment."""
        return [self.id, self.state, self.text, list(self.versions), self.score]

    @classmethod
    def from_row(cls, row: list[Any]) -> "Result":
        """Create a result from a row of a stored segment."""
        return cls(row[0], row[1], row[2], tuple(row[3]), row[4])


@dataclass(slots=True)
class ResultPage:
    """Hold results from a position on; `total` counts the items of the batch."""

    total: int
    next_position: int
    results: list[Result] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """Hold one event of a generation; `version` is set where the weight version changed."""

    id: int
    data: str
    version: int | None = None


class EventParser(Protocol):
    """Parse the chunks of one stream."""

    def __call__(self, chunk: bytes) -> Iterable[StreamEvent]:
        """Return the events that a chunk completes; raise UpstreamError if one is malformed."""

    def check_end(self) -> None:
        """Raise UpstreamError if the stream has ended in the middle of an event."""
