"""Test that a flood of log lines is bounded and hides no other lines."""

import os
import unittest

import orjson

from acaciarill.logs import MAX_BURST_LINES, MAX_LINES_PER_S, LineWriter


class LineWriterTest(unittest.TestCase):
    """Write to a pipe on a clock that the test sets."""

    def setUp(self) -> None:
        self.now = 0.0
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.writer = LineWriter(writer, lambda: self.now)

    def write(self, message_type: str, count: int) -> list[dict[str, object]]:
        """Write some messages and return the lines that come out."""
        output = b""
        for _ in range(count):
            self.writer({"message_type": message_type})
            try:
                output += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                continue
        return [orjson.loads(line) for line in output.splitlines()]

    def test_flood_of_one_type_is_bounded_and_hides_no_other(self) -> None:
        self.assertEqual(len(self.write("edge:rejected", 10_000)), MAX_BURST_LINES)
        self.assertEqual(len(self.write("daemon:draining", 1)), 1)
        self.now += 1.0
        lines = self.write("edge:rejected", 10_000)
        self.assertEqual(len(lines), MAX_LINES_PER_S)
        self.assertEqual(lines[0]["suppressed_lines"], 10_000 - MAX_BURST_LINES)

    def test_usual_lines_are_all_written(self) -> None:
        for _ in range(100):
            self.now += 1.0
            self.assertEqual(len(self.write("request:completed", 60)), 60)
