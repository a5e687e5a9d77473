"""Show each checker accepting a good history and rejecting a broken one."""

import unittest

from tests.proofs import checkers
from tests.proofs.history import Call, Delivered


def run(call: str, file: str = "u1") -> dict:
    return {"event": "run", "request_id": f"{call}-0123456789abcdef.h1.0", "file": file}


def call(call_id: str, **fields) -> Call:
    made = Call(call_id, 10.0)
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def sample(group: int, index: int, versions: list) -> dict:
    return {
        "group": group,
        "index": index,
        "weight_versions": versions,
        "sample_id": f"{group}.{index}",
    }


class CheckerTest(unittest.TestCase):
    """Judge small histories."""

    def test_at_most_once(self) -> None:
        self.assertEqual(checkers.at_most_once([run("a"), run("b")]), [])
        self.assertEqual(len(checkers.at_most_once([run("a"), run("a", "u2")])), 1)
        self.assertEqual(len(checkers.at_most_once([run("a.0"), run("a.1")])), 1)

    def test_not_run_is_true(self) -> None:
        refused = call("a", status=503, outcome="not-run")
        self.assertEqual(checkers.not_run_is_true([refused], [run("b")]), [])
        self.assertEqual(len(checkers.not_run_is_true([refused], [run("a")])), 1)

    def test_whole_answers(self) -> None:
        line = b'{"text":"x","tokens":4}\n'
        end = b'{"done":true,"tokens":4}\n'
        whole = call("a", status=200, wanted_tokens=4, body=line + end)
        cut = call("b", status=200, wanted_tokens=4, body=line)
        connection_failed = call(
            "c", status=200, wanted_tokens=4, body=line, connection_failed=True
        )
        crossed = call("d", status=200, body=b'{"echo":"e"}')
        self.assertEqual(checkers.whole_answers([whole, connection_failed]), [])
        self.assertEqual(len(checkers.whole_answers([cut, crossed])), 2)

    def test_nothing_cut(self) -> None:
        self.assertEqual(checkers.nothing_cut([call("a", status=200, outcome="ran")]), [])
        self.assertEqual(checkers.nothing_cut([call("a", status=503, outcome="not-run")]), [])
        self.assertEqual(len(checkers.nothing_cut([call("a", connection_failed=True)])), 1)
        self.assertEqual(len(checkers.nothing_cut([call("a", status=502, outcome="unknown")])), 1)

    def test_exactly_once(self) -> None:
        both = [Delivered(sample(0, i, [[1, 4]]), 1) for i in (0, 1)]
        self.assertEqual(checkers.exactly_once(both, 1, 2, True), [])
        self.assertEqual(len(checkers.exactly_once([*both, both[0]], 1, 2, True)), 1)
        self.assertEqual(len(checkers.exactly_once(both[:1], 1, 2, True)), 1)
        self.assertEqual(checkers.exactly_once(both[:1], 1, 2, False), ["the step did not end"])

    def test_true_versions(self) -> None:
        delivered = [Delivered(sample(0, 0, [[1, 4], [2, 4]]), 2)]
        spans = [{"version": 1, "tokens": 4}, {"version": 2, "tokens": 4}]
        record = {"event": "generated", "request_id": "0.0", "spans": spans}
        self.assertEqual(checkers.true_versions(delivered, [record]), [])
        record["spans"] = spans[:1]
        self.assertEqual(len(checkers.true_versions(delivered, [record])), 1)

    def test_fresh_enough(self) -> None:
        delivered = [Delivered(sample(0, 0, [[1, 4], [3, 4]]), 3)]
        self.assertEqual(checkers.fresh_enough(delivered, 2), [])
        self.assertEqual(len(checkers.fresh_enough(delivered, 1)), 1)

    def test_fenced(self) -> None:
        def order(t: float, fencing: int) -> dict:
            return {"event": "order", "file": "c", "t": t, "fencing": fencing}

        self.assertEqual(checkers.fenced([order(1, 1), order(2, 2)], "order"), [])
        self.assertEqual(len(checkers.fenced([order(1, 2), order(2, 1)], "order")), 1)

    def test_reports(self) -> None:
        def report(requests: int, corrected: int = 0) -> dict:
            corrections = {"0": {"requests": corrected}} if corrected else {}
            figures = {"requests": requests, "corrections": corrections}
            return {"event": "report", "customer": "a", "window": 60, "figures": figures}

        self.assertEqual(checkers.find_conflicting_reports([report(1), report(1)]), [])
        self.assertEqual(len(checkers.find_conflicting_reports([report(1), report(2)])), 1)
        self.assertEqual(checkers.count_reported_requests([report(1, 2), report(1, 2)])["a"], 3)

    def test_never_back(self) -> None:
        self.assertEqual(
            checkers.never_back([("h", "h.1", 1), ("h", "h.1", 2), ("h", "h.2", 0)]), []
        )
        self.assertEqual(len(checkers.never_back([("h", "h.1", 2), ("h", "h.1", 1)])), 1)

    def test_secrets_and_withdrawn_keys(self) -> None:
        record = run("a") | {"headers": {"x": "secret"}}
        self.assertEqual(len(checkers.no_secret([record], "secret")), 1)
        served = call("a", key="k", status=200)
        self.assertEqual(checkers.refused_after([served], "k", 11.0), [])
        self.assertEqual(len(checkers.refused_after([served], "k", 9.0)), 1)

    def test_cached_for(self) -> None:
        good = [run("same-1") | {"cached": False}, run("rival-2") | {"cached": True}]
        self.assertEqual(checkers.cached_for(good, ("same",)), [])
        bad = [run("same-1") | {"cached": True}]
        self.assertEqual(len(checkers.cached_for(bad, ("same",))), 1)
