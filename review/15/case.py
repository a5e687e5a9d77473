"""All machines are restarted in turn while long streams run; their requesters take them up."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))

from standins import (  # noqa: E402
    Channel,
    Daemon,
    Machines,
    Record,
    StreamReplica,
    read_body,
    read_head,
    run_case,
)

HOST = ("Host", "app.example")
STREAMS = 16
EVENTS = 400
EVENT_S = 0.15
TIME_LIMIT_MS = 60000
CONTACT_S = 3.0
RESTART_DELAY_S = 0.5
TAKE_UP_DELAY_S = 0.3
TRIES = 4
TRY_PAUSE_S = 0.7


def configuration() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "notes",
                "hostname": "app.example",
                "path_prefix": "/notes/",
                "kind": "stream",
                "service": "notes",
                "resumable": True,
                "timeout_ms": TIME_LIMIT_MS,
                "target_latency_ms": 2000,
                "max_attempts": 3,
                "priority": 0,
            }
        ],
        "services": [{"name": "notes", "health_path": "/healthz", "max_conns": 140}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Stream:
    """Hold what a requester has of one stream, over all its tries."""

    def __init__(self, machines: Machines, number: int) -> None:
        self.machines = machines
        self.record = machines.record
        self.number = number
        self.first_attempt = ""
        self.event_ids: list[int] = []
        self.statuses: list[int] = []

    async def try_at(self, daemon: Daemon) -> None:
        """Ask for the stream, or its rest, and read events until the channel ends."""
        attempt = f"{random.getrandbits(64):016x}"
        headers = [HOST, ("X-Acaciarill-Deadline-Ms", str(TIME_LIMIT_MS))]
        if self.event_ids:
            headers += [("Last-Event-Id", str(self.event_ids[-1])), ("Resumes", self.first_attempt)]
        else:
            self.first_attempt = attempt
        lines = [f"POST /notes/{self.number} HTTP/1.1", f"X-Acaciarill-Attempt-Id: {attempt}"]
        lines += [f"{name}: {value}" for name, value in headers] + ["Content-Length: 0"]
        channel = Channel(daemon, self.record)
        try:
            await channel.open()
            assert channel.reader is not None and channel.writer is not None
            self.record.write(f"send {attempt} to {daemon.name} {headers[2:]}")
            channel.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            head = await read_head(channel.reader)
            self.statuses.append(head.status)
            self.record.write(f"answer {attempt} {head.status}")
            if head.status == 200:
                await read_body(channel.reader, head, self._read_event)
        except (OSError, asyncio.IncompleteReadError):
            self.record.write(f"channel ended {attempt}, {len(self.event_ids)} events so far")
        finally:
            channel.close()

    def _read_event(self, chunk: bytes) -> None:
        self.event_ids.append(int(chunk.partition(b"id: ")[2].split(b"\n")[0]))


async def use_stream(stream: Stream, first: Daemon, others: list[Daemon]) -> None:
    """Read a stream at one daemon; once it breaks off, take it up at the others."""
    await stream.try_at(first)
    await asyncio.sleep(TAKE_UP_DELAY_S)
    for number in range(TRIES):
        count = len(stream.event_ids)
        await stream.try_at(others[(stream.number + number) % len(others)])
        if len(stream.event_ids) > count:
            return
        await asyncio.sleep(TRY_PAUSE_S)


async def restart(machines: Machines, daemon: Daemon) -> None:
    """Stop a process as planned, and start it again."""
    await machines.stop_daemon(daemon)
    await asyncio.sleep(RESTART_DELAY_S)
    daemon.start()
    machines.record.write(f"{daemon.name} is started again")
    await asyncio.sleep(2.0)


async def main(record: Record, trouble: bool) -> bool:
    machines = Machines(record, fronts=3, stores=2)
    try:
        for name in ("i-1", "i-2", "i-3"):
            replica = machines.add_replica(StreamReplica, name, "notes")
            assert isinstance(replica, StreamReplica)
            replica.events, replica.event_s = EVENTS, EVENT_S
        await machines.start(configuration())
        await asyncio.sleep(4.0)
        last, others = machines.fronts[0], machines.fronts[1:]
        streams = [Stream(machines, number) for number in range(STREAMS)]
        uses = [asyncio.ensure_future(use_stream(stream, last, others)) for stream in streams]
        await asyncio.sleep(2.0)
        if trouble:
            for daemon in [*others, *machines.stores]:
                await restart(machines, daemon)
        else:
            await asyncio.sleep(20.0)
        await asyncio.sleep(CONTACT_S + 1.0)
        counts = [len(stream.event_ids) for stream in streams]
        record.write(f"{sum(map(bool, counts))} streams have begun and go on")
        stop = asyncio.ensure_future(machines.stop_daemon(last))
        while not all(len(stream.statuses) > 1 for stream in streams):  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        new_streams = [Stream(machines, STREAMS + number) for number in range(STREAMS)]
        news = [
            asyncio.ensure_future(stream.try_at(others[stream.number % 2]))
            for stream in new_streams
        ]
        await stop
        await asyncio.sleep(TRIES * TRY_PAUSE_S + 3.0)
        for task in [*uses, *news]:
            task.cancel()
        await asyncio.gather(*uses, *news, return_exceptions=True)
        gone_on = sum(200 in stream.statuses[1:] for stream in streams)
        begun = sum(bool(stream.event_ids) for stream in new_streams)
        for stream in streams:
            ids = stream.event_ids
            if ids != list(range(1, len(ids) + 1)):
                record.write(f"stream {stream.number} has events missing or twice")
        record.write(f"{gone_on} of {STREAMS} streams went on; {begun} of {STREAMS} new ones began")
        return gone_on / STREAMS < begun / STREAMS / 2
    finally:
        machines.end()


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
