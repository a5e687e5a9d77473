"""Provide a wall clock that does not jump when the system time is set."""

import time
from collections.abc import Callable


class WallClock:
    """Add the time since the start, by the boot clock, to the system time at the start."""

    def __init__(
        self, clock: Callable[[], float], system_time: Callable[[], float] = time.time
    ) -> None:
        self.clock = clock
        self.offset = system_time() - clock()

    def now(self) -> float:
        """Return the Unix time in seconds."""
        return self.clock() + self.offset
