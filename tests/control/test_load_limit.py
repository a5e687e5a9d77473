"""Test how many weight loads run at once when nobody says how many the engines bear."""

import unittest

from acaciarill.control import LoadLimit


class LoadLimitTest(unittest.TestCase):
    """Load engines again and again; above a number of loads each takes longer."""

    def run_loads(self, load_limit: LoadLimit, borne: int, load_s: float, waves: int) -> list[int]:
        """Return the limit after each wave of as many loads as it allows."""
        limits, now = [], 0.0
        for _ in range(waves):
            concurrent = load_limit.value
            duration_s = load_s * max(1.0, concurrent / borne)
            now += duration_s
            for _ in range(concurrent):
                load_limit.record_load(concurrent, duration_s, now)
            limits.append(load_limit.value)
        return limits

    def test_many_engines_behind_are_loaded_as_fast_as_they_bear(self) -> None:
        # Trainers publish four versions in four seconds for 44 engines; two loads a second starve
        # them.
        limits = self.run_loads(LoadLimit(), borne=9, load_s=0.9, waves=12)
        self.assertGreaterEqual(limits[2], 9)
        self.assertTrue(all(6 <= limit <= 18 for limit in limits[2:]), limits)

    def test_limit_stays_near_what_few_engines_bear(self) -> None:
        limits = self.run_loads(LoadLimit(), borne=2, load_s=0.9, waves=40)
        self.assertLessEqual(max(limits), 4)
        self.assertLessEqual(sum(limits) / len(limits), 3.0)

    def test_slow_loads_at_other_sites_are_no_sign_of_too_many(self) -> None:
        fast = self.run_loads(LoadLimit(), borne=9, load_s=0.9, waves=6)
        self.assertEqual(self.run_loads(LoadLimit(), borne=9, load_s=4.5, waves=6), fast)

    def test_one_slow_engine_lowers_the_limit_by_little_and_for_a_while(self) -> None:
        load_limit = LoadLimit(value=9, fastest_load_s=0.9)
        load_limit.record_load(9, 3.0, 100.0)
        self.assertEqual(load_limit.value, 6)
        load_limit.record_load(6, 0.9, 101.0)
        self.assertEqual(load_limit.value, 6)
        load_limit.record_load(6, 0.9, 111.0)
        self.assertEqual(load_limit.value, 7)
