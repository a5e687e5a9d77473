"""A request that crashes its replicas comes again after all processes were killed at once."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-3"))

from standins import (  # noqa: E402
    Channel,
    Machines,
    Message,
    Record,
    Replica,
    run_case,
)

HOST = ("Host", "app.example")
DEADLINE = ("X-Acaciarill-Deadline-Ms", "2000")
DEADLY = "/lookup/deadly"
REPLICAS = 5
BACK_S = 3.0
DOWN_S = 1.3
CONTACT_S = 3.0
FIRST_CRASHES = 3
ALLOWED_RETRIES = 3
OBSERVED_S = 40.0


class MortalReplica(Replica):
    """Crash when a deadly request begins to run; be back some seconds later as a new lifetime."""

    crash_times: list[float] = []
    reached_times: list[float] = []

    async def run(self, request: Message, attempt: str, writer: asyncio.StreamWriter) -> None:
        if request.target != DEADLY:
            await super().run(request, attempt, writer)
            return
        self.reached_times.append(self.record.now())
        await asyncio.sleep(0.02)
        self.crash_times.append(self.record.now())
        self.record.write(f"crash of {self.name} under {attempt}")
        assert self.server is not None
        self.server.close()
        writer.transport.abort()
        asyncio.get_running_loop().create_task(self.come_back())
        for task in list(self.connections):
            task.cancel()

    async def come_back(self) -> None:
        """Start again; the entry of the lifetime before expires meanwhile."""
        await asyncio.sleep(BACK_S)
        self.store.remove("servers", self.name)
        self.name = f"{self.name.partition('.')[0]}.{len(self.crash_times)}"
        self.born = int(time.time() * 1000)
        await self.start()
        self.report()
        self.record.write(f"{self.name} is back")


def configuration() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "lookup",
                "hostname": "app.example",
                "path_prefix": "/lookup/",
                "kind": "safe",
                "service": "app",
                "timeout_ms": 3000,
                "target_latency_ms": 400,
                "max_attempts": 2,
                "priority": 0,
            }
        ],
        "services": [{"name": "app", "health_path": "/healthz", "max_conns": 140}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def send_deadly(machines: Machines, number: int) -> None:
    """Send the request once, as a requester's try, at one front after the other."""
    channel = Channel(machines.fronts[number % len(machines.fronts)], machines.record)
    try:
        await channel.open()
        await channel.send("GET", DEADLY, [HOST, DEADLINE])
    except OSError:
        machines.record.write("no connection")
    finally:
        channel.close()


async def kill_all(machines: Machines) -> None:
    """Kill all processes at the same moment, and start them again."""
    machines.record.write("SIGKILL to all processes")
    for daemon in machines.daemons:
        daemon.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for daemon in machines.daemons:
        daemon.start()
    while not all([await machines.is_ready(front) for front in machines.fronts]):  # noqa: ASYNC110
        await asyncio.sleep(0.1)
    machines.record.write("all fronts are ready again")


async def main(record: Record, trouble: bool) -> bool:
    machines = Machines(record, fronts=3, stores=2)
    try:
        for number in range(REPLICAS):
            machines.add_replica(MortalReplica, f"i-{number + 1}", "app")
        await machines.start(configuration())
        await asyncio.sleep(4.0)
        crashes, reached = MortalReplica.crash_times, MortalReplica.reached_times
        number = 0
        while len(crashes) < FIRST_CRASHES:
            number += 1
            await send_deadly(machines, number)
            await asyncio.sleep(1.0)
        await asyncio.sleep(1.0)
        if trouble:
            await kill_all(machines)
        in_touch_since = max(record.now(), crashes[FIRST_CRASHES - 1]) + CONTACT_S
        await asyncio.sleep(in_touch_since - record.now())
        while record.now() < in_touch_since + OBSERVED_S:
            number += 1
            await send_deadly(machines, number)
            await asyncio.sleep(1.0)
        late = [at for at in reached if at >= in_touch_since]
        record.write(f"{len(late)} late retries reached a replica; {len(crashes)} crashes in all")
        return len(late) > ALLOWED_RETRIES
    finally:
        machines.end()


if __name__ == "__main__":
    sys.exit(run_case(main, FOLDER))
