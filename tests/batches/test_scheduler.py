"""Test which engine an item gets and which item is served first."""

import random
import time
import unittest
from collections.abc import Callable

import anyio

from acaciarill.batches import ActiveStream, EngineScheduler, SlotRequest
from acaciarill.batches.const import MAX_TRACKED_GROUPS, STOP_IDLE, STOP_SLOW
from acaciarill.fleet import Upstream, UpstreamState, UpstreamTable


def slot_request(
    rank: float = 0.0, group: str = "g", min_version: int = 1, **more: object
) -> SlotRequest:
    return SlotRequest("llm", "a", min_version, (rank,), group, **more)  # type: ignore[arg-type]


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    """Assign free slots, preferring the engine that has processed the group's prompt."""

    def setUp(self) -> None:
        self.table = UpstreamTable("dc", lambda: 100.0, random.Random(1))
        self.scheduler = EngineScheduler(self.table, lambda: 100.0)

    def register_engines(self, **versions: int) -> None:
        self.table.update(
            [
                Upstream(name, name, "llm", "10.0.0.1:1", "dc", 2, versions={"a": version})
                for name, version in versions.items()
            ]
        )

    async def acquire_slots(self, requests: list[SlotRequest]) -> list[str]:
        """Return each group and its engine in the order of assignment; no slot is released."""
        assignments: list[str] = []

        async def hold(request: SlotRequest) -> None:
            async with self.scheduler.acquire_slot(request) as state:
                assignments.append(f"{request.group}@{state.upstream.id}")
                await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            for request in requests:
                tasks.start_soon(hold, request)
            for _ in range(20):
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        return assignments

    async def test_engines_of_oldest_groups_are_evicted(self) -> None:
        self.register_engines(e1=1)
        for number in range(MAX_TRACKED_GROUPS + 5):
            async with self.scheduler.acquire_slot(slot_request(0, f"g{number}")):
                pass
        self.assertEqual(len(self.scheduler.group_upstreams), MAX_TRACKED_GROUPS)
        self.assertNotIn("g0", self.scheduler.group_upstreams)

    async def test_group_reuses_engine_with_its_prompt(self) -> None:
        self.register_engines(e1=1, e2=1)
        assignments = await self.acquire_slots(
            [slot_request(0, "g"), slot_request(0, "h"), slot_request(0, "g")]
        )
        self.assertEqual(len({name for name in assignments if name.startswith("g@")}), 1)

    async def test_engine_with_older_version_gets_no_items(self) -> None:
        self.register_engines(e1=1, e2=3)
        assignments = await self.acquire_slots(
            [slot_request(min_version=2), slot_request(min_version=2), slot_request(min_version=2)]
        )
        self.assertEqual(assignments, ["g@e2", "g@e2"])

    def register_software(self, **software_versions: str) -> None:
        self.table.update(
            [
                Upstream(
                    name,
                    name,
                    "llm",
                    "10.0.0.1:1",
                    "dc",
                    2,
                    versions={"a": 1},
                    software_version=software_version,
                )
                for name, software_version in software_versions.items()
            ]
        )

    async def test_text_waits_for_an_engine_of_its_software_version(self) -> None:
        self.register_software(e1="v1", e2="v2")
        assignments = await self.acquire_slots(
            [slot_request(group=f"g{n}", software_version="v1") for n in range(3)]
        )
        self.assertEqual(assignments, ["g0@e1", "g1@e1"])

    async def test_short_text_begins_anew_where_a_slot_is_free(self) -> None:
        self.register_software(e1="v1", e2="v2")
        assignments = await self.acquire_slots(
            [
                slot_request(group=f"g{n}", software_version="v1", may_begin_anew=True)
                for n in range(3)
            ]
        )
        self.assertEqual(assignments, ["g0@e1", "g1@e1", "g2@e2"])

    async def test_text_begins_anew_once_no_engine_of_its_software_version_is_usable(self) -> None:
        self.register_software(e1="v1", e2="v2")
        self.table.states["e1"].record_failure(100.0)
        self.assertEqual(await self.acquire_slots([slot_request(software_version="v1")]), ["g@e2"])

    async def test_stream_is_not_moved_to_an_engine_of_another_software_version(self) -> None:
        self.register_software(e1="v1", e2="v2")
        request = slot_request(software_version="v1", may_begin_anew=True)
        stream = ActiveStream(request, self.table.states["e1"], last_event_at=99.0)
        self.scheduler.active_streams.append(stream)
        self.scheduler.stop_lagging_streams()
        self.assertEqual(stream.stop_reason, "")
        stream.slot_request.software_version = "v2"
        self.scheduler.stop_lagging_streams()
        self.assertEqual(stream.stop_reason, STOP_IDLE)

    async def test_slots_are_released_when_block_ends(self) -> None:
        self.register_engines(e1=1)
        await self.acquire_slots([slot_request(), slot_request(), slot_request()])
        self.assertEqual(self.table.states["e1"].in_flight, 0)
        self.assertEqual(self.scheduler.waiters, [])

    async def test_long_prompt_group_spreads_when_its_engine_is_crowded(self) -> None:
        # A step's groups start together; an engine generates more slowly the more it runs.
        self.register_engines(**{f"e{number}": 1 for number in range(8)})
        assignments = await self.acquire_slots([slot_request(0, "g") for _ in range(8)])
        self.assertEqual(len(set(assignments)), 8)


class MovedStreamsTest(unittest.IsolatedAsyncioTestCase):
    """Move a stream only if its text is expected to end sooner elsewhere."""

    def setUp(self) -> None:
        self.now = 100.0
        self.table = UpstreamTable("dc", lambda: self.now, random.Random(1))
        self.scheduler = EngineScheduler(self.table, lambda: self.now)

    def register_engines(self, slots: int, *names: str) -> list[UpstreamState]:
        self.table.update(
            [
                Upstream(name, name, "llm", "10.0.0.1:1", "dc", slots, versions={"a": 1})
                for name in names
            ]
        )
        return [self.table.states[name] for name in names]

    def start_stream(self, state: UpstreamState) -> ActiveStream:
        request = slot_request(group=state.upstream.id, avoided_upstream=state.upstream.id)
        stream = ActiveStream(request, state, self.now)
        state.in_flight += 1
        self.scheduler.active_streams.append(stream)
        return stream

    def generate(self, paces: dict[str, float], duration_s: float, read_period_s: float) -> None:
        """Let engines generate at seconds per event, and read what is there each period."""
        for _ in range(round(duration_s / read_period_s)):
            self.now += read_period_s
            for stream in self.scheduler.active_streams:
                generated = int((self.now - 100.0) / paces[stream.state.upstream.id])
                for _ in range(generated - stream.event_count):
                    stream.record_event(self.now)

    async def test_events_that_are_read_in_bursts_do_not_make_other_engines_slow(self) -> None:
        # A busy daemon reads the events of some engines late, several at once.
        bursty, even, free = self.register_engines(16, "bursty", "even", "free")
        for _ in range(8):
            self.start_stream(bursty)
            self.start_stream(even)
        for step in range(20):
            self.now = 100.0 + 0.12 * step
            for stream in self.scheduler.active_streams:
                count = 3 if stream.state is bursty else 0
                for _ in range(count):
                    stream.record_event(self.now)
            for _ in range(3):
                self.now += 0.04
                for stream in self.scheduler.active_streams:
                    if stream.state is even:
                        stream.record_event(self.now)
            self.scheduler.stop_lagging_streams()
        self.assertEqual([s for s in self.scheduler.active_streams if s.stop_reason], [])

    async def test_stream_of_a_slow_engine_is_moved_after_a_few_events(self) -> None:
        slow, sound = self.register_engines(16, "slow", "sound")
        stream = self.start_stream(slow)
        self.start_stream(sound)
        self.generate({"slow": 0.14, "sound": 0.04}, 0.6, 0.02)
        self.scheduler.stop_lagging_streams()
        self.assertEqual(stream.stop_reason, "")
        self.generate({"slow": 0.14, "sound": 0.04}, 0.9, 0.02)
        self.scheduler.stop_lagging_streams()
        self.assertEqual(stream.stop_reason, STOP_SLOW)

    async def test_long_text_leaves_a_crowded_engine_and_a_short_one_stays(self) -> None:
        crowded, empty = self.register_engines(16, "crowded", "empty")
        long, short = self.start_stream(crowded), self.start_stream(crowded)
        self.start_stream(empty)
        for count, stream in ((60, long), (10, short), (60, self.scheduler.active_streams[2])):
            pace = 0.032 if stream.state is empty else 0.042
            self.now = 100.0
            for _ in range(count):
                self.now += pace
                stream.record_event(self.now)
            stream.last_event_at = 102.5
        self.now = 102.6
        self.scheduler.stop_lagging_streams()
        self.assertEqual([long.stop_reason, short.stop_reason], [STOP_SLOW, ""])

    async def test_no_more_streams_are_moved_than_slots_are_free(self) -> None:
        slow, sound = self.register_engines(4, "slow", "sound")
        moved = [self.start_stream(slow) for _ in range(4)]
        for _ in range(3):
            self.start_stream(sound)
        self.generate({"slow": 0.2, "sound": 0.04}, 3.0, 0.02)
        self.scheduler.stop_lagging_streams()
        self.assertEqual([stream.stop_reason for stream in moved].count(STOP_SLOW), 1)

    async def test_silent_stream_is_moved_once_an_engine_has_a_free_slot(self) -> None:
        silent, full = self.register_engines(1, "silent", "full")
        stream = self.start_stream(silent)
        full.in_flight = 1
        self.now += 1.0
        self.scheduler.stop_lagging_streams()
        self.assertEqual(stream.stop_reason, "")
        full.in_flight = 0
        self.scheduler.stop_lagging_streams()
        self.assertEqual(stream.stop_reason, STOP_IDLE)


class SchedulingCostTest(unittest.IsolatedAsyncioTestCase):
    """Schedule many items over many engines within a small share of the processor."""

    PERIOD_S = 0.05
    MAX_PROCESSOR_SHARE = 0.046

    def setUp(self) -> None:
        self.now = 100.0
        self.table = UpstreamTable("dc", lambda: self.now, random.Random(1))
        self.scheduler = EngineScheduler(self.table, lambda: self.now)
        self.table.update(
            [
                Upstream(
                    f"e{number}", f"e{number}", "llm", "10.0.0.1:1", "dc", 8, versions={"a": 1}
                )
                for number in range(44)
            ]
        )

    def measure(self, work: Callable[[], None]) -> float:
        """Return the share of the processor that work takes which is done each PERIOD_S."""
        started = time.process_time()
        for _ in range(20):
            self.now += self.PERIOD_S
            work()
        return (time.process_time() - started) / (20 * self.PERIOD_S)

    async def test_streams_of_large_steps_on_many_engines_are_watched_at_little_cost(self) -> None:
        # The owner of a step watches a hundred streams on 44 engines twenty times a second.
        states = list(self.table.states.values())
        for number in range(112):
            state = states[number % len(states)]
            state.in_flight += 1
            state.record_event_interval(0.034 + 0.0002 * (number % 40), self.now)
            stream = ActiveStream(slot_request(group=f"g{number // 16}"), state, self.now)
            stream.event_count = 20
            self.scheduler.active_streams.append(stream)

        def watch() -> None:
            for stream in self.scheduler.active_streams:
                stream.last_event_at = self.now
            self.scheduler.stop_lagging_streams()

        self.assertLess(self.measure(watch), self.MAX_PROCESSOR_SHARE)

    async def test_items_that_wait_for_full_engines_cost_little(self) -> None:
        for state in self.table.states.values():
            state.in_flight = 8
        async with anyio.create_task_group() as tasks:
            for number in range(200):
                tasks.start_soon(self._wait_for_slot, slot_request(group=f"g{number // 16}"))
            await anyio.wait_all_tasks_blocked()
            self.assertLess(self.measure(self.scheduler.assign_slots), self.MAX_PROCESSOR_SHARE)
            tasks.cancel_scope.cancel()

    async def _wait_for_slot(self, request: SlotRequest) -> None:
        async with self.scheduler.acquire_slot(request):
            await anyio.sleep_forever()
