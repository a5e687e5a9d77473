"""Synchronise a table of counts with one peer by sending a few changed entries per message."""

import random
import struct
from collections import Counter

from .const import MAX_CHANGES_PER_MESSAGE, ROTATED_CHANGES_PER_MESSAGE

CountKey = tuple[int, int]
CountTable = Counter[CountKey]

_HEADER = struct.Struct(">HHH")
"""Acknowledged version of the recipient's table, base version (0 for a full table), new version."""
_ENTRY = struct.Struct(">BHH")
"""Both parts of the key, and the count."""
_MAX_TABLE_VERSION = 65_535
_MAX_COUNT = 65_535


class TableSender:
    """Send one peer the entries that differ from its copy, the largest differences first.

    A peer that did not acknowledge the last table version gets the full table.
    """

    def __init__(self) -> None:
        self.peer_table: CountTable = Counter()
        self.table_version = 0
        self.last_rotated_key: CountKey = (0, 0)
        # Random, so that a restarted sender doesn't continue the versions of the previous one.
        self.next_table_version = random.randrange(1, _MAX_TABLE_VERSION)

    def pack(self, table: CountTable, acked_version: int, received_version: int) -> bytes:
        """Return the next message for the peer.

        `acked_version` is the version of this table that the peer last acknowledged,
        `received_version` the version of the peer's table to acknowledge to it.
        """
        full = not self.table_version or acked_version != self.table_version
        base = 0 if full else self.table_version
        peer_table: CountTable = Counter() if full else self.peer_table
        changed = [key for key in table.keys() | peer_table.keys() if table[key] != peer_table[key]]
        if not full:
            changed = self._select_changes(changed, table)
        if full or changed:
            self.table_version = self.next_table_version
            self.next_table_version = self.next_table_version % _MAX_TABLE_VERSION + 1
        entries = [(*key, min(table[key], _MAX_COUNT)) for key in sorted(changed)]
        self.peer_table = _apply_entries(peer_table, entries)
        return _HEADER.pack(received_version, base, self.table_version) + b"".join(
            _ENTRY.pack(*entry) for entry in entries
        )

    def _select_changes(self, changed: list[CountKey], table: CountTable) -> list[CountKey]:
        """Return the keys with the largest differences, and a few of the others in rotation."""
        if len(changed) <= MAX_CHANGES_PER_MESSAGE:
            return changed
        changed.sort(key=lambda key: (-abs(table[key] - self.peer_table[key]), key))
        largest = MAX_CHANGES_PER_MESSAGE - ROTATED_CHANGES_PER_MESSAGE
        others = sorted(changed[largest:])
        following = [key for key in others if key > self.last_rotated_key]
        rotated = [*following, *others][:ROTATED_CHANGES_PER_MESSAGE]
        self.last_rotated_key = rotated[-1]
        return [*changed[:largest], *rotated]


class TableReceiver:
    """Maintain the copy of one peer's table."""

    def __init__(self) -> None:
        self.table: CountTable = Counter()
        self.table_version = 0

    def apply(self, data: bytes) -> bool:
        """Apply a message; return False if it is malformed or based on another version."""
        if len(data) < _HEADER.size or (len(data) - _HEADER.size) % _ENTRY.size:
            return False
        _, base, table_version = _HEADER.unpack_from(data)
        if base not in (0, self.table_version) or not table_version:
            return False
        entries = list(_ENTRY.iter_unpack(data[_HEADER.size :]))
        self.table = _apply_entries(self.table if base else Counter(), entries)
        self.table_version = table_version
        return True


def read_acked_version(data: bytes) -> int:
    """Return the version that a message acknowledges, or 0 for none."""
    return _HEADER.unpack_from(data)[0] if len(data) >= _HEADER.size else 0


def _apply_entries(table: CountTable, entries: list[tuple[int, int, int]]) -> CountTable:
    """Return a copy of the table with the entries set; entries with a count of zero are removed."""
    updated = table.copy()
    for first, second, count in entries:
        updated[first, second] = count
    return +updated
