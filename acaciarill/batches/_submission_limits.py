"""Limit what submissions make a process hold; pure functions."""

from collections.abc import Iterable
from dataclasses import dataclass

from ._model import BatchHead, Submission
from .const import (
    ITEM_OVERHEAD_BYTES,
    MAX_PART_CHARACTERS,
    RETENTION_MARGIN_S,
    SUBMISSION_MEMORY_SHARE,
    VALUE_BYTES,
)


@dataclass(slots=True, frozen=True)
class SubmissionLimits:
    """Limit the submitted bytes of the batches that one daemon owns, and the values of one.

    `total_bytes` bounds the open batches of an owner, and the submissions that a daemon caches.
    """

    total_bytes: int = 32 * 1024 * 1024
    max_values: int = 300_000

    @classmethod
    def from_memory(cls, memory_bytes: int) -> "SubmissionLimits":
        """Return the limits that follow from the memory of the process."""
        share = int(memory_bytes * SUBMISSION_MEMORY_SHARE)
        return cls(share, share // VALUE_BYTES)


def count_values(body: bytes) -> int:
    """Return an upper limit of the JSON values in a body, without decoding it.

    A decoded value takes many times the bytes of a short one.
    """
    return 1 + body.count(b",") + body.count(b"[") + body.count(b"{")


def submission_bytes(submission: Submission) -> int:
    """Return about what a decoded submission takes in memory."""
    bodies = sum(
        len(item.body) + (len(item.score.body) if item.score is not None else 0)
        for item in submission.items
    )
    return bodies + ITEM_OVERHEAD_BYTES * len(submission.items)


def open_bytes(heads: Iterable[BatchHead], owner: str, retention_s: float, now: float) -> int:
    """Return about how many submitted bytes of open batches an owner holds.

    Batches older than their retention are left out: their items are done or given up.
    """
    oldest = now - retention_s - RETENTION_MARGIN_S
    return sum(
        head.parts * MAX_PART_CHARACTERS
        for head in heads
        if head.owner == owner and not head.ended and head.submitted_at >= oldest
    )
