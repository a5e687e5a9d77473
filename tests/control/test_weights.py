"""Test which engines load which version, for many models on few engines."""

import unittest

from acaciarill.control import Loading, assign_homes, choose_loads
from acaciarill.fleet import Upstream, UpstreamState


def engine(name: str, **versions: int) -> UpstreamState:
    return UpstreamState(Upstream(name, name, "llm", "10.0.0.1:1", "dc", 8, versions=versions))


class HomesTest(unittest.TestCase):
    """Share engines alike between models."""

    def test_each_model_gets_as_many_engines(self) -> None:
        engines = [engine(f"e{i}", a=1, b=1, c=1) for i in range(6)]
        homes = assign_homes(engines, {}, {})
        self.assertEqual(sorted(homes.values()), ["a", "a", "b", "b", "c", "c"])

    def test_homes_stay_and_lost_engines_are_made_up_for(self) -> None:
        engines = [engine(f"e{i}", a=1, b=1) for i in range(6)]
        homes = assign_homes(engines, {}, {})
        left = [state for state in engines if homes[state.upstream.id] == "a"]
        left.append(next(state for state in engines if homes[state.upstream.id] == "b"))
        again = assign_homes(left, {}, homes)
        self.assertEqual(sorted(again.values()), ["a", "a", "b", "b"])

    def test_new_holder_finds_the_homes_by_what_is_loaded(self) -> None:
        engines = [engine("e1", a=7, b=1), engine("e2", a=1, b=9)]
        homes = assign_homes(engines, {"a": 7, "b": 9}, {})
        self.assertEqual(homes, {"e1": "a", "e2": "b"})


class ChooseLoadsTest(unittest.TestCase):
    """Load what open steps cannot use at once, the rest when idle, a few at a time."""

    def choose(
        self,
        engines: list[UpstreamState],
        version: int,
        now: float,
        loading: dict[str, Loading] | None = None,
    ) -> list[tuple[str, bool]]:
        homes = {state.upstream.id: "a" for state in engines}
        loads = choose_loads(engines, homes, {"a": version}, {"a": 0.0}, loading or {}, now)
        return [(load.state.upstream.id, load.urgent) for load in loads]

    def test_only_engine_serves_the_step_that_comes_with_a_version(self) -> None:
        self.assertEqual(self.choose([engine("e1", a=4)], 5, 0.1), [])

    def test_one_idle_engine_a_model_is_loaded_later(self) -> None:
        engines = [engine("e1", a=4), engine("e2", a=5), engine("e3", a=4)]
        self.assertEqual(self.choose(engines, 5, 0.1), [])
        self.assertEqual(self.choose(engines, 5, 1.0), [("e1", False)])

    def test_half_of_the_engines_are_loaded_with_each_version(self) -> None:
        # Engines that are all loaded when idle fall two versions behind all at once, and the next
        # step waits for its first load.
        engines = [engine(f"e{i}", a=4) for i in range(4)]
        self.assertEqual(self.choose(engines, 5, 0.0), [("e0", True), ("e1", True)])

    def test_engines_ordered_on_top_skip_a_version_in_turn(self) -> None:
        # Loads beyond those of the engines at the start are priced.
        engines = [engine(f"e{i}", a=5 if i < 4 else 4) for i in range(6)]
        self.assertEqual(self.choose(engines, 5, 1.0), [])
        loads = self.choose(engines, 6, 0.1)
        self.assertEqual(loads, [("e4", True), ("e5", True)])

    def test_engines_two_versions_behind_are_loaded_at_once(self) -> None:
        engines = [engine("e1", a=4), engine("e2", a=3), engine("e3", a=3), engine("e4", a=3)]
        self.assertEqual(self.choose(engines, 5, 0.0), [("e2", True), ("e3", True)])

    def test_no_more_load_than_the_site_allows(self) -> None:
        engines = [engine(f"e{i}", a=3) for i in range(4)]
        loading = {f"e{i}": Loading("a", 5, 9.0) for i in range(2)}
        self.assertEqual(self.choose(engines, 5, 0.0, loading), [])

    def test_order_for_one_model_does_not_hide_another_model(self) -> None:
        # cwmdu-launch: two of three models got no engine, since orders were kept by engine alone.
        state = engine("e1", a=5, b=1)
        loading = {"e1": Loading("a", 5, 9.0)}
        loads = choose_loads([state], {"e1": "b"}, {"a": 5, "b": 4}, {}, loading, 1.0)
        self.assertEqual([(load.model, load.version) for load in loads], [("b", 4)])
