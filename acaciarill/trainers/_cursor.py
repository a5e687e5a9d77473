"""Carry what a trainer has received from pull to pull."""

import base64
import binascii
from dataclasses import dataclass
from itertools import accumulate

from ..errors import BadRequestError, Step
from ..peers import decode, encode, messages
from .const import MAX_SLOTS


@dataclass(slots=True)
class Cursor:
    """Hold a step's shape and the bitmap of delivered slots; it names slots, never samples."""

    digest: str
    model: str
    staleness_bound: int
    consumers: int
    consumer: int
    group_sizes: list[int]
    delivered: int = 0

    @property
    def slots(self) -> int:
        """Return how many slots the step has."""
        return sum(self.group_sizes)

    def encode(self) -> str:
        """Return the cursor as the opaque text that a trainer keeps."""
        length = (self.slots + 7) // 8
        message = messages.Cursor(
            digest=self.digest,
            model=self.model,
            staleness_bound=self.staleness_bound,
            consumers=self.consumers,
            consumer=self.consumer,
            group_sizes=self.group_sizes,
            delivered=self.delivered.to_bytes(length, "little"),
        )
        return base64.urlsafe_b64encode(encode(message)).decode()

    @classmethod
    def decode(cls, text: str) -> "Cursor":
        """Read a cursor; raise BadRequestError when it is not one."""
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
            raise _bad_cursor() from error
        sound = (
            isinstance(cursor.digest, str)
            and isinstance(cursor.model, str)
            and 0 < cursor.slots <= MAX_SLOTS
            and all(size > 0 for size in cursor.group_sizes)
            and 0 <= cursor.consumer < cursor.consumers
            and cursor.delivered < 1 << cursor.slots
        )
        if not sound:
            raise _bad_cursor()
        return cursor

    def starts(self) -> list[int]:
        """Return the first slot of each group."""
        return [0, *accumulate(self.group_sizes)][:-1]

    def unfinished_groups(self) -> dict[int, int]:
        """Return this consumer's unfinished groups with the bitmap of their delivered slots."""
        wanted: dict[int, int] = {}
        for group, (start, size) in enumerate(zip(self.starts(), self.group_sizes, strict=True)):
            if group % self.consumers != self.consumer:
                continue
            full = (1 << size) - 1
            bits = (self.delivered >> start) & full
            if bits != full:
                wanted[group] = bits
        return wanted

    def mark_delivered(self, group: int, index: int) -> bool:
        """Mark a slot as delivered; tell whether it was not before."""
        if not 0 <= group < len(self.group_sizes) or not 0 <= index < self.group_sizes[group]:
            return False
        bit = 1 << (self.starts()[group] + index)
        if self.delivered & bit:
            return False
        self.delivered |= bit
        return True

    def remaining(self) -> int:
        """Return how many slots this consumer still lacks."""
        return sum(
            self.group_sizes[group] - bits.bit_count()
            for group, bits in self.unfinished_groups().items()
        )


def _bad_cursor() -> BadRequestError:
    return BadRequestError(
        "cursor: not a cursor of this service", step=Step.PARSE, code="bad-cursor"
    )
