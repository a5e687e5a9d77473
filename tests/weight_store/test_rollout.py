"""Test the rollout of weight versions."""

import unittest
from types import SimpleNamespace

import anyio

from acaciarill.config import ConfigCoordinator, build_document
from acaciarill.errors import AcaciarillError, Step
from acaciarill.leases import Lease
from acaciarill.weight_store import Rollout, select_engines_to_load
from acaciarill.weight_store._rollout import EngineRolloutState


def make_engines(count: int, version: int = 1) -> list[EngineRolloutState]:
    return [EngineRolloutState(f"e{number}", version) for number in range(count)]


class SelectEnginesTest(unittest.TestCase):
    """Test which engines are ordered to load next."""

    def test_at_most_a_quarter_loads_at_once(self) -> None:
        engines = make_engines(20)
        selected = select_engines_to_load(engines, 2, 0.0)
        self.assertEqual(len(selected), 5)
        for engine in engines[:5]:
            engine.is_loading = True
        self.assertEqual(select_engines_to_load(engines, 2, 0.0), [])

    def test_selection_ends_when_all_engines_are_updated(self) -> None:
        engines, rounds = make_engines(10), 0
        while selected := select_engines_to_load(engines, 2, 0.0):
            rounds += 1
            for engine in engines:
                engine.version = 2 if engine.name in selected else engine.version
        self.assertEqual(rounds, 5)

    def test_engine_in_backoff_does_not_delay_the_others(self) -> None:
        engines = make_engines(4)
        engines[0].retry_at = 10.0
        self.assertEqual(select_engines_to_load(engines, 2, 0.0), ["e1"])
        for engine in engines[1:]:
            engine.version = 2
        self.assertEqual(select_engines_to_load(engines, 2, 5.0), [])
        self.assertEqual(select_engines_to_load(engines, 2, 10.0), ["e0"])

    def test_single_engine_is_selected(self) -> None:
        self.assertEqual(select_engines_to_load(make_engines(1), 2, 0.0), ["e0"])


class _FakeWeightStore:
    """Admit two fetches, then reject two requests for each admitted one."""

    def __init__(self) -> None:
        self.request_count = 0

    async def newest_version(self, model: str) -> int:
        return 2

    async def request_fetch_url(self, model: str, version: int) -> str:
        self.request_count += 1
        if self.request_count > 2 and self.request_count % 3:
            raise AcaciarillError("rate", step=Step.ORDER, code="rate-limited", retry_after_s=0.01)
        return f"weights/{version}"


class _FakeSender:
    """Accept orders and record how many run at once."""

    def __init__(self) -> None:
        self.running = self.max_running = 0
        self.urls: list[str] = []

    def is_lease_held(self, epoch: int) -> bool:
        return True

    async def send(self, method: str, url: str, epoch: int, order: dict) -> dict:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.urls.append(order["url"])
        await anyio.sleep(0.001)
        self.running -= 1
        return {}


class RolloutTest(unittest.IsolatedAsyncioTestCase):
    """Test a rollout against the rate limit of the weight store."""

    async def test_rate_limited_fetch_is_not_counted_as_engine_failure(self) -> None:
        names = [f"e{number}" for number in range(8)]
        upstream_entries = [
            {"name": name, "serves": "m", "data_centre": "dc-1", "address": "127.0.0.1:1"}
            for name in names
        ]
        config = ConfigCoordinator()
        section = {"models": [{"name": "m"}], "upstreams": upstream_entries}
        config.update_document(build_document(1, {"owner": section}))
        sender, upstreams = _FakeSender(), SimpleNamespace(states={})
        rollout = Rollout("dc-1", config, upstreams, _FakeWeightStore(), sender, lambda: 0.0)
        await rollout.run_once(Lease(1, 10.0))
        self.assertEqual({rollout.engines[name].version for name in names}, {2})
        self.assertEqual(sender.urls, ["weights/2"] * len(names))
        self.assertEqual(rollout.failure_counts, {})
        self.assertLessEqual(sender.max_running, 2)  # a quarter of eight
