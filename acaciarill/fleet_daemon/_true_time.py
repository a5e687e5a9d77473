"""Estimate true time although the time of day may jump."""

import time
from collections.abc import Callable


class TrueTime:
    """Return true time as the time of day at the start plus what the boot clock has run since."""

    def __init__(
        self, clock: Callable[[], float], time_of_day: Callable[[], float] = time.time
    ) -> None:
        self.clock = clock
        self.offset = time_of_day() - clock()

    def now(self) -> float:
        """Return seconds since the start of 1970."""
        return self.clock() + self.offset
