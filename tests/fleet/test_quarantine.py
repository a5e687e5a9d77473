"""Test which requests may run after upstreams crashed while they ran, at several daemons."""

import random
import unittest

import anyio

from acaciarill.errors import AcaciarillError, PeerError, RefusedError, Step, UpstreamError
from acaciarill.fleet import CrashRecord, Issuers, Quarantine, TrialGrant
from acaciarill.fleet._crash_records import digest_records
from acaciarill.fleet.const import (
    COMPLETED_RECORD_TTL_S,
    CRASH_RECORD_TTL_S,
    LATE_TRIAL_BACKOFFS_S,
    MAX_CRASH_RECORDS,
    MAX_CRASHES,
    TRIAL_BACKOFF_S,
)

MAX_LATE_RETRIES = 3
"""Users' limit on retries after the third crash."""
KEY = "key"


class FakeMembers:
    """Name the live daemons in one order for all keys."""

    def __init__(self, name: str, live: list[str]) -> None:
        self.name = name
        self.live = live

    def live_order(self, key: str) -> list[str]:
        return list(self.live)


class Daemons:
    """Link the quarantines of some daemons; `cut_off` neither hear nor are heard."""

    def __init__(self, *names: str) -> None:
        self.now = 1000.0
        self.live = list(names)
        self.cut_off: set[str] = set()
        self.by_name = {name: self._build(name) for name in names}

    def _build(self, name: str) -> Quarantine:
        members = FakeMembers(name, self.live)

        async def call_issuer(issuer: str, key: str, attempt_id: str, records: bytes) -> TrialGrant:
            if self.cut_off & {name, issuer}:
                raise PeerError("unreachable", step=Step.FORWARD)
            self.by_name[issuer].merge(records)
            return self.by_name[issuer].issue_trial(key, attempt_id)

        return Quarantine(
            Issuers(members, self.clock),  # type: ignore[arg-type]
            call_issuer,
            lambda data: self._share(name, data),
            self.clock,
        )

    def clock(self) -> float:
        return self.now

    def _share(self, sender: str, data: bytes) -> None:
        for name, quarantine in self.by_name.items():
            if name != sender and not self.cut_off & {name, sender}:
                quarantine.merge(data)

    def crash(self, name: str, lifetime: str, key: str = KEY) -> None:
        """Let one daemon see a crash; time passes."""
        self.by_name[name].record_crash(lifetime, key)
        self.now += 0.1

    def let_upstreams_return(self) -> None:
        """Let the time pass until the upstreams that crashed are expected to be back."""
        self.now += TRIAL_BACKOFF_S

    async def try_to_send(
        self, name: str, attempt_id: str, is_last_upstream: bool = False
    ) -> AcaciarillError | None:
        """Send the request at one daemon; return the error if it is rejected."""
        try:
            if await self.by_name[name].admit(KEY, attempt_id, 0.0, is_last_upstream):
                self.by_name[name].record_trial(KEY, attempt_id)
        except AcaciarillError as error:
            return error
        return None


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    """Crash upstreams under one request."""

    async def test_request_is_retried_like_any_other_after_one_crash(self) -> None:
        daemons = Daemons("a", "b")
        daemons.crash("a", "u1")
        for attempt in range(20):
            self.assertIsNone(await daemons.try_to_send("ab"[attempt % 2], f"r{attempt}"))

    async def test_crashes_that_different_daemons_saw_count_together(self) -> None:
        daemons = Daemons("a", "b", "c", "d")
        for name, lifetime in (("a", "u1"), ("b", "u2"), ("c", "u3")):
            daemons.crash(name, lifetime)
        self.assertIsInstance(await daemons.try_to_send("d", "r1"), RefusedError)

    async def test_one_crash_that_all_daemons_saw_counts_once(self) -> None:
        daemons = Daemons("a", "b", "c")
        for name in "abc":
            daemons.crash(name, "u1")
        self.assertIsNone(await daemons.try_to_send("a", "r1"))
        self.assertIsNone(await daemons.try_to_send("b", "r2"))

    # A request under which three upstreams had crashed was sent to upstreams 7 times more.
    async def test_request_that_crashes_upstreams_gets_few_trials_at_all_daemons_together(
        self,
    ) -> None:
        daemons = Daemons("a", "b", "c", "d")
        sent: list[float] = []
        third_crash_at = None
        for attempt in range(3000):
            daemons.now += 0.1
            name = "abcd"[attempt % 4]
            if await daemons.try_to_send(name, f"r{attempt}") is None:
                sent.append(daemons.now)
                daemons.crash(name, f"u{attempt}")
                if len(sent) == MAX_CRASHES:
                    third_crash_at = daemons.now
        assert third_crash_at is not None
        self.assertLessEqual(sum(at > third_crash_at for at in sent), MAX_LATE_RETRIES)
        error = await daemons.try_to_send("a", "last")
        self.assertIsInstance(error, UpstreamError)
        self.assertEqual(error.status, 502)

    # Its first trial followed at once, so a service of three upstreams was left without any.
    async def test_trial_at_the_last_upstream_waits_until_the_others_are_back(self) -> None:
        daemons = Daemons("a", "b")
        daemons.crash("a", "u1")
        daemons.crash("a", "u2")
        error = await daemons.try_to_send("b", "r1", is_last_upstream=True)
        self.assertIsInstance(error, RefusedError)
        self.assertLessEqual(error.retry_after_s, TRIAL_BACKOFF_S)
        daemons.let_upstreams_return()
        self.assertIsNone(await daemons.try_to_send("b", "r2", is_last_upstream=True))

    async def test_only_one_trial_runs_at_a_time(self) -> None:
        daemons = Daemons("a", "b", "c")
        daemons.crash("a", "u1")
        daemons.crash("b", "u2")
        self.assertIsNone(await daemons.try_to_send("b", "r1"))
        error = await daemons.try_to_send("c", "r2")
        self.assertIsInstance(error, RefusedError)
        self.assertAlmostEqual(error.retry_after_s, TRIAL_BACKOFF_S)

    # Of several same requests on two upstreams that crashed at once, all but one were rejected.
    async def test_same_requests_wait_for_the_outcome_of_the_trial_that_one_of_them_has(
        self,
    ) -> None:
        daemons = Daemons("a", "b")
        daemons.clock = anyio.current_time  # type: ignore[method-assign]
        daemons.by_name = {name: daemons._build(name) for name in "ab"}
        for lifetime in ("u1", "u2"):
            daemons.by_name["a"].record_crash(lifetime, KEY)
        admitted: list[tuple[str, bool]] = []

        async def admit(name: str, attempt_id: str) -> None:
            is_trial = await daemons.by_name[name].admit(KEY, attempt_id, 5.0)
            admitted.append((attempt_id, is_trial))
            if is_trial:
                await anyio.sleep(0.05)  # the connection is opened
                daemons.by_name[name].record_trial(KEY, attempt_id)
                await anyio.sleep(0.3)
                daemons.by_name[name].release(KEY, "the request completed")

        with anyio.fail_after(3.0):
            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(admit, "ab"[number % 2], f"r{number}")
        self.assertEqual(sum(is_trial for _, is_trial in admitted), 1)
        self.assertEqual(len(admitted), 6)

    async def test_attempt_whose_upstream_could_not_be_reached_keeps_its_trial(self) -> None:
        daemons = Daemons("a", "b")
        daemons.crash("a", "u1")
        daemons.crash("a", "u2")
        for _ in range(2):  # the first connection is refused, so nothing is sent
            self.assertTrue(await daemons.by_name["b"].admit(KEY, "r1", 0.0))
        self.assertIsInstance(await daemons.try_to_send("b", "r2"), RefusedError)

    async def test_trials_that_could_not_be_sent_do_not_count(self) -> None:
        daemons = Daemons("a", "b")
        for lifetime in ("u1", "u2", "u3"):
            daemons.crash("a", lifetime)
        for attempt in range(10):
            daemons.now += LATE_TRIAL_BACKOFFS_S[0]
            self.assertTrue(await daemons.by_name["b"].admit(KEY, f"r{attempt}", 0.0))

    async def test_request_that_completes_as_a_trial_is_free_at_all_daemons(self) -> None:
        daemons = Daemons("a", "b", "c")
        for lifetime in ("u1", "u2", "u3"):
            daemons.crash("a", lifetime)
        daemons.now += LATE_TRIAL_BACKOFFS_S[0]
        self.assertIsNone(await daemons.try_to_send("b", "r1"))
        daemons.now += 0.1
        daemons.by_name["b"].release(KEY, "the request completed")
        for attempt in range(10):
            self.assertIsNone(await daemons.try_to_send("abc"[attempt % 3], f"s{attempt}"))

    async def test_report_of_a_crash_before_the_completion_is_ignored(self) -> None:
        daemons = Daemons("a", "b")
        daemons.cut_off = {"a"}
        daemons.crash("a", "u1")
        daemons.crash("a", "u2")
        daemons.cut_off = set()
        daemons.crash("b", "u3")
        daemons.by_name["b"].release(KEY, "the request completed")
        daemons.now += 1.0
        daemons.by_name["b"].merge(daemons.by_name["a"].encode())
        self.assertIsNone(await daemons.try_to_send("b", "r1"))

    async def test_substitute_of_a_lost_issuer_knows_of_its_trials(self) -> None:
        daemons = Daemons("a", "b", "c")
        for lifetime in ("u1", "u2", "u3"):
            daemons.crash("a", lifetime)
        for backoff_s in LATE_TRIAL_BACKOFFS_S:
            daemons.now += backoff_s
            self.assertIsNone(await daemons.try_to_send("c", f"r{daemons.now}"))
        daemons.cut_off = {"a"}
        for _ in range(20):
            daemons.now += 10.0
            self.assertIsNotNone(await daemons.try_to_send("c", f"r{daemons.now}"))

    # An issuer that had just started granted each trial, as it knew of no crash.
    async def test_issuer_that_has_just_started_learns_from_the_daemon_that_asks(self) -> None:
        daemons = Daemons("a", "b", "c")
        for lifetime in ("u1", "u2", "u3"):
            daemons.crash("b", lifetime)
        sent = 0
        for attempt in range(300):
            daemons.by_name["a"].records.clear()
            daemons.by_name["a"].reservations.clear()
            daemons.now += 0.5
            sent += await daemons.try_to_send("b", f"r{attempt}") is None
        self.assertLessEqual(sent, MAX_LATE_RETRIES)

    async def test_daemon_that_reaches_no_issuer_does_not_send(self) -> None:
        daemons = Daemons("a", "b", "c")
        daemons.crash("c", "u1")
        daemons.crash("c", "u2")
        daemons.cut_off = {"c"}
        self.assertIsInstance(await daemons.try_to_send("c", "r1"), RefusedError)

    async def test_daemon_that_missed_all_learns_from_any_other(self) -> None:
        daemons = Daemons("a", "b", "c")
        daemons.cut_off = {"c"}
        for lifetime in ("u1", "u2", "u3"):
            daemons.crash("a", lifetime)
        daemons.cut_off = set()
        self.assertNotEqual(daemons.by_name["c"].digest, daemons.by_name["b"].digest)
        daemons.by_name["c"].merge(daemons.by_name["b"].encode())
        self.assertEqual(daemons.by_name["c"].digest, daemons.by_name["b"].digest)
        self.assertIsInstance(await daemons.try_to_send("c", "r1"), RefusedError)

    async def test_records_are_forgotten_and_bounded(self) -> None:
        daemons = Daemons("a")
        quarantine = daemons.by_name["a"]
        for lifetime in ("u1", "u2", "u3"):
            quarantine.record_crash(lifetime, "kept")
        for number in range(MAX_CRASH_RECORDS + 50):
            quarantine.record_crash("u9", f"key-{number}")
        self.assertEqual(len(quarantine.records), MAX_CRASH_RECORDS)
        self.assertTrue(quarantine.is_quarantined("kept"))
        daemons.now += CRASH_RECORD_TTL_S + 1.0
        quarantine.record_crash("u10", "new")
        self.assertEqual(set(quarantine.records), {"new"})
        quarantine.release("new", "the request completed")
        daemons.now += COMPLETED_RECORD_TTL_S + 1.0
        quarantine.merge(b"{}")
        self.assertEqual(quarantine.records, {})


class CrashRecordTest(unittest.TestCase):
    """Merge the records of daemons that saw different things."""

    def test_order_of_merges_does_not_matter(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            times = {f"{kind}{number}": rng.random() for kind in "ut" for number in range(5)}
            parts = [
                CrashRecord(
                    {name: times[name] for name in times if name[0] == "u" and rng.random() < 0.4},
                    {name: times[name] for name in times if name[0] == "t" and rng.random() < 0.4},
                    rng.choice([float("-inf"), rng.random() / 2]),
                )
                for _ in range(4)
            ]
            merged = []
            for _ in range(6):
                record = CrashRecord()
                for part in rng.sample(parts, len(parts)):
                    record.merge(part)
                merged.append((record.crashes, record.trials, record.completed_at))
            self.assertEqual(merged, [merged[0]] * 6, seed)

    def test_row_survives_a_clock_of_another_daemon(self) -> None:
        record = CrashRecord({"u1": 10.0}, {"t1": 11.0}, 9.0)
        copy = CrashRecord.from_row(record.as_row(12.0), 112.0)
        self.assertEqual((copy.crashes, copy.trials), ({"u1": 110.0}, {"t1": 111.0}))
        self.assertEqual(digest_records({"k": copy}), digest_records({"k": record}))
        self.assertEqual(digest_records({"k": CrashRecord()}), digest_records({}))
