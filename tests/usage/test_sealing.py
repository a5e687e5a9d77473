"""Test that a sealed window sums its shards and that late counts become corrections."""

import unittest

from acaciarill.usage import SealedWindow, UsageCounts, seal_window


def shards(**by_incarnation: tuple[int, int]) -> dict[str, dict[str, UsageCounts]]:
    return {name: {"acme": UsageCounts(*counts)} for name, counts in by_incarnation.items()}


class SealWindowTest(unittest.TestCase):
    """Seal windows of 60 s."""

    def test_shards_are_summed(self) -> None:
        sealed = seal_window(60, {60: shards(a=(1, 10), b=(2, 20))}, [])
        self.assertEqual(sealed.report("acme")["requests"], 3)
        self.assertEqual(sealed.report("acme")["tokens"], 30)

    def test_late_shard_becomes_a_correction(self) -> None:
        first = seal_window(60, {60: shards(a=(1, 10))}, [])
        second = seal_window(
            120, {60: shards(a=(1, 10), b=(2, 20)), 120: shards(a=(4, 40))}, [first]
        )
        report = second.report("acme")
        self.assertEqual(report["requests"], 4)
        self.assertEqual(report["corrections"], {"60": {"requests": 2, "tokens": 20}})

    def test_correction_is_reported_once(self) -> None:
        first = seal_window(60, {60: {}}, [])
        late_shard = {60: shards(a=(1, 10))}
        second = seal_window(120, late_shard | {120: {}}, [first])
        third = seal_window(180, late_shard | {120: {}, 180: {}}, [second, first])
        self.assertEqual(second.report("acme")["corrections"]["60"]["requests"], 1)
        self.assertEqual(third.customers(), [])

    def test_increase_of_a_sealed_shard_becomes_a_correction(self) -> None:
        first = seal_window(60, {60: shards(a=(1, 10))}, [])
        second = seal_window(120, {60: shards(a=(3, 30)), 120: {}}, [first])
        self.assertEqual(second.report("acme")["corrections"]["60"]["requests"], 2)

    def test_decoded_window_gives_the_same_report(self) -> None:
        sealed = seal_window(60, {60: shards(a=(1, 10))}, [])
        decoded = SealedWindow.decode(sealed.encode())
        self.assertEqual(decoded.report("acme"), sealed.report("acme"))
        self.assertEqual(decoded.encode(), sealed.encode())
