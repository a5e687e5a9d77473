"""Check the order of a lease's holders in random histories on a virtual clock."""

import random
import unittest
from dataclasses import dataclass

from acaciarill.errors import StoreError
from acaciarill.leases import LeaseHolder
from tests.fakes.store import FakeStore

TTL_S = 2.0
TURN_S = 3.0
"""Holders must not act in the order A, B, A within this time."""
RENEW_S = 0.5
TICK_S = 0.1
HISTORY_S = 60.0
HOSTS = ("a", "b", "c")
HISTORIES = 100


@dataclass(slots=True)
class Host:
    """Hold the process of a host, which does nothing until `down_until`."""

    name: str
    holder: LeaseHolder
    down_until: float = 0.0
    must_restart: bool = False


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    """Stop, kill and freeze hosts, lose the store and give leases up, in series that overlap."""

    def setUp(self) -> None:
        self.now = 0.0

    def new_holder(self, name: str, store: FakeStore, return_delay_s: float) -> LeaseHolder:
        return LeaseHolder(
            "control",
            name,
            store,
            lambda: self.now,
            ttl_s=TTL_S,
            return_delay_s=return_delay_s,
        )

    async def run_history(self, seed: int, return_delay_s: float) -> list[tuple[float, str]]:
        """Return who acted when."""
        rng, store = random.Random(seed), FakeStore()
        self.now = 0.0
        hosts = [Host(name, self.new_holder(name, store, return_delay_s)) for name in HOSTS]
        acts: list[tuple[float, str]] = []
        renewals = {host.name: rng.uniform(0, RENEW_S) for host in hosts}
        while self.now < HISTORY_S:
            self.now += TICK_S
            store.unavailable = rng.random() < 0.02
            for host in rng.sample(hosts, len(hosts)):
                if self.now < host.down_until:
                    continue
                if host.must_restart:
                    host.holder = self.new_holder(host.name, store, return_delay_s)
                    host.must_restart = False
                if host.holder.is_held():
                    acts.append((self.now, host.name))
                try:
                    if self.now >= renewals[host.name]:
                        renewals[host.name] = self.now + RENEW_S
                        await host.holder.renew_or_acquire()
                    await self.disturb(host, rng)
                except StoreError:
                    continue
        return acts

    async def disturb(self, host: Host, rng: random.Random) -> None:
        """Stop, kill or freeze a host, or let it give its lease up; holders more often."""
        if rng.random() > (0.06 if host.holder.is_held() else 0.01):
            return
        kind = rng.choice(("stop", "kill", "freeze", "give up"))
        host.must_restart = kind in ("stop", "kill")
        if kind != "give up":
            host.down_until = self.now + rng.uniform(0.1, 4.0)
        if kind in ("stop", "give up"):
            await host.holder.release()

    def shortest_turn_s(self, acts: list[tuple[float, str]]) -> float:
        """Return the shortest time between two acts of one host with another's between them."""
        shortest = HISTORY_S
        last_at: dict[str, float] = {}
        previous = ""
        for at, name in acts:
            if name != previous and name in last_at:
                shortest = min(shortest, at - last_at[name])
            last_at[name], previous = at, name
        return shortest

    async def test_holders_do_not_take_turns(self) -> None:
        changes = 0
        for seed in range(HISTORIES):
            acts = await self.run_history(seed, TURN_S)
            self.assertGreaterEqual(self.shortest_turn_s(acts), TURN_S, f"seed {seed}")
            names = [name for _, name in acts]
            changes += sum(a != b for a, b in zip(names, names[1:], strict=False))
        self.assertGreater(changes, HISTORIES)

    async def test_holders_take_turns_without_the_return_delay(self) -> None:
        turns = [self.shortest_turn_s(await self.run_history(seed, 0.0)) for seed in range(30)]
        self.assertLess(min(turns), TURN_S)
