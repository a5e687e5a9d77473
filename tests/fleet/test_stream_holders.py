"""Test that what a fleet knows of streams outlives restarts in any order, in virtual time."""

import itertools
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from acaciarill.fleet.const import MAX_STREAMS_PER_MESSAGE, STREAM_VERSION_TTL_S
from tests.fakes.virtual_loop import run_in_virtual_time
from tests.fleet.simulated_fleet import SimulatedFleet

CONTACT_S = 3.0
"""Users' time after which a daemon counts as in touch."""
NEXT_RESTART_S = 2.0
"""Users' pause after a start before the next daemon is stopped."""
RESTART_DELAY_S = 0.5
STREAMS = 24
SEEDS = range(40)
ACTIONS = 12


@asynccontextmanager
async def run_fleet(
    fronts: int, keepers: int, seed: int = 1, loss: float = 0.0
) -> AsyncIterator[SimulatedFleet]:
    """Run a fleet until the end of the block."""
    async with anyio.create_task_group() as tasks:
        fleet = SimulatedFleet(tasks, seed, fronts, keepers, loss)
        for name in fleet.roles:
            fleet.start(name)
        await anyio.sleep(CONTACT_S)
        yield fleet
        tasks.cancel_scope.cancel()


def begin(fleet: SimulatedFleet, name: str, count: int = STREAMS) -> list[str]:
    """Begin streams at a daemon; return their keys."""
    keys = [f"{name}-{fleet.start_count}-{number}" for number in range(count)]
    for key in keys:
        fleet.up[name].versions.record(key, "v1")
    return keys


async def restart(fleet: SimulatedFleet, name: str, kills: bool = False) -> None:
    """Stop or kill a daemon and start it again."""
    if kills:
        fleet.kill(name)
    else:
        await fleet.stop(name)
    await anyio.sleep(RESTART_DELAY_S)
    fleet.start(name)


class StreamHoldersTest(unittest.TestCase):
    """Restart the daemons that know streams, and take the streams up at all others."""

    async def check_known(self, fleet: SimulatedFleet, keys: list[str]) -> None:
        """Check that each daemon that stays finds all streams."""
        for name in fleet.staying():
            versions = fleet.up[name].versions
            unknown = [key for key in keys if await versions.find(key, 1.0) != "v1"]
            self.assertEqual(unknown, [], f"not found at {name}")

    # review/15: records were told once. After their holders had been restarted as planned, only the
    # daemon of the stream knew its version, and nobody once that one was stopped.
    def test_restart_of_all_others_in_each_order_before_the_daemon_of_the_streams(self) -> None:
        async def play(order: tuple[str, ...], kills: tuple[bool, ...]) -> None:
            async with run_fleet(3, 2) as fleet:
                keys = begin(fleet, "f0")
                await anyio.sleep(1.0)
                for name, is_killed in zip(order, kills, strict=True):
                    await restart(fleet, name, is_killed)
                    await anyio.sleep(NEXT_RESTART_S)
                await anyio.sleep(CONTACT_S)
                await fleet.stop("f0")
                await self.check_known(fleet, keys)

        for order in itertools.permutations(("f1", "f2", "k0", "k1")):
            for kills in ((False,) * 4, (True,) * 4, (True, False) * 2):
                with self.subTest(order=order, kills=kills):
                    run_in_virtual_time(play(order, kills))

    def test_restart_of_all_daemons_several_times(self) -> None:
        async def play(fronts: int, keepers: int, kills: bool) -> None:
            async with run_fleet(fronts, keepers) as fleet:
                keys = begin(fleet, "f0")
                await anyio.sleep(1.0)
                for name in list(fleet.roles) * 3:
                    await restart(fleet, name, kills)
                    await anyio.sleep(CONTACT_S)
                # A take-up spreads what it finds, so streams are taken up at the end only.
                await self.check_known(fleet, keys)

        for fronts, keepers in ((3, 2), (8, 3), (2, 1), (4, 0)):
            for kills in (False, True):
                with self.subTest(fronts=fronts, keepers=keepers, kills=kills):
                    run_in_virtual_time(play(fronts, keepers, kills))

    def test_planned_stop_of_the_only_daemon_that_knows(self) -> None:
        async def play(role: str, loses_power: bool) -> None:
            async with run_fleet(3, 2) as fleet:
                keys = begin(fleet, "f0")
                await anyio.sleep(1.0)
                fleet.lingers = False
                kept = next(n for n in sorted(fleet.knowers(keys[0])) if n[0] == role and n != "f0")
                for name in fleet.roles.keys() - {kept}:
                    fleet.kill(name, loses_power)
                await anyio.sleep(RESTART_DELAY_S)
                for name in fleet.roles.keys() - {kept}:
                    fleet.start(name)
                known = [key for key in keys if kept in fleet.knowers(key)]
                await fleet.stop(kept)
                await self.check_known(fleet, known)

        for role in ("f", "k"):
            for loses_power in (False, True):
                with self.subTest(role=role, loses_power=loses_power):
                    run_in_virtual_time(play(role, loses_power))

    def test_hosts_are_replaced_by_new_ones(self) -> None:
        async def play() -> None:
            async with run_fleet(6, 3) as fleet:
                keys = begin(fleet, "f0")
                await anyio.sleep(1.0)
                for number, name in enumerate(list(fleet.roles)):
                    new_name = f"{name[0]}{10 + number}"
                    fleet.roles[new_name] = fleet.roles[name]
                    fleet.start(new_name)
                    await fleet.stop(name)
                    fleet.silent.add(name)
                    await anyio.sleep(CONTACT_S)
                await self.check_known(fleet, keys)

        run_in_virtual_time(play())

    def test_many_hosts_are_added(self) -> None:
        async def play() -> None:
            async with run_fleet(3, 2) as fleet:
                keys = begin(fleet, "f0")
                await anyio.sleep(1.0)
                for number in range(10, 28):
                    name = f"{'fk'[number % 2]}{number}"
                    fleet.roles[name] = fleet.roles[f"{name[0]}1"]
                    fleet.start(name)
                await anyio.sleep(CONTACT_S)
                await self.check_known(fleet, keys)

        run_in_virtual_time(play())

    # A daemon that became known by its incarnation meanwhile was told half a second later.
    def test_streams_that_begin_while_daemons_become_known_are_told_at_once(self) -> None:
        async def play(seed: int) -> None:
            async with anyio.create_task_group() as tasks:
                fleet = SimulatedFleet(tasks, seed, 3, 2)
                for name in fleet.roles:
                    fleet.start(name)
                    await anyio.sleep(fleet.rng.uniform(0.0, 0.05))
                keys: list[str] = []
                for number in range(60):
                    keys.append(f"s{number}")
                    fleet.up["f0"].versions.record(keys[-1], "v1")
                    await anyio.sleep(0.005)
                await anyio.sleep(0.1)
                few = [key for key in keys if len(fleet.knowers(key)) < 3]
                self.assertEqual(few, [])
                tasks.cancel_scope.cancel()

        for seed in range(10):
            with self.subTest(seed=seed):
                run_in_virtual_time(play(seed))

    def test_random_restarts_that_overlap(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_in_virtual_time(self.play_random(seed))

    async def play_random(self, seed: int) -> None:
        """Stop, kill and start daemons at random; kills leave one daemon that knows each stream."""
        fronts, keepers = ((3, 2), (8, 3), (4, 0))[seed % 3]
        async with run_fleet(fronts, keepers, seed, loss=0.1) as fleet:
            keys: list[str] = []
            rng = fleet.rng

            async def stop_and_start(name: str) -> None:
                await fleet.stop(name)
                await anyio.sleep(rng.uniform(0.3, 4.0))
                fleet.start(name)

            async def start_later(name: str) -> None:
                await anyio.sleep(rng.uniform(0.3, 6.0))
                fleet.start(name)

            for _ in range(ACTIONS):
                await anyio.sleep(rng.choice((0.1, 1.0, 3.0)))
                staying = fleet.staying()
                front = rng.choice([n for n in staying if n.startswith("f")] or [""])
                if front:
                    keys += begin(fleet, front, 4)
                    await anyio.sleep(0.3)
                if len(staying) < 3:
                    continue
                name = rng.choice(staying)
                leaves_one = all(fleet.knowers(key) - {name} for key in keys)
                if rng.random() < 0.5 and leaves_one:
                    fleet.kill(name, rng.random() < 0.5)
                    fleet.tasks.start_soon(start_later, name)
                else:
                    fleet.tasks.start_soon(stop_and_start, name)
            await anyio.sleep(20.0)
            fleet.loss = 0.0
            await self.check_known(fleet, keys)


class StreamMessagesTest(unittest.TestCase):
    """Count the messages and records of a fleet whose daemons are restarted."""

    def test_streams_are_told_in_few_messages(self) -> None:
        async def play() -> None:
            async with run_fleet(3, 2) as fleet:
                count = 5 * MAX_STREAMS_PER_MESSAGE
                keys = begin(fleet, "f0", count)
                versions = fleet.up["f0"].versions
                sizes: list[int] = []
                versions.on_told = lambda outcome, size: sizes.append(size)
                await anyio.sleep(1.0)
                self.assertEqual(sum(sizes), 2 * count)
                self.assertLessEqual(len(sizes), 2 * 5 + 4)
                sizes.clear()
                await anyio.sleep(10.0)
                self.assertEqual(sizes, [], "nothing changed, and streams were told again")
                self.assertEqual(versions.untold, {})
                self.assertEqual(len(keys), len(versions.beginnings))

        run_in_virtual_time(play())

    def test_records_are_not_kept_for_longer_by_restarts(self) -> None:
        async def play() -> None:
            async with run_fleet(3, 2) as fleet:
                keys = begin(fleet, "f0")
                began_at = anyio.current_time()
                await anyio.sleep(1.0)
                for name in ("f0", "f1", "k0", "f2", "k1"):
                    await restart(fleet, name)
                    await anyio.sleep(CONTACT_S)
                await anyio.sleep(began_at + STREAM_VERSION_TTL_S + 1.0 - anyio.current_time())
                self.assertEqual([key for key in keys if fleet.knowers(key)], [])

        run_in_virtual_time(play())
