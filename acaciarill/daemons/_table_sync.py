"""Keep a peer's copy of a table of counts current by a few changes in each message."""

import random
import struct
from collections import Counter

from .const import CHANGES_IN_TURN, MAX_CHANGES_PER_MESSAGE

Key = tuple[int, int]
Table = Counter[Key]

_HEADER = struct.Struct(">HHH")
"""The number that the writer holds of the reader's table, the base, and the new number."""
_ENTRY = struct.Struct(">BHH")
_MOST_NUMBERS = 65_535
_MOST_COUNT = 65_535


class TableSender:
    """Know what one peer holds and tell it what differs, the largest differences first.

    A peer that does not confirm the last number gets the whole table.
    """

    def __init__(self) -> None:
        self.held: Table = Counter()
        self.table_version = 0
        self.last_in_turn: Key = (0, 0)
        # Another incarnation of this sender must not continue the numbers of the one before.
        self.following = random.randrange(1, _MOST_NUMBERS)

    def pack(self, table: Table, confirmed: int, holding: int) -> bytes:
        """Return the next message; `confirmed` is the number that the peer last said it holds."""
        whole = not self.table_version or confirmed != self.table_version
        base = 0 if whole else self.table_version
        held: Table = Counter() if whole else self.held
        changed = [key for key in table.keys() | held.keys() if table[key] != held[key]]
        if not whole:
            changed = self._most_urgent(changed, table)
        if whole or changed:
            self.table_version = self.following
            self.following = self.following % _MOST_NUMBERS + 1
        entries = [(*key, min(table[key], _MOST_COUNT)) for key in sorted(changed)]
        self.held = _apply(held, entries)
        return _HEADER.pack(holding, base, self.table_version) + b"".join(
            _ENTRY.pack(*entry) for entry in entries
        )

    def _most_urgent(self, changed: list[Key], table: Table) -> list[Key]:
        """Return the largest differences, and a few of the others in turn."""
        if len(changed) <= MAX_CHANGES_PER_MESSAGE:
            return changed
        changed.sort(key=lambda key: (-abs(table[key] - self.held[key]), key))
        largest = MAX_CHANGES_PER_MESSAGE - CHANGES_IN_TURN
        others = sorted(changed[largest:])
        after = [key for key in others if key > self.last_in_turn]
        in_turn = [*after, *others][:CHANGES_IN_TURN]
        self.last_in_turn = in_turn[-1]
        return [*changed[:largest], *in_turn]


class TableReceiver:
    """Hold the copy of one peer's table."""

    def __init__(self) -> None:
        self.table: Table = Counter()
        self.table_version = 0

    def take(self, data: bytes) -> bool:
        """Apply a message; tell whether it fitted what is held here."""
        if len(data) < _HEADER.size or (len(data) - _HEADER.size) % _ENTRY.size:
            return False
        _, base, number = _HEADER.unpack_from(data)
        if base not in (0, self.table_version) or not number:
            return False
        entries = list(_ENTRY.iter_unpack(data[_HEADER.size :]))
        self.table = _apply(self.table if base else Counter(), entries)
        self.table_version = number
        return True


def confirmed_in(data: bytes) -> int:
    """Return the number that the writer of a message says it holds, 0 for none."""
    return _HEADER.unpack_from(data)[0] if len(data) >= _HEADER.size else 0


def _apply(table: Table, entries: list[tuple[int, int, int]]) -> Table:
    changed = table.copy()
    for first, second, count in entries:
        changed[first, second] = count
    return +changed
