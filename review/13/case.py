"""A machine leaves for good; some seconds later another one is stopped as planned."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))

from standins import (  # noqa: E402
    GRACE_S,
    Channel,
    Machines,
    Outcome,
    Record,
    StreamReplica,
    run_case,
)

HOST = ("Host", "app.example")
DEADLINE = ("X-Acaciarill-Deadline-Ms", "5000")
SHORT_CHANNELS = 8
LONG_CHANNELS = 6
LONG_PATH = "/notes/long"
LONG_EVENTS = 60
"""A long stream takes 3 s."""
CONTACT_S = 3.0
EARLY_S = 3.0


def configuration() -> dict:
    common = {
        "hostname": "app.example",
        "timeout_ms": 6000,
        "target_latency_ms": 500,
        "max_attempts": 2,
        "priority": 0,
    }
    return {
        "version": 3,
        "routes": [
            common
            | {
                "name": "notes",
                "path_prefix": "/notes/",
                "kind": "stream",
                "service": "notes",
                "resumable": True,
            },
        ],
        "services": [
            {"name": "notes", "health_path": "/healthz", "max_conns": 140},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 30000,
        },
    }


async def use_channel(
    channel: Channel, target: str, delay_s: float, outcomes: list[Outcome]
) -> None:
    """Send one request after the other until the daemon closes the channel."""
    await asyncio.sleep(delay_s)
    await channel.open()
    while channel.is_open and not channel.has_ended():
        outcomes.append(await channel.send("POST", target, [HOST, DEADLINE]))
        await asyncio.sleep(0.05)


def is_lost(outcome: Outcome, began: dict[str, float], stopped_at: float) -> bool:
    """Return whether LOST counts a request, by its clause on planned work."""
    if outcome.is_complete or outcome.attempt not in began:
        return False
    if not stopped_at <= outcome.ended_at <= stopped_at + GRACE_S + 1.0:
        return False
    # Not counted: at work in the last sixth of grace_s on a request sent soon after the SIGTERM.
    was_sent_early = outcome.sent_at <= stopped_at + EARLY_S
    return not (was_sent_early and outcome.ended_at >= stopped_at + GRACE_S * 5 / 6)


async def main(record: Record, trouble: bool) -> bool:
    machines = Machines(record, fronts=3, stores=2)
    try:
        for name in ("i-1", "i-2"):
            replica = machines.add_replica(StreamReplica, name, "notes")
            replica.events_by_path[LONG_PATH] = LONG_EVENTS
        await machines.start(configuration())
        first, leaving = machines.fronts[0], machines.fronts[2]
        outcomes: list[Outcome] = []
        uses = [
            asyncio.ensure_future(
                use_channel(Channel(first, record), target, number * 0.37, outcomes)
            )
            for number, target in enumerate(
                ["/notes/short"] * SHORT_CHANNELS + [LONG_PATH] * LONG_CHANNELS
            )
        ]
        await asyncio.sleep(6.0)
        if trouble:
            await machines.stop_daemon(leaving)
            machines.take_away(leaving)
        else:
            await asyncio.sleep(3.0)
        await asyncio.sleep(CONTACT_S + 3.0)
        stopped_at = record.now()
        await machines.stop_daemon(first)
        await asyncio.wait(uses, timeout=5.0)
        began: dict[str, float] = {}
        for replica in machines.replicas:
            began |= replica.began
        lost = [outcome for outcome in outcomes if is_lost(outcome, began, stopped_at)]
        for outcome in lost:
            record.write(
                f"LOST {outcome.attempt}: sent {outcome.sent_at - stopped_at:.2f} s after the"
                f" SIGTERM, passed on, channel ended at {outcome.ended_at - stopped_at:.2f} s"
            )
        complete = sum(outcome.is_complete for outcome in outcomes)
        record.write(f"{len(outcomes)} requests, {complete} complete answers, {len(lost)} lost")
        return bool(lost)
    finally:
        machines.end()


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
