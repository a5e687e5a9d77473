"""Test which engines load which version when several models share few engines."""

import unittest

from acaciarill.control import (
    OrderBackoff,
    PendingWeightLoad,
    assign_models,
    choose_weight_loads,
)
from acaciarill.fleet import Upstream, UpstreamState


def engine(name: str, **versions: int) -> UpstreamState:
    return UpstreamState(Upstream(name, name, "llm", "10.0.0.1:1", "dc", 8, versions=versions))


class AssignModelsTest(unittest.TestCase):
    """Assign engines evenly to models."""

    def test_each_model_gets_as_many_engines_as_the_others(self) -> None:
        engines = [engine(f"e{i}", a=1, b=1, c=1) for i in range(6)]
        assignments = assign_models(engines, {}, {})
        self.assertEqual(sorted(assignments.values()), ["a", "a", "b", "b", "c", "c"])

    def test_assignments_are_kept_and_rebalanced_after_losses(self) -> None:
        engines = [engine(f"e{i}", a=1, b=1) for i in range(6)]
        assignments = assign_models(engines, {}, {})
        remaining = [state for state in engines if assignments[state.upstream.id] == "a"]
        remaining.append(next(state for state in engines if assignments[state.upstream.id] == "b"))
        rebalanced = assign_models(remaining, {}, assignments)
        self.assertEqual(sorted(rebalanced.values()), ["a", "a", "b", "b"])

    def test_new_holder_assigns_models_by_the_loaded_versions(self) -> None:
        engines = [engine("e1", a=7, b=1), engine("e2", a=1, b=9)]
        assignments = assign_models(engines, {"a": 7, "b": 9}, {})
        self.assertEqual(assignments, {"e1": "a", "e2": "b"})


class ChooseWeightLoadsTest(unittest.TestCase):
    """Load at once the engines that open steps cannot use, others when idle, a few at a time."""

    def choose(
        self,
        engines: list[UpstreamState],
        version: int,
        now: float,
        pending_loads: dict[str, PendingWeightLoad] | None = None,
        backoffs: dict[str, OrderBackoff] | None = None,
    ) -> list[tuple[str, bool]]:
        assignments = {state.upstream.id: "a" for state in engines}
        loads = choose_weight_loads(
            engines,
            assignments,
            {"a": version},
            {"a": 0.0},
            pending_loads or {},
            now,
            backoffs=backoffs or {},
        )
        return [(load.state.upstream.id, load.urgent) for load in loads]

    def test_only_engine_is_not_loaded_during_the_idle_delay(self) -> None:
        self.assertEqual(self.choose([engine("e1", a=4)], 5, 0.1), [])

    def test_one_idle_engine_per_model_is_loaded_after_the_delay(self) -> None:
        engines = [engine("e1", a=4), engine("e2", a=5), engine("e3", a=4)]
        self.assertEqual(self.choose(engines, 5, 0.1), [])
        self.assertEqual(self.choose(engines, 5, 1.0), [("e1", False)])

    def test_half_of_the_engines_are_loaded_at_once(self) -> None:
        # If all engines waited until they are idle, all of them could fall two versions behind
        # together, and the next training step would wait for its first load.
        engines = [engine(f"e{i}", a=4) for i in range(4)]
        self.assertEqual(self.choose(engines, 5, 0.0), [("e0", True), ("e1", True)])

    def test_additional_engines_alternate_in_skipping_a_version(self) -> None:
        # Loads beyond those of the initial engines are priced.
        engines = [engine(f"e{i}", a=5 if i < 4 else 4) for i in range(6)]
        self.assertEqual(self.choose(engines, 5, 1.0), [])
        loads = self.choose(engines, 6, 0.1)
        self.assertEqual(loads, [("e4", True), ("e5", True)])

    def test_engines_two_versions_behind_are_loaded_first(self) -> None:
        engines = [engine("e1", a=4), engine("e2", a=3), engine("e3", a=3), engine("e4", a=3)]
        self.assertEqual(self.choose(engines, 5, 0.0), [("e2", True), ("e3", True)])

    def test_concurrent_loads_are_limited(self) -> None:
        engines = [engine(f"e{i}", a=3) for i in range(4)]
        pending_loads = {f"e{i}": PendingWeightLoad("a", 5, 9.0) for i in range(2)}
        self.assertEqual(self.choose(engines, 5, 0.0, pending_loads), [])

    def test_pending_load_of_one_model_does_not_block_a_load_of_another(self) -> None:
        # Two of three models got no engine while pending loads were recorded without their model.
        state = engine("e1", a=5, b=1)
        pending_loads = {"e1": PendingWeightLoad("a", 5, 9.0)}
        loads = choose_weight_loads([state], {"e1": "b"}, {"a": 5, "b": 4}, {}, pending_loads, 1.0)
        self.assertEqual([(load.model, load.version) for load in loads], [("b", 4)])

    def test_engines_that_refuse_orders_do_not_hold_up_the_loads_of_the_others(self) -> None:
        # Two crashed engines stay registered for seconds, and their addresses belong to others.
        engines = [engine("gone1", a=1), engine("gone2", a=1), engine("e1", a=3), engine("e2", a=3)]
        backoffs = {"gone1": OrderBackoff(), "gone2": OrderBackoff()}
        for backoff in backoffs.values():
            backoff.extend(0.0)
        loads = self.choose(engines, 5, 0.2, backoffs=backoffs)
        self.assertEqual(loads, [("e1", True), ("e2", True)])
        for backoff in backoffs.values():
            backoff.extend(0.5)
        self.assertEqual(self.choose(engines, 5, 1.2, backoffs=backoffs)[0], ("e1", True))
        self.assertEqual(self.choose(engines, 5, 1.4, backoffs=backoffs)[0], ("gone1", True))
