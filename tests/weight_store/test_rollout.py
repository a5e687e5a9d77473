"""Test the waves of a roll-out."""

import unittest
from types import SimpleNamespace

import anyio

from acaciarill.config import ConfigCoordinator, build_document
from acaciarill.errors import AcaciarillError, Step
from acaciarill.leases import Lease
from acaciarill.weight_store import Rollout, plan_wave
from acaciarill.weight_store._rollout import EngineVersion


def engines(count: int, version: int = 1) -> list[EngineVersion]:
    return [EngineVersion(f"e{number}", version) for number in range(count)]


class PlanWaveTest(unittest.TestCase):
    """Plan which engines swap next."""

    def test_a_quarter_swaps_at_once(self) -> None:
        fleet = engines(20)
        wave = plan_wave(fleet, 2, 0.0)
        self.assertEqual(len(wave), 5)
        for engine in fleet[:5]:
            engine.swapping = True
        self.assertEqual(plan_wave(fleet, 2, 0.0), [])

    def test_waves_end_when_all_are_at_the_version(self) -> None:
        fleet, waves = engines(10), 0
        while wave := plan_wave(fleet, 2, 0.0):
            waves += 1
            for engine in fleet:
                engine.version = 2 if engine.name in wave else engine.version
        self.assertEqual(waves, 5)

    def test_a_failed_swap_waits_and_does_not_hold_up_the_others(self) -> None:
        fleet = engines(4)
        fleet[0].retry_at = 10.0
        self.assertEqual(plan_wave(fleet, 2, 0.0), ["e1"])
        for engine in fleet[1:]:
            engine.version = 2
        self.assertEqual(plan_wave(fleet, 2, 5.0), [])
        self.assertEqual(plan_wave(fleet, 2, 10.0), ["e0"])

    def test_one_engine_alone_is_swapped(self) -> None:
        self.assertEqual(plan_wave(engines(1), 2, 0.0), ["e0"])


class _Weights:
    """Admit two fetches, then refuse a few before each further one."""

    def __init__(self) -> None:
        self.asked = 0

    async def newest(self, model: str) -> int:
        return 2

    async def admit_fetch(self, model: str, version: int) -> str:
        self.asked += 1
        if self.asked > 2 and self.asked % 3:
            raise AcaciarillError("rate", step=Step.ORDER, code="rate-limited", retry_after_s=0.01)
        return f"weights/{version}"


class _Sender:
    """Take orders, and count how many run at once."""

    def __init__(self) -> None:
        self.running = self.most = 0
        self.urls: list[str] = []

    def is_lease_held(self, epoch: int) -> bool:
        return True

    async def send(self, method: str, url: str, epoch: int, order: dict) -> dict:
        self.running += 1
        self.most = max(self.most, self.running)
        self.urls.append(order["url"])
        await anyio.sleep(0.001)
        self.running -= 1
        return {}


class RolloutTest(unittest.IsolatedAsyncioTestCase):
    """Bring engines to a version within the weight store's rate."""

    async def test_a_refused_fetch_is_no_failure_of_the_engine(self) -> None:
        names = [f"e{number}" for number in range(8)]
        engines = [
            {"name": name, "serves": "m", "data_centre": "dc-1", "address": "127.0.0.1:1"}
            for name in names
        ]
        config = ConfigCoordinator()
        section = {"models": [{"name": "m"}], "upstreams": engines}
        config.update_document(build_document(1, {"owner": section}))
        sender, upstreams = _Sender(), SimpleNamespace(states={})
        rollout = Rollout("dc-1", config, upstreams, _Weights(), sender, lambda: 0.0)
        await rollout.run_once(Lease(1, 10.0))
        self.assertEqual({rollout.engines[name].version for name in names}, {2})
        self.assertEqual(sender.urls, ["weights/2"] * len(names))
        self.assertEqual(rollout.failures, {})
        self.assertLessEqual(sender.most, 2)  # a quarter of eight
