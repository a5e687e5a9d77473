"""Test that each checker accepts a valid history and rejects an invalid one."""

import unittest

from tests.proofs import checkers
from tests.proofs.history import Call, DeliveredSample


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
    """Run each checker on small hand-made histories."""

    def test_find_repeated_runs_counts_resubmissions_as_one_request(self) -> None:
        self.assertEqual(checkers.find_repeated_runs([run("a"), run("b")]), [])
        self.assertEqual(len(checkers.find_repeated_runs([run("a"), run("a", "u2")])), 1)
        self.assertEqual(len(checkers.find_repeated_runs([run("a.0"), run("a.1")])), 1)

    def test_find_false_not_run_reports_refused_requests_that_ran(self) -> None:
        refused = call("a", status=503, outcome="not-run")
        self.assertEqual(checkers.find_false_not_run([refused], [run("b")]), [])
        self.assertEqual(len(checkers.find_false_not_run([refused], [run("a")])), 1)

    def test_find_incomplete_responses_ignores_failed_connections(self) -> None:
        line = b'{"text":"x","tokens":4}\n'
        end = b'{"done":true,"tokens":4}\n'
        whole = call("a", status=200, expected_tokens=4, body=line + end)
        truncated = call("b", status=200, expected_tokens=4, body=line)
        connection_failed = call(
            "c", status=200, expected_tokens=4, body=line, connection_failed=True
        )
        foreign = call("d", status=200, body=b'{"echo":"e"}')
        self.assertEqual(checkers.find_incomplete_responses([whole, connection_failed]), [])
        self.assertEqual(len(checkers.find_incomplete_responses([truncated, foreign])), 2)

    def test_find_interrupted_requests_accepts_not_run_refusals(self) -> None:
        self.assertEqual(
            checkers.find_interrupted_requests([call("a", status=200, outcome="ran")]), []
        )
        self.assertEqual(
            checkers.find_interrupted_requests([call("a", status=503, outcome="not-run")]), []
        )
        self.assertEqual(
            len(checkers.find_interrupted_requests([call("a", connection_failed=True)])), 1
        )
        self.assertEqual(
            len(checkers.find_interrupted_requests([call("a", status=502, outcome="unknown")])), 1
        )

    def test_find_delivery_errors_reports_duplicate_and_missing_samples(self) -> None:
        pair = [DeliveredSample(sample(0, i, [[1, 4]]), 1) for i in (0, 1)]
        self.assertEqual(checkers.find_delivery_errors(pair, 1, 2, True), [])
        self.assertEqual(len(checkers.find_delivery_errors([*pair, pair[0]], 1, 2, True)), 1)
        self.assertEqual(len(checkers.find_delivery_errors(pair[:1], 1, 2, True)), 1)
        self.assertEqual(
            checkers.find_delivery_errors(pair[:1], 1, 2, False), ["the step did not end"]
        )

    def test_find_wrong_weight_versions_compares_all_spans(self) -> None:
        delivered = [DeliveredSample(sample(0, 0, [[1, 4], [2, 4]]), 2)]
        spans = [{"version": 1, "tokens": 4}, {"version": 2, "tokens": 4}]
        record = {"event": "generated", "request_id": "0.0", "spans": spans}
        self.assertEqual(checkers.find_wrong_weight_versions(delivered, [record]), [])
        record["spans"] = spans[:1]
        self.assertEqual(len(checkers.find_wrong_weight_versions(delivered, [record])), 1)

    def test_find_stale_samples_uses_the_oldest_span(self) -> None:
        delivered = [DeliveredSample(sample(0, 0, [[1, 4], [3, 4]]), 3)]
        self.assertEqual(checkers.find_stale_samples(delivered, 2), [])
        self.assertEqual(len(checkers.find_stale_samples(delivered, 1)), 1)

    def test_find_epoch_regressions_reports_an_earlier_epoch_after_a_later_one(self) -> None:
        def order(t: float, fencing: int) -> dict:
            return {"event": "order", "file": "c", "t": t, "fencing": fencing}

        self.assertEqual(checkers.find_epoch_regressions([order(1, 1), order(2, 2)], "order"), [])
        self.assertEqual(
            len(checkers.find_epoch_regressions([order(1, 2), order(2, 1)], "order")), 1
        )

    def test_usage_reports_have_one_figure_and_count_each_window_once(self) -> None:
        def report(requests: int, corrected: int = 0) -> dict:
            corrections = {"0": {"requests": corrected}} if corrected else {}
            figures = {"requests": requests, "corrections": corrections}
            return {"event": "report", "customer": "a", "window": 60, "figures": figures}

        self.assertEqual(checkers.find_conflicting_reports([report(1), report(1)]), [])
        self.assertEqual(len(checkers.find_conflicting_reports([report(1), report(2)])), 1)
        self.assertEqual(checkers.count_reported_requests([report(1, 2), report(1, 2)])["a"], 3)

    def test_find_revision_regressions_treats_incarnations_separately(self) -> None:
        self.assertEqual(
            checkers.find_revision_regressions([("h", "h.1", 1), ("h", "h.1", 2), ("h", "h.2", 0)]),
            [],
        )
        self.assertEqual(
            len(checkers.find_revision_regressions([("h", "h.1", 2), ("h", "h.1", 1)])), 1
        )

    def test_leaked_secrets_and_served_withdrawn_keys_are_reported(self) -> None:
        record = run("a") | {"headers": {"x": "secret"}}
        self.assertEqual(len(checkers.find_leaked_secrets([record], "secret")), 1)
        served = call("a", key="k", status=200)
        self.assertEqual(checkers.find_served_after([served], "k", 11.0), [])
        self.assertEqual(len(checkers.find_served_after([served], "k", 9.0)), 1)

    def test_find_foreign_cache_hits_reports_only_the_given_kinds(self) -> None:
        good = [run("same-1") | {"cached": False}, run("rival-2") | {"cached": True}]
        self.assertEqual(checkers.find_foreign_cache_hits(good, ("same",)), [])
        bad = [run("same-1") | {"cached": True}]
        self.assertEqual(len(checkers.find_foreign_cache_hits(bad, ("same",))), 1)
