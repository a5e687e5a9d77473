"""Write log messages as JSON lines without blocking, through a bounded buffer."""

import os
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
from eliot import add_destinations

MAX_PENDING_LINES = 2000
MAX_LINES_PER_S = 100
MAX_BURST_LINES = 2000
"""Limits of the lines of one message type; a busy day of a whole system has some 60 a second."""
MAX_WRITE_BYTES = 64 * 1024


@dataclass(slots=True)
class LineRate:
    """Allow lines of one message type up to a rate, after a burst."""

    allowed: float = MAX_BURST_LINES
    updated_at: float = 0.0
    suppressed: int = 0

    def allow(self, now: float) -> bool:
        """Return whether a line may be written, and count it if not."""
        earned = (now - self.updated_at) * MAX_LINES_PER_S
        self.allowed = min(MAX_BURST_LINES, self.allowed + earned)
        self.updated_at = now
        if self.allowed < 1:
            self.suppressed += 1
            return False
        self.allowed -= 1
        return True


class LineWriter:
    """Write JSON lines to a non-blocking file descriptor; drop and count lines over the bounds.

    Each message type has its own rate, so that a flood of one kind hides no other; how many lines
    of it were left out is written with the next one that is not.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.rates: dict[str, LineRate] = {}
        self.pending_lines: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Encode a log message, buffer it and write what the descriptor accepts."""
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        rate = self.rates.setdefault(str(message.get("message_type")), LineRate())
        if not rate.allow(self.clock()):
            return
        if rate.suppressed:
            message["suppressed_lines"], rate.suppressed = rate.suppressed, 0
        if len(self.pending_lines) >= MAX_PENDING_LINES:
            self.dropped += 1
            return
        if self.dropped and not self.pending_lines:
            self.pending_lines.append(b'{"message_type":"log:dropped","lines":%d}\n' % self.dropped)
            self.dropped = 0
        self.pending_lines.append(orjson.dumps(message, default=str) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self.pending_lines:
            line = self.pending_lines[0]
            try:
                written = os.write(self.descriptor, line[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            if written < len(line):
                self.pending_lines[0] = line[written:]
            else:
                self.pending_lines.popleft()


def add_log_output(descriptor: int) -> LineWriter:
    """Add a file descriptor as a destination of the log and return its writer."""
    writer = LineWriter(descriptor)
    add_destinations(writer)
    return writer
