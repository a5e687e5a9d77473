"""Describe batches, their items and their results."""

from dataclasses import dataclass, field
from typing import Any

import orjson

FIRST_EPOCH = 1
"""Counts the owners of a batch; each change of the owner adds one."""


@dataclass(slots=True, frozen=True)
class ScoreRequest:
    """Hold the request that scores a finished text."""

    id: str
    host: str
    path: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Item:
    """Hold one generation of a batch; the items of a group share their prompt."""

    id: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    tokens: int
    group: str
    expected_tokens: int = 0
    score: ScoreRequest | None = None


@dataclass(slots=True, frozen=True)
class Submission:
    """Hold what a trainer submitted."""

    model: str
    min_version: int
    desired_groups: int
    items: tuple[Item, ...]


@dataclass(slots=True, frozen=True)
class BatchHead:
    """Hold the small object that makes a batch accepted; `submitted_at` is in true time, s.

    `configuration` is the version under which it was accepted.
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
        """Read a head from a decoded object."""
        return cls(**value)


@dataclass(slots=True, frozen=True)
class Result:
    """Hold the outcome of one item; a completed one names the versions that made its text."""

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
        """Read a result from a row of a stored segment."""
        return cls(row[0], row[1], row[2], tuple(row[3]), row[4])


@dataclass(slots=True)
class ResultPage:
    """Hold the results from one position on; `next` is the position after them."""

    total: int
    next_position: int
    results: list[Result] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """Hold one event of a generation; `version` is set where the weights changed."""

    id: int
    data: str
    version: int | None = None
