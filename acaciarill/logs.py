"""Write one JSON line for each decision to standard output, bounded and without blocking."""

import os
from collections import deque
from typing import Any

import orjson
from eliot import add_destinations

MAX_LINES_WAITING = 2000
MAX_BYTES_AT_ONCE = 64 * 1024


class LineWriter:
    """Write lines to a file descriptor; drops and counts what does not fit."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of the log."""
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        if len(self.waiting) >= MAX_LINES_WAITING:
            self.dropped += 1
            return
        if self.dropped and not self.waiting:
            self.waiting.append(b'{"message_type":"log:dropped","lines":%d}\n' % self.dropped)
            self.dropped = 0
        self.waiting.append(orjson.dumps(message, default=str) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line[:MAX_BYTES_AT_ONCE])
            except BlockingIOError:
                return
            if written < len(line):
                self.waiting[0] = line[written:]
            else:
                self.waiting.popleft()


def add_log_output(descriptor: int) -> LineWriter:
    """Send the log to a file descriptor."""
    writer = LineWriter(descriptor)
    add_destinations(writer)
    return writer
