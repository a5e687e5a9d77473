"""Track which samples of a step a consumer of a trainer has received."""

import base64
import binascii
from dataclasses import dataclass
from itertools import accumulate

from ..errors import BadRequestError, Step
from ..peers import decode, encode, messages
from .const import MAX_SAMPLES_PER_STEP


@dataclass(slots=True)
class Cursor:
    """Hold the group sizes of a step and the bitmap of its delivered samples.

    A sample is identified by group and index, never by its id, so a sample that was generated again
    is not delivered twice. The groups are assigned to the consumers round-robin, by group number.
    """

    digest: str
    model: str
    staleness_bound: int
    consumers: int
    consumer: int
    group_sizes: list[int]
    delivered: int = 0

    @property
    def sample_count(self) -> int:
        """Return how many samples the step has."""
        return sum(self.group_sizes)

    def encode(self) -> str:
        """Return the cursor as an opaque string for the trainer."""
        byte_count = (self.sample_count + 7) // 8
        message = messages.Cursor(
            digest=self.digest,
            model=self.model,
            staleness_bound=self.staleness_bound,
            consumers=self.consumers,
            consumer=self.consumer,
            group_sizes=self.group_sizes,
            delivered=self.delivered.to_bytes(byte_count, "little"),
        )
        return base64.urlsafe_b64encode(encode(message)).decode()

    @classmethod
    def decode(cls, text: str) -> "Cursor":
        """Parse an encoded cursor; raise BadRequestError when it is invalid."""
        try:
            message = decode(messages.Cursor, base64.urlsafe_b64decode(text.encode()))
            cursor = cls(
                message.digest,
                message.model,
                int(message.staleness_bound),
                int(message.consumers),
                int(message.consumer),
                list(message.group_sizes),
                int.from_bytes(message.delivered, "little"),
            )
        except (binascii.Error, ValueError, TypeError, BadRequestError) as error:
            raise _invalid_cursor_error() from error
        is_valid = (
            isinstance(cursor.digest, str)
            and isinstance(cursor.model, str)
            and 0 < cursor.sample_count <= MAX_SAMPLES_PER_STEP
            and all(size > 0 for size in cursor.group_sizes)
            and 0 <= cursor.consumer < cursor.consumers
            and cursor.delivered < 1 << cursor.sample_count
        )
        if not is_valid:
            raise _invalid_cursor_error()
        return cursor

    def group_offsets(self) -> list[int]:
        """Return the position of each group's first sample in the bitmap."""
        return [0, *accumulate(self.group_sizes)][:-1]

    def unfinished_groups(self) -> dict[int, int]:
        """Return the delivered bitmaps of the groups that this consumer has not finished."""
        unfinished: dict[int, int] = {}
        for group, (offset, size) in enumerate(
            zip(self.group_offsets(), self.group_sizes, strict=True)
        ):
            if group % self.consumers != self.consumer:
                continue
            all_delivered = (1 << size) - 1
            group_delivered = (self.delivered >> offset) & all_delivered
            if group_delivered != all_delivered:
                unfinished[group] = group_delivered
        return unfinished

    def mark_delivered(self, group: int, index: int) -> bool:
        """Mark a sample as delivered; return False if it is unknown or was delivered before."""
        if not 0 <= group < len(self.group_sizes) or not 0 <= index < self.group_sizes[group]:
            return False
        bit = 1 << (self.group_offsets()[group] + index)
        if self.delivered & bit:
            return False
        self.delivered |= bit
        return True

    def remaining_samples(self) -> int:
        """Return how many samples this consumer has not received yet."""
        return sum(
            self.group_sizes[group] - group_delivered.bit_count()
            for group, group_delivered in self.unfinished_groups().items()
        )


def _invalid_cursor_error() -> BadRequestError:
    return BadRequestError("cursor: not a valid cursor", step=Step.PARSE, code="bad-cursor")
