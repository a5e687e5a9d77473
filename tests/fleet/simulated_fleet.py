"""Simulate daemons that tell each other of streams while they are stopped, killed and started."""

import math
import random
from typing import Any

import anyio
import anyio.abc

from acaciarill.errors import Outcome, PeerError, Step
from acaciarill.fleet import ROLE_FRONT, Member, Members, StreamRecord, StreamVersions
from acaciarill.fleet.const import (
    FINAL_HAND_OVER_S,
    PING_PERIOD_S,
    PING_TIMEOUT_S,
    STREAM_HOLDERS_PERIOD_S,
)

CALL_S = 0.01
DRAIN_S = {True: (2.6, 7.2), False: (0.1, 7.2)}
"""Shortest and longest time of a planned stop, by whether the daemon has clients."""
LAST_S = 1.0
"""End of a planned stop in which the loss of another host is not noticed any more."""


class SimulatedDaemon:
    """Hold one process: what it knows of the others and of streams."""

    def __init__(self, fleet: "SimulatedFleet", name: str, role: str, start: int) -> None:
        self.fleet, self.name = fleet, name
        self.incarnation = f"{name}.{start}"
        self.scopes: list[anyio.CancelScope] = []
        self.ends_at = math.inf
        self.members = Members(name, name, "dc", role, anyio.current_time)
        self.versions = StreamVersions(
            self.members, self.tell, self.ask, anyio.current_time, self.start_task
        )

    def start_task(self, function: Any, *arguments: Any) -> None:
        """Run a coroutine until this daemon ends."""

        async def run() -> None:
            with anyio.CancelScope() as scope:
                self.scopes.append(scope)
                await function(*arguments)

        self.fleet.tasks.start_soon(run)

    async def run(self) -> None:
        """Ping the others and keep streams known until cancelled."""
        names = [Member(n, n, "dc", r, True) for n, r in self.fleet.roles.items()]
        self.members.update_registered(names)
        await self.ping_all()
        next_ping_at = 0.0
        while True:
            await self.versions.update_holders()
            if anyio.current_time() >= next_ping_at:
                next_ping_at = anyio.current_time() + PING_PERIOD_S
                others = [n for n in self.members.by_name if n != self.name]
                for name in {*self.members.predecessors(), self.fleet.rng.choice(others)}:
                    self.start_task(self.ping, name)
            await anyio.sleep(STREAM_HOLDERS_PERIOD_S)

    def end(self) -> None:
        """End the process at once."""
        for scope in self.scopes:
            scope.cancel()

    async def ping_all(self) -> None:
        """Ping all others at once, and wait for the replies."""
        async with anyio.create_task_group() as pings:
            for name in self.fleet.roles.keys() - {self.name}:
                pings.start_soon(self.ping, name)

    async def ping(self, name: str) -> None:
        """Exchange states with another daemon."""
        try:
            other = await self.fleet.reach(name)
        except PeerError:
            self.members.record_ping_failure(name)
            return
        for here, there in ((self, other), (other, self)):
            own = there.members.own
            here.members.record_ping(
                own.name, own.name, "dc", own.role, True, own.draining, False, there.incarnation
            )

    async def tell(self, name: str, records: list[StreamRecord]) -> None:
        """Tell another daemon of streams; the message or its confirmation may be lost."""
        other = await self.call(name)
        for record in records:
            other.versions.store(
                record.stream_key, record.software_version, record.remaining_s, self.incarnation
            )
        self.fleet.lose_some()

    async def ask(self, name: str, stream_key: str) -> StreamRecord | None:
        """Ask another daemon for a stream."""
        return (await self.call(name)).versions.get_record(stream_key)

    async def call(self, name: str) -> "SimulatedDaemon":
        try:
            other = await self.fleet.reach(name)
            self.fleet.lose_some()
        except PeerError:
            self.start_task(self.ping, name)
            raise
        return other


class SimulatedFleet:
    """Run daemons by their names; those that are down refuse connections or do not respond.

    With `lingers`, planned stops take a random time, else the shortest one.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, seed: int, fronts: int, keepers: int, loss: float = 0.0
    ) -> None:
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.loss = loss
        self.roles = {f"f{number}": ROLE_FRONT for number in range(fronts)}
        self.roles |= {f"k{number}": "keeper" for number in range(keepers)}
        self.up: dict[str, SimulatedDaemon] = {}
        self.silent: set[str] = set()
        self.lingers = True
        self.start_count = 0

    def start(self, name: str) -> SimulatedDaemon:
        """Start a process, with nothing in memory."""
        self.start_count += 1
        self.silent.discard(name)
        daemon = SimulatedDaemon(self, name, self.roles[name], self.start_count)
        self.up[name] = daemon
        daemon.start_task(daemon.run)
        return daemon

    def kill(self, name: str, loses_power: bool = False) -> None:
        """End a process at once; without power its host does not respond to connections."""
        self.up.pop(name).end()
        if loses_power:
            self.silent.add(name)

    async def stop(self, name: str) -> None:
        """Stop a process as planned."""
        daemon = self.up[name]
        daemon.members.own.draining = True
        shortest_s, longest_s = DRAIN_S[self.roles[name] == ROLE_FRONT]
        drain_s = self.rng.uniform(shortest_s, longest_s) if self.lingers else shortest_s
        daemon.ends_at = anyio.current_time() + drain_s
        with anyio.move_on_after(longest_s):
            await daemon.ping_all()
            await daemon.versions.hand_over()
            while (remaining_s := daemon.ends_at - anyio.current_time()) > 0:
                await anyio.sleep(min(PING_PERIOD_S, remaining_s))
                await daemon.ping_all()
                await daemon.versions.hand_over()
        with anyio.move_on_after(FINAL_HAND_OVER_S):
            await daemon.ping_all()
            await daemon.versions.hand_over()
        if self.up.get(name) is daemon:
            self.kill(name)

    def staying(self) -> list[str]:
        """Return the daemons that are up and are not being stopped."""
        return [name for name, daemon in self.up.items() if not daemon.members.own.draining]

    def knowers(self, stream_key: str) -> set[str]:
        """Return the daemons that know a stream, without those in the last second of a stop."""
        now = anyio.current_time()
        return {
            name
            for name, daemon in self.up.items()
            if daemon.versions.get(stream_key) is not None and daemon.ends_at - now > LAST_S
        }

    async def reach(self, name: str) -> SimulatedDaemon:
        """Return a daemon that is up; raise PeerError, late if its host does not respond."""
        await anyio.sleep(PING_TIMEOUT_S if name in self.silent else CALL_S)
        if name not in self.up:
            raise PeerError("unreachable", step=Step.CONNECT, outcome=Outcome.NOT_RUN)
        return self.up[name]

    def lose_some(self) -> None:
        """Raise PeerError for some of the messages."""
        if self.rng.random() < self.loss:
            raise PeerError("lost", step=Step.FORWARD)
