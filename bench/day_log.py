"""Tell from the log of a played day when each batch ran and what its slowest texts waited for."""

import re
import sys
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

import orjson

_LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{.*\})$")


@dataclass(slots=True)
class BatchTimes:
    """Hold what the log tells of one batch; times are seconds of the day."""

    accepted_at: float
    attempts: dict[str, list[tuple[float, dict[str, Any]]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    finished_at: float = 0.0


def read_log(path: Path) -> list[tuple[float, str, dict[str, Any]]]:
    """Return the time, the host and the fields of each log line."""
    entries = []
    for line in path.read_text(errors="replace").splitlines():
        match = _LINE.match(line)
        if match is not None:
            entries.append((float(match[1]), match[2], orjson.loads(match[3])))
    return entries


def collect_batches(entries: list[tuple[float, str, dict[str, Any]]]) -> dict[str, BatchTimes]:
    """Return the times of each batch by its id."""
    batches: dict[str, BatchTimes] = {}
    for at, _, entry in entries:
        kind, batch = entry.get("message_type"), entry.get("batch")
        if batch is None:
            continue
        if kind == "batch:accepted":
            batches.setdefault(batch, BatchTimes(at))
        elif kind == "item:attempt" and batch in batches:
            batches[batch].attempts[entry["request"]].append((at, entry))
        elif kind == "batch:finished" and batch in batches:
            batches[batch].finished_at = at
    return batches


def event_intervals(batches: dict[str, BatchTimes]) -> dict[str, list[float]]:
    """Return the seconds per event of whole texts, by engine."""
    intervals: dict[str, list[float]] = defaultdict(list)
    for times in batches.values():
        for attempts in times.attempts.values():
            _, entry = attempts[0]
            whole = len(attempts) == 1 and entry["status"] == 200 and not entry["reason"]
            if whole and (entry["last_event"] or 0) >= 10:
                intervals[entry["upstream"]].append(entry["ran_s"] / entry["last_event"])
    return intervals


def print_report(path: Path) -> None:
    """Print a row for each batch, the reasons of cut attempts and the pace of the engines."""
    entries = read_log(path)
    batches = collect_batches(entries)
    print("accepted  items  tries | wait median, max | end 50%, 90%, all | longest text: tries")
    reasons: dict[str, int] = defaultdict(int)
    for times in sorted(batches.values(), key=lambda times: times.accepted_at):
        if not times.attempts:
            continue
        ends = sorted(a[-1][0] - times.accepted_at for a in times.attempts.values())
        waits = sorted(sum(e["waited_s"] for _, e in a) for a in times.attempts.values())
        slowest = max(times.attempts.values(), key=lambda attempts: attempts[-1][0])
        tries = "; ".join(
            f"{e['waited_s']:.2f}+{e['ran_s']:.2f} to {e['last_event']} {e['reason'] or 'whole'}"
            for _, e in slowest
        )
        for attempts in times.attempts.values():
            for _, entry in attempts:
                reasons[entry["reason"] or "whole"] += 1
        print(
            f"{times.accepted_at:8.2f} {len(ends):6d} {sum(map(len, times.attempts.values())):6d}"
            f" | {median(waits):5.2f} {waits[-1]:5.2f}"
            f" | {ends[len(ends) // 2]:5.2f} {ends[int(len(ends) * 0.9)]:5.2f} {ends[-1]:5.2f}"
            f" | {tries}"
        )
    print("attempts ended:", dict(sorted(reasons.items(), key=lambda item: -item[1])))
    paces = [median(values) for values in event_intervals(batches).values()]
    if paces:
        print(f"seconds per event, median by engine: {min(paces):.4f} to {max(paces):.4f}")


if __name__ == "__main__":
    print_report(Path(sys.argv[1]))
