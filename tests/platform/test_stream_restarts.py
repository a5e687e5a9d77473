"""Test that clients can take streams up after the daemons that knew them were restarted.

review/15: which software version began a stream was told to two other daemons once. After these had
been restarted as planned, only the daemon of the stream knew it, and nobody once that was stopped.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.test_stream_versions import ClientStream, VersionFleet
from tests.platform.test_whole_path import wait_until

TIMEOUT_S = 60.0
"""Timeout that ends a hanging test; no behaviour is checked against it."""
CONTACT_S = 3.0
"""Users' time after which a daemon counts as in touch."""
NEXT_RESTART_S = 2.0
RESTART_DELAY_S = 0.5
STREAMS = 16
EVENT_COUNT = 400
EVENT_INTERVAL_S = 0.15
MIN_RESUMED_SHARE = 0.5
"""Users' limit: share of the streams taken up that go on, relative to that of new streams."""
ZONES = {"f1": "a", "f2": "b", "f3": "a", "s1": "a", "s2": "b"}


@asynccontextmanager
async def run_fleet() -> AsyncIterator[VersionFleet]:
    """Run three daemons with clients, two without, and long streams of two versions."""
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            fleet = VersionFleet(tasks)
            for engine in fleet.engines:
                engine.event_count, engine.event_interval_s = EVENT_COUNT, EVENT_INTERVAL_S
            await fleet.start()
            for name in ("f3", "s2"):
                fleet.start_daemon(name, ZONES[name])
            await wait_until(lambda: fleet.daemons.keys() == ZONES.keys())
            daemons = list(fleet.daemons.values())
            await wait_until(lambda: all(len(d.members.by_name) == len(ZONES) for d in daemons))
            await wait_until(lambda: all(d.configuration and d.ready for d in daemons))
            yield fleet
            tasks.cancel_scope.cancel()


async def restart(fleet: VersionFleet, name: str, kills: bool) -> None:
    """Stop a daemon as planned, or kill it, and start it again."""
    if kills:
        fleet.scopes[name].cancel()
    else:
        fleet.stops[name].set()
    await fleet.ended[name].wait()
    await anyio.sleep(RESTART_DELAY_S)
    fleet.start_daemon(name, ZONES[name])
    await wait_until(lambda: name in fleet.daemons and fleet.daemons[name].ready)


class StreamRestartTest(PlainLoopTestCase):
    """Restart all others in turn, and then stop the daemon of the streams as planned."""

    async def check_taken_up(self, order: tuple[str, ...], kills: bool) -> None:
        async with run_fleet() as fleet, anyio.create_task_group() as readers:
            first = next(name for name in ("f1", "f2", "f3") if name not in order)
            others = [name for name in ("f1", "f2", "f3") if name != first]
            streams = [ClientStream(f"s{number}") for number in range(STREAMS)]
            broken = [anyio.Event() for _ in streams]

            async def read(stream: ClientStream, ended: anyio.Event) -> None:
                await fleet.read(first, stream)
                ended.set()

            for stream, ended in zip(streams, broken, strict=True):
                readers.start_soon(read, stream, ended)
            await wait_until(lambda: all(stream.events for stream in streams))
            for name in order:
                await restart(fleet, name, kills)
                await anyio.sleep(NEXT_RESTART_S)
            await anyio.sleep(CONTACT_S)
            fleet.stops[first].set()
            for ended in [*broken, fleet.ended[first]]:
                await ended.wait()
            new = [ClientStream(f"n{number}") for number in range(STREAMS)]
            counts = [len(stream.events) for stream in streams]
            async with anyio.create_task_group() as tries:
                for number, stream in enumerate([*streams, *new]):
                    tries.start_soon(fleet.read, others[number % 2], stream, len(stream.events) + 2)
            gone_on = sum(len(s.events) > n for s, n in zip(streams, counts, strict=True))
            begun = sum(bool(stream.events) for stream in new)
            readers.cancel_scope.cancel()
        self.assertGreaterEqual(gone_on, MIN_RESUMED_SHARE * begun)
        self.assertGreater(begun, STREAMS / 2)
        mixed = [stream.id for stream in streams if len(stream.versions()) > 1]
        self.assertEqual(mixed, [])

    async def test_fronts_and_then_keepers_are_restarted_as_planned(self) -> None:
        await self.check_taken_up(("f2", "f3", "s1", "s2"), kills=False)

    async def test_keepers_and_then_fronts_are_restarted_as_planned(self) -> None:
        await self.check_taken_up(("s2", "s1", "f1", "f3"), kills=False)

    async def test_fronts_and_then_keepers_are_killed_in_turn(self) -> None:
        await self.check_taken_up(("f2", "f1", "s1", "s2"), kills=True)

    async def test_keepers_and_then_fronts_are_killed_in_turn(self) -> None:
        await self.check_taken_up(("s1", "f2", "s2", "f3"), kills=True)

    # A rolling upgrade from 03f8a1e: that build does not know the message of several streams.
    async def test_daemons_of_an_earlier_build_are_told_one_stream_at_a_time(self) -> None:
        async with run_fleet() as fleet:
            for name in ("f2", "f3", "s1", "s2"):
                del fleet.daemons[name].peers.server.handlers["streams_begun"]
            versions = fleet.daemons["f1"].stream_versions
            keys = [f"k{number}" for number in range(STREAMS)]
            for key in keys:
                versions.record(key, "v1")
            others = [fleet.daemons[n].stream_versions for n in ("f2", "f3", "s1", "s2")]
            with anyio.fail_after(CONTACT_S):
                await wait_until(
                    lambda: all(sum(o.get(key) == "v1" for o in others) >= 2 for key in keys)
                )
            self.assertFalse(any(versions.untold.values()))
