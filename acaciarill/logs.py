"""Write log messages as JSON lines without blocking, through a bounded buffer."""

import os
from collections import deque
from typing import Any

import orjson
from eliot import add_destinations

MAX_PENDING_LINES = 2000
MAX_WRITE_BYTES = 64 * 1024


class LineWriter:
    """Write JSON lines to a non-blocking file descriptor; drop and count lines over the bound."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending_lines: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Encode a log message, buffer it and write what the descriptor accepts."""
        message.pop("task_uuid", None)
        message.pop("task_level", None)
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
