"""Test which daemons know the software version that began a stream, without a network."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from acaciarill.errors import PeerError, Step
from acaciarill.fleet import (
    ROLE_FRONT,
    Member,
    StreamRecord,
    StreamVersions,
    bound_stream_key,
)
from acaciarill.fleet._stream_records import make_stream_key, record_ttl_s
from acaciarill.fleet._version_history import VersionHistory
from acaciarill.fleet.const import (
    MAX_STREAM_KEY_CHARACTERS,
    MAX_STREAM_VERSIONS,
    STREAM_AGE_FACTOR,
    STREAM_VERSION_TTL_S,
)

ROLES = {"f1": ROLE_FRONT, "f2": ROLE_FRONT, "f3": ROLE_FRONT, "k1": "keeper", "k2": "keeper"}


class FakeMembers:
    """Name the live daemons and their roles."""

    def __init__(self, name: str, live: set[str]) -> None:
        self.name = name
        self.live = live
        self.by_name = {n: Member(n, n, "dc", role) for n, role in ROLES.items()}

    def daemons(self) -> list[str]:
        return sorted(self.live)


class StreamVersionsTest(unittest.IsolatedAsyncioTestCase):
    """Kill daemons after a stream has begun."""

    def setUp(self) -> None:
        self.now = 100.0
        self.live = set(ROLES)
        self.told: list[str] = []
        self.silent: set[str] = set()
        self.tasks: list[asyncio.Future[None]] = []
        self.daemons = {name: self.start(name) for name in ROLES}

    def start(self, name: str) -> StreamVersions:
        """Start a daemon, or start it again with nothing in memory."""
        return StreamVersions(
            FakeMembers(name, self.live),  # type: ignore[arg-type]
            self.tell,
            self.ask,
            lambda: self.now,
            self.start_task,
        )

    def start_task(self, work: Callable[..., Coroutine[Any, Any, None]], *arguments: str) -> None:
        self.tasks.append(asyncio.ensure_future(work(*arguments)))

    async def record(self, name: str, stream_key: str, software_version: str) -> None:
        """Let a daemon record a stream, and wait until it has told the others."""
        self.daemons[name].record(stream_key, software_version)
        await asyncio.gather(*self.tasks)

    async def tell(self, holder: str, records: list[StreamRecord]) -> None:
        self.told.append(holder)
        for record in records:
            self.daemons[holder].store(record.stream_key, record.software_version)

    async def ask(self, holder: str, stream_id: str) -> StreamRecord | None:
        if holder in self.silent:
            await anyio.sleep_forever()
        if holder not in self.live:
            raise PeerError("unreachable", step=Step.FORWARD)
        return self.daemons[holder].get_record(stream_id)

    async def test_stream_is_known_to_two_other_daemons_one_of_them_without_clients(self) -> None:
        for number in range(50):
            self.told.clear()
            await self.record("f1", f"s{number}", "v1")
            self.assertEqual(sorted(ROLES[name] for name in self.told), ["front", "keeper"])
            self.assertNotIn("f1", self.told)

    async def test_any_daemon_finds_it_after_all_with_clients_were_killed(self) -> None:
        for number in range(50):
            await self.record("f1", f"s{number}", "v1")
        for name in ("f1", "f2", "f3"):
            self.daemons[name] = self.start(name)
        for number in range(50):
            self.assertEqual(await self.daemons["f2"].find(f"s{number}", 1.0), "v1")

    async def test_any_daemon_finds_it_after_one_with_and_one_without_clients_were_lost(
        self,
    ) -> None:
        for lost in (("f1", "k1"), ("f2", "k2"), ("f3", "k1")):
            await self.record("f1", "s" + "".join(lost), "v1")
            self.live -= set(lost)
            asking = next(name for name in ("f3", "f2", "f1") if name in self.live)
            self.assertEqual(await self.daemons[asking].find("s" + "".join(lost), 1.0), "v1")
            self.live |= set(lost)

    # A daemon that had missed a ping was neither told nor asked, and it was the only one left.
    async def test_daemon_that_seems_lost_is_asked(self) -> None:
        await self.record("f1", "s1", "v1")
        for name in ("f1", "f2", "f3"):
            self.daemons[name] = self.start(name)
        members = self.daemons["f2"].members
        members.live = members.live - {"k1", "k2"}  # type: ignore[attr-defined]
        self.assertEqual(await self.daemons["f2"].find("s1", 1.0), "v1")

    async def test_silent_daemon_does_not_delay_the_answer_of_another(self) -> None:
        await self.record("f1", "s1", "v1")
        self.silent = {"f1", "f2"}
        with anyio.fail_after(0.5):
            self.assertEqual(await self.daemons["f3"].find("s1", 10.0), "v1")

    async def test_unknown_stream_is_known_to_be_unknown_at_once(self) -> None:
        with anyio.fail_after(0.5):
            self.assertIsNone(await self.daemons["f3"].find("s1", 10.0))

    async def test_wait_for_silent_daemons_is_limited(self) -> None:
        self.silent = set(ROLES)
        with anyio.fail_after(0.5):
            self.assertIsNone(await self.daemons["f3"].find("s1", 0.05))

    async def test_first_record_of_a_stream_counts(self) -> None:
        await self.record("f1", "s1", "v1")
        await self.record("f1", "s1", "v2")
        self.assertEqual(await self.daemons["f2"].find("s1", 1.0), "v1")

    async def test_records_are_forgotten_and_bounded(self) -> None:
        daemon = self.daemons["f1"]
        for number in range(MAX_STREAM_VERSIONS + 10):
            daemon.store(f"s{number}", "v1")
        self.assertEqual(len(daemon.beginnings), MAX_STREAM_VERSIONS)
        self.now += STREAM_VERSION_TTL_S + 1.0
        daemon.store("new", "v1")
        self.assertEqual(set(daemon.beginnings), {"new"})
        self.assertEqual(len(daemon.expiries), 1)

    # A route may allow streams that are longer than 5 minutes: nobody knew them to their end.
    async def test_stream_is_known_for_as_long_as_its_route_lets_it_be_taken_up(self) -> None:
        timeout_s = 600.0
        self.daemons["f1"].record("s1", "v1", record_ttl_s(timeout_s))
        await asyncio.gather(*self.tasks)
        self.now += STREAM_AGE_FACTOR * timeout_s - 1.0
        self.assertEqual(self.daemons["f1"].get("s1"), "v1")
        self.now += 2.0
        self.assertIsNone(self.daemons["f1"].get("s1"))

    async def test_stream_that_has_expired_can_begin_again(self) -> None:
        daemon = self.daemons["f1"]
        daemon.record("s1", "v1", 300.0)
        self.now += 300.0
        daemon.record("s1", "v2", 300.0)
        self.assertEqual(daemon.get("s1"), "v2")

    async def test_records_that_expire_first_give_way_beyond_the_limit(self) -> None:
        daemon = self.daemons["f1"]
        daemon.max_records = 2
        for name, ttl_s in (("long", 900.0), ("short", 300.0), ("middle", 600.0)):
            daemon.store(name, "v1", ttl_s)
        self.assertEqual(set(daemon.beginnings), {"long", "middle"})

    # The ids of requests are the clients', so the memory of a record had no bound.
    async def test_key_of_a_long_id_is_bounded(self) -> None:
        for length in (1, 20, 16_000):
            key = make_stream_key("customer", "x" * length)
            self.assertLessEqual(len(key), MAX_STREAM_KEY_CHARACTERS)
            self.assertEqual(bound_stream_key(key), key)
        self.assertNotEqual(
            make_stream_key("customer", "x" * 200), make_stream_key("customer", "x" * 201)
        )


class VersionHistoryTest(unittest.TestCase):
    """Tell whether a second version may have served."""

    def test_daemon_that_has_just_started_cannot_tell(self) -> None:
        history = VersionHistory()
        history.observe([("s", "v1")], 0.0)
        self.assertIsNone(history.only_version("s", 29.0, 30.0))
        self.assertEqual(history.only_version("s", 30.0, 30.0), "v1")

    def test_version_that_left_counts_for_a_while(self) -> None:
        history = VersionHistory()
        history.observe([("s", "v1"), ("s", "v2")], 100.0)
        for now in range(101, 150):
            history.observe([("s", "v2")], float(now))
        self.assertIsNone(history.only_version("s", 130.0, 30.0))
        self.assertEqual(history.only_version("s", 149.0, 30.0), "v2")

    def test_versions_of_other_services_do_not_count(self) -> None:
        history = VersionHistory()
        history.observe([("s", "v1"), ("t", "v2")], 0.0)
        self.assertEqual(history.only_version("s", 30.0, 30.0), "v1")
        self.assertIsNone(history.only_version("u", 30.0, 30.0))
