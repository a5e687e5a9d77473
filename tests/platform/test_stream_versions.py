"""Test that no stream holds events of upstreams of two software versions."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from acaciarill.errors import UpstreamError
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.fakes import CrashingReplica, submission
from tests.platform.test_whole_path import TEST_TIMEOUT_S, LocalFleet, wait_until

MAX_MIXED_STREAMS = 2
"""Users' limit on streams with events of two software versions."""
MIN_RESUMED_SHARE = 0.5
"""Users' limit: share of the streams taken up that go on, relative to that of new streams."""
EVENT_COUNT = 12


@dataclass(slots=True)
class ClientStream:
    """Hold what a client has received of a stream over all its tries."""

    id: str
    events: list[tuple[int, str]] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    first_attempt: str = ""
    complete: bool = False

    def versions(self) -> set[str]:
        """Return the software versions whose events the stream holds."""
        return {version for _, version in self.events}


class VersionFleet(LocalFleet):
    """Run two engines each of two software versions."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        super().__init__(tasks)
        self.engines = [self.build_engine(f"e{n}", "v1" if n < 2 else "v2") for n in range(4)]

    def build_engine(self, name: str, software_version: str) -> CrashingReplica:
        """Return an engine that marks its events with its software version."""
        engine = CrashingReplica(self.store, name, "llm", "a")
        engine.models, engine.marks_events = {"m": 1}, True
        engine.software_version = software_version
        engine.event_count, engine.event_interval_s = EVENT_COUNT, 0.05
        return engine

    def of_version(self, software_version: str) -> list[CrashingReplica]:
        """Return the engines with a software version."""
        return [e for e in self.engines if e.software_version == software_version]

    async def read(self, daemon: str, stream: ClientStream, stop_after: int | None = None) -> None:
        """Begin a stream or take it up; leave after some events, or at its end."""
        attempt = f"{stream.id}-{len(stream.statuses)}"
        headers = [
            (b"Host", b"h.example"),
            (b"Authorization", b"Bearer key-1"),
            (b"X-Acaciarill-Model", b"m"),
            (b"X-Acaciarill-Attempt-Id", attempt.encode()),
            (b"X-Acaciarill-Deadline-Ms", b"20000"),
        ]
        if stream.events:
            headers.append((b"Last-Event-Id", str(stream.events[-1][0]).encode()))
            headers.append((b"Resumes", stream.first_attempt.encode()))
        address = self.daemons[daemon].settings.callers
        status = 0
        try:
            async with self.pool.exchange(
                address, "POST", "/g/1", headers, b"x", new_connection=True
            ) as exchange:
                head = await exchange.read_head()
                status = head.status
                if status != 200:
                    stream.errors.append((await exchange.read_body()).decode())
                    return
                partial = b""
                async for chunk in exchange.chunks():
                    *blocks, partial = (partial + chunk).split(b"\n\n")
                    for block in blocks:
                        self.add_event(stream, attempt, block.decode())
                        if stop_after is not None and len(stream.events) >= stop_after:
                            return
                stream.complete = True
        except UpstreamError:
            pass  # the stream broke off
        finally:
            stream.statuses.append(status)

    def add_event(self, stream: ClientStream, attempt: str, block: str) -> None:
        """Append one event to what the client has."""
        event_id, data = block.split("\n")
        number = int(event_id.partition(": ")[2])
        assert number == len(stream.events), f"event {number} after {len(stream.events)} events"
        if not stream.events:
            stream.first_attempt = attempt
        stream.events.append((number, data.partition("@")[2]))

    async def read_all(
        self, streams: list[ClientStream], rng: random.Random, stop_after: int | None = None
    ) -> None:
        """Read all streams at once, each at a daemon that is drawn by lot."""
        async with anyio.create_task_group() as readers:
            for stream in streams:
                readers.start_soon(self.read, rng.choice(["f1", "f2"]), stream, stop_after)

    async def restart_fronts(self) -> None:
        """Kill all daemons with clients at once, and start them again."""
        for name in ("f1", "f2"):
            self.scopes[name].cancel()
        await anyio.sleep(0.3)
        for name, zone in (("f1", "a"), ("f2", "b")):
            self.start_daemon(name, zone)
        await wait_until(lambda: len(self.daemons) == 3)
        fronts = [self.daemons["f1"], self.daemons["f2"]]
        await wait_until(lambda: all(d.configuration and d.ready for d in fronts))
        await wait_until(lambda: all(d.table.states_for("llm") for d in fronts))


@asynccontextmanager
async def run_fleet() -> AsyncIterator[VersionFleet]:
    """Run daemons and engines until the end of the block."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            fleet = VersionFleet(tasks)
            await fleet.start()
            yield fleet
            tasks.cancel_scope.cancel()


class StreamVersionTest(PlainLoopTestCase):
    """Break streams off while two software versions serve, and take them up again."""

    def check_complete(self, streams: list[ClientStream]) -> None:
        self.assertEqual(
            [(s.id, s.statuses, s.errors, len(s.events)) for s in streams if not s.complete], []
        )

    def check(self, streams: list[ClientStream]) -> None:
        mixed = [stream.id for stream in streams if len(stream.versions()) > 1]
        self.assertLessEqual(len(mixed), MAX_MIXED_STREAMS, mixed)

    def check_resumed_share(self, taken_up: list[ClientStream], new: list[ClientStream]) -> None:
        resumed_share = sum(stream.complete for stream in taken_up) / len(taken_up)
        new_share = sum(stream.complete for stream in new) / len(new)
        self.assertGreaterEqual(resumed_share, MIN_RESUMED_SHARE * new_share)
        self.assertGreater(new_share, 0.5)

    # Streams that clients took up held a first part of one version and the rest of another.
    async def test_streams_taken_up_at_other_daemons_stay_at_the_version_that_began_them(
        self,
    ) -> None:
        rng = random.Random(1)
        async with run_fleet() as fleet:
            streams = [ClientStream(f"s{n}") for n in range(24)]
            await fleet.read_all(streams, rng, stop_after=4)
            self.assertEqual({v for s in streams for v in s.versions()}, {"v1", "v2"})
            await fleet.read_all(streams, rng)
            new = [ClientStream(f"n{n}") for n in range(24)]
            await fleet.read_all(new, rng)
        self.check(streams)
        self.check_resumed_share(streams, new)

    async def test_streams_taken_up_after_all_daemons_with_clients_were_killed(self) -> None:
        rng = random.Random(2)
        async with run_fleet() as fleet:
            streams = [ClientStream(f"s{n}") for n in range(24)]
            async with anyio.create_task_group() as readers:
                for stream in streams:
                    readers.start_soon(fleet.read, rng.choice(["f1", "f2"]), stream)
                await wait_until(lambda: all(len(s.events) >= 2 for s in streams))
                await fleet.restart_fronts()
            self.assertFalse(any(stream.complete for stream in streams))
            await fleet.read_all(streams, rng)
            new = [ClientStream(f"n{n}") for n in range(24)]
            await fleet.read_all(new, rng)
        self.check(streams)
        self.check_resumed_share(streams, new)

    async def test_streams_of_a_version_that_has_left_are_rejected_as_not_run(self) -> None:
        rng = random.Random(3)
        async with run_fleet() as fleet:
            streams = [ClientStream(f"s{n}") for n in range(24)]
            await fleet.read_all(streams, rng, stop_after=4)
            for engine in fleet.of_version("v1"):
                engine.deregister()
            await fleet.restart_fronts()
            await wait_until(
                lambda: all(
                    len(fleet.daemons[name].table.states_for("llm")) == 2 for name in ("f1", "f2")
                )
            )
            await fleet.read_all(streams, rng)
        self.check(streams)
        for stream in streams:
            if stream.versions() == {"v1"}:
                self.assertEqual(stream.statuses[-1], 503)
        self.check_complete([stream for stream in streams if stream.versions() == {"v2"}])

    async def test_streams_that_no_daemon_knows_are_not_joined(self) -> None:
        rng = random.Random(4)
        async with run_fleet() as fleet:
            streams = [ClientStream(f"s{n}") for n in range(24)]
            await fleet.read_all(streams, rng, stop_after=4)
            for engine in fleet.of_version("v1"):
                engine.deregister()
            fleet.scopes["s1"].cancel()
            fleet.start_daemon("s1", "a")
            await fleet.restart_fronts()
            await fleet.read_all(streams, rng)
        self.check(streams)

    async def test_broken_stream_goes_on_at_the_same_version_within_one_response(self) -> None:
        async with run_fleet() as fleet:
            streams = [ClientStream(f"s{n}") for n in range(24)]
            async with anyio.create_task_group() as readers:
                for stream in streams:
                    readers.start_soon(fleet.read, "f1", stream)
                await wait_until(lambda: all(len(s.events) >= 2 for s in streams))
                for version in ("v1", "v2"):
                    fleet.of_version(version)[0].crash()
        self.check(streams)
        self.check_complete(streams)

    async def test_stream_whose_version_has_no_upstream_left_breaks_off(self) -> None:
        async with run_fleet() as fleet:
            streams = [ClientStream(f"s{n}") for n in range(8)]
            async with anyio.create_task_group() as readers:
                for stream in streams:
                    readers.start_soon(fleet.read, "f1", stream)
                await wait_until(lambda: all(len(s.events) >= 2 for s in streams))
                for engine in fleet.of_version("v1"):
                    engine.restart_s = 60.0
                    engine.crash()
        self.check(streams)
        self.check_complete([stream for stream in streams if stream.versions() == {"v2"}])

    async def test_items_hold_events_of_one_version(self) -> None:
        async with run_fleet() as fleet:
            await fleet.call("f1", "POST", "/b/x", submission(12), id="batch-1")
            await wait_until(lambda: sum(e.server.active_requests for e in fleet.engines) >= 12)
            await anyio.sleep(0.2)
            for engine in fleet.of_version("v1"):
                engine.restart_s = 60.0
                engine.crash()
            results = await fleet.read_results("f2", "batch-1", 12)
        self.assertEqual({result["state"] for result in results}, {"completed"})
        mixed = [r["id"] for r in results if "@v1" in r["output"] and "@v2" in r["output"]]
        self.assertLessEqual(len(mixed), MAX_MIXED_STREAMS, mixed)
