"""Distribute the occupancy of a data centre's upstreams along its tree, one byte per upstream."""

import struct
from collections.abc import Callable

from ..config import ConfigCoordinator
from .const import (
    OBSERVED_OCCUPANCY_TTL_S,
    OCCUPANCY_RESEND_PERIOD_S,
    OCCUPANCY_ROW_MIN_PERIOD_S,
    OCCUPANCY_STEPS,
    UNKNOWN_OCCUPANCY,
)

_ENTRY = struct.Struct(">HB")
"""Index of an upstream, and its occupancy in steps."""


class OccupancyTable:
    """Hold the occupancy of each upstream of one data centre, quantised to 1/OCCUPANCY_STEPS.

    An upstream's index is its position in the sorted names of a configuration revision, so
    messages of another revision are ignored. Occupancies go up from child to parent, and a row
    with those of all upstreams goes down.
    """

    def __init__(
        self, config: ConfigCoordinator, data_centre: str, clock: Callable[[], float]
    ) -> None:
        self.config = config
        self.data_centre = data_centre
        self.clock = clock
        self.names: list[str] = []
        self.revision = 0
        self.occupancy_steps: dict[str, int] = {}
        self.observed_at: dict[str, float] = {}
        self.unsent: set[str] = set()
        self.sent_at: dict[str, float] = {}
        self.row_sent_at: dict[str, float] = {}
        self.listeners: list[Callable[[str, float], None]] = []
        config.subscribe(self._refresh)

    def subscribe(self, listener: Callable[[str, float], None]) -> Callable[[], None]:
        """Call the listener with an upstream's name and the occupancy that another daemon polled.

        Return the unsubscribe function.
        """
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def _refresh(self) -> None:
        document = self.config.document
        self.names = sorted(
            upstream.name
            for upstream in document.upstreams.values()
            if upstream.data_centre == self.data_centre
        )
        self.revision = document.revision
        configured = set(self.names)
        self.occupancy_steps = {
            name: steps for name, steps in self.occupancy_steps.items() if name in configured
        }
        self.unsent &= configured

    def observe(self, name: str, occupancy: float) -> None:
        """Store an occupancy that this daemon polled; mark it for sending when changed or due."""
        if name not in self.names:
            return
        now = self.clock()
        steps = min(UNKNOWN_OCCUPANCY - 1, round(occupancy * OCCUPANCY_STEPS))
        sent_recently = (
            now - self.sent_at.get(name, now - OCCUPANCY_RESEND_PERIOD_S)
            < OCCUPANCY_RESEND_PERIOD_S
        )
        if self.occupancy_steps.get(name) != steps or not sent_recently:
            self.sent_at[name] = now
            self.unsent.add(name)
        self.observed_at[name] = now
        self.occupancy_steps[name] = steps

    def pop_unsent(self) -> tuple[bytes, set[str]]:
        """Return the packed occupancies to send to the parent, and the names of their upstreams."""
        names, self.unsent = self.unsent, set()
        indexes = [(index, name) for index, name in enumerate(self.names) if name in names]
        return (
            b"".join(_ENTRY.pack(index, self.occupancy_steps[name]) for index, name in indexes),
            names,
        )

    def restore_unsent(self, names: set[str]) -> None:
        """Mark occupancies that did not reach the parent for sending again."""
        self.unsent |= names

    def apply_child_occupancies(self, revision: int, packed: bytes | None) -> None:
        """Store the occupancies that a child sent, and mark them for sending to the parent."""
        if not packed or revision != self.revision or len(packed) % _ENTRY.size:
            return
        for index, steps in _ENTRY.iter_unpack(packed):
            if index < len(self.names):
                name = self.names[index]
                self.unsent.add(name)
                self._set_occupancy(name, steps)

    def row(self) -> bytes:
        """Return the occupancy of every upstream, in the order of the indexes."""
        return bytes(self.occupancy_steps.get(name, UNKNOWN_OCCUPANCY) for name in self.names)

    def row_for_child(self, child: str) -> bytes | None:
        """Return the row for a child, or None if it got one within OCCUPANCY_ROW_MIN_PERIOD_S."""
        now = self.clock()
        if (
            now - self.row_sent_at.get(child, now - OCCUPANCY_ROW_MIN_PERIOD_S)
            < OCCUPANCY_ROW_MIN_PERIOD_S
        ):
            return None
        self.row_sent_at[child] = now
        return self.row()

    def apply_parent_row(self, revision: int, row: bytes | None) -> None:
        """Store the parent's row, except occupancies that this daemon polled recently."""
        if row is None or revision != self.revision or len(row) != len(self.names):
            return
        oldest_valid = self.clock() - OBSERVED_OCCUPANCY_TTL_S
        for name, steps in zip(self.names, row, strict=True):
            if steps != UNKNOWN_OCCUPANCY and self.observed_at.get(name, 0.0) < oldest_valid:
                self._set_occupancy(name, steps)

    def _set_occupancy(self, name: str, steps: int) -> None:
        self.occupancy_steps[name] = steps
        for listener in list(self.listeners):
            listener(name, steps / OCCUPANCY_STEPS)
