"""Soak daemons that are killed in turn with requests that crash replicas, beside sound ones."""

import os
import random

import anyio

from acaciarill.errors import UpstreamError
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.test_crashing_requests import (
    CONTACT_S,
    MAX_LATE_RETRIES,
    CrashFleet,
)
from tests.platform.test_whole_path import wait_until

SEED = int(os.environ.get("SOAK_SEED", "1"))
SOAK_S = float(os.environ.get("SOAK_S", "20"))
POISON_PERIOD_S = 0.15
SOUND_PERIOD_S = 0.1
CALM_S = 2.0
"""Sound requests that are sent this long after any trouble are expected to be served."""


class CrashSoakTest(PlainLoopTestCase):
    """Judge the requests that reach replicas as the users do, by the daemons' uptimes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.rng = random.Random(SEED)
        self.started_at = {"f1": 0.0, "f2": 0.0, "s1": 0.0}
        self.downtimes: list[tuple[str, float, float]] = []
        self.sent: dict[str, tuple[str, float]] = {}
        self.sound_statuses: list[int] = []

    async def test_requests_that_crash_replicas_stay_within_the_limit(self) -> None:
        bodies = [b"poison-a", b"poison-b"]
        with anyio.fail_after(SOAK_S + 60.0):
            async with anyio.create_task_group() as tasks:
                fleet = CrashFleet(tasks)
                for replica in fleet.replicas:
                    replica.crashing_bodies = set(bodies)
                    replica.restart_s = self.rng.uniform(0.3, 2.5)
                await fleet.start()
                with anyio.move_on_after(SOAK_S):
                    async with anyio.create_task_group() as load:
                        for body in bodies:
                            load.start_soon(self.send_poison, fleet, body)
                        load.start_soon(self.kill_daemons, fleet)
                for body in bodies:
                    self.check_late_retries(fleet, body)
                await anyio.sleep(CALM_S)
                for number in range(20):
                    response = await fleet.send("f1", number, b"sound", "/p/sound")
                    self.sound_statuses.append(response.head.status)
                tasks.cancel_scope.cancel()
        self.assertEqual(set(self.sound_statuses), {200})

    async def send_poison(self, fleet: CrashFleet, body: bytes) -> None:
        number = 0
        async with anyio.create_task_group() as calls:
            while True:
                number += 1
                daemon = self.rng.choice(["f1", "f2"])
                calls.start_soon(self.try_to_send, fleet, daemon, number, body)
                await anyio.sleep(POISON_PERIOD_S)

    async def try_to_send(self, fleet: CrashFleet, daemon: str, number: int, body: bytes) -> None:
        request_id = f"{daemon}-{body.decode()}-{number}"
        self.sent[request_id] = (daemon, anyio.current_time())
        if daemon not in fleet.daemons:
            return
        try:
            await fleet.send(daemon, number, body)
        except (UpstreamError, AssertionError):
            return  # the daemon was killed

    async def kill_daemons(self, fleet: CrashFleet) -> None:
        zones = {"f1": "a", "f2": "b", "s1": "a"}
        while True:
            await anyio.sleep(self.rng.uniform(0.5, 3.0))
            # A daemon is left that knows: the users' rule does not hold without any in touch.
            names = self.rng.choice([["f1"], ["f2"], ["s1"], ["f1", "f2"], ["f1", "s1"]])
            down_at = anyio.current_time()
            for name in names:
                fleet.scopes[name].cancel()
                fleet.daemons.pop(name, None)
            await anyio.sleep(self.rng.uniform(0.1, 0.8))
            for name in names:
                self.downtimes.append((name, down_at, anyio.current_time()))
                fleet.start_daemon(name, zones[name])
            await wait_until(lambda names=names: all(name in fleet.daemons for name in names))
            await anyio.sleep(CONTACT_S)

    def check_late_retries(self, fleet: CrashFleet, body: bytes) -> None:
        crash_times = sorted(
            at
            for replica in fleet.replicas
            for at in replica.crash_times
            if any(abs(at - reached) < 0.1 for reached in self.times_at(replica, body))
        )
        if len(crash_times) < 3:
            return
        late = [
            (request.get(b"x-acaciarill-attempt-id"), at)
            for replica in fleet.replicas
            for at, request in zip(replica.request_times, replica.requests, strict=True)
            if request.body == body and at > crash_times[2] + CONTACT_S
        ]
        in_touch = [
            (request_id, round(at - crash_times[2], 2))
            for request_id, at in late
            if self.was_in_touch(request_id.partition("-")[0], at)
        ]
        self.assertLessEqual(len(in_touch), MAX_LATE_RETRIES, (SEED, in_touch))

    @staticmethod
    def times_at(replica: object, body: bytes) -> list[float]:
        return [
            at
            for at, request in zip(replica.request_times, replica.requests, strict=True)  # type: ignore[attr-defined]
            if request.body == body
        ]

    def was_in_touch(self, daemon: str, at: float) -> bool:
        """Return whether a daemon had run for CONTACT_S without being killed."""
        return not any(
            name == daemon and down_at <= at < up_at + CONTACT_S
            for name, down_at, up_at in self.downtimes
        )
