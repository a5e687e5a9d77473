"""Check recorded histories for violated guarantees.

Each `find_` function returns one line of text for each violation.
"""

from collections import Counter
from collections.abc import Iterable

import orjson

from tests.proofs.history import Call, DeliveredSample


def client_request_id(request_id: str) -> str:
    """Return the client's request id, which is the first part of an attempt's id."""
    return request_id.rpartition("-")[0]


def count_runs_by_request(records: Iterable[dict]) -> Counter[str]:
    """Count how often the upstreams ran each client request."""
    return Counter(client_request_id(r["request_id"]) for r in records if r["event"] == "run")


def find_repeated_runs(records: Iterable[dict]) -> list[str]:
    """Find requests that ran more than once.

    `ID.0` and `ID.1` are two submissions of one request with the same idempotency key.
    """
    total: Counter[str] = Counter()
    for call, count in count_runs_by_request(records).items():
        total[call.partition(".")[0]] += count
    return [f"{request} ran {count} times" for request, count in total.items() if count > 1]


def find_false_not_run(calls: Iterable[Call], records: Iterable[dict]) -> list[str]:
    """Find requests that were refused with the outcome "not-run" although an upstream ran them."""
    run_counts = count_runs_by_request(records)
    refused_ids = {call.id for call in calls if call.status >= 400 and call.outcome == "not-run"}
    served_ids = {call.id for call in calls if call.status == 200}
    return [
        f"{call} was refused as not run, but ran"
        for call in sorted(refused_ids - served_ids)
        if run_counts[call]
    ]


def find_incomplete_responses(calls: Iterable[Call]) -> list[str]:
    """Find responses that ended without an error but are truncated or of another request."""
    violations = []
    for call in calls:
        if call.connection_failed or call.status != 200:
            continue
        if call.expected_tokens:
            lines = [orjson.loads(line) for line in call.body.splitlines()]
            generated_tokens = sum(line["tokens"] for line in lines if not line.get("done"))
            if generated_tokens != call.expected_tokens or not lines[-1].get("done"):
                violations.append(
                    f"{call.id}: {generated_tokens} of {call.expected_tokens} tokens, no error"
                )
        elif orjson.loads(call.body).get("echo") != call.id:
            violations.append(f"{call.id}: response of another request")
    return violations


def find_interrupted_requests(calls: Iterable[Call]) -> list[str]:
    """Find requests that neither completed nor were refused with the outcome "not-run"."""
    return [
        f"{call.id} was interrupted at {call.daemon}"
        for call in calls
        if call.connection_failed or (call.status != 200 and call.outcome != "not-run")
    ]


def find_delivery_errors(
    delivered: Iterable[DeliveredSample], groups: int, size: int, step_completed: bool
) -> list[str]:
    """Find samples that were delivered twice or are missing from a completed step."""
    deliveries = Counter((d.sample["group"], d.sample["index"]) for d in delivered)
    violations = [f"sample {key} delivered {n} times" for key, n in deliveries.items() if n > 1]
    missing = groups * size - len(deliveries)
    if step_completed and missing:
        violations.append(f"{missing} samples were never delivered")
    if not step_completed and not violations:
        violations.append("the step did not end")
    return violations


def find_wrong_weight_versions(
    delivered: Iterable[DeliveredSample], records: Iterable[dict]
) -> list[str]:
    """Find samples whose weight versions differ from those that the engine recorded."""
    recorded_spans = {
        r["request_id"]: [[span["version"], span["tokens"]] for span in r["spans"]]
        for r in records
        if r["event"] == "generated"
    }
    return [
        f"{d.sample['sample_id']}: {d.sample['weight_versions']}"
        for d in delivered
        if recorded_spans.get(d.sample["sample_id"]) != d.sample["weight_versions"]
    ]


def find_stale_samples(delivered: Iterable[DeliveredSample], bound: int) -> list[str]:
    """Find delivered samples beyond the staleness bound, which is in weight versions."""
    return [
        f"{d.sample['sample_id']}: version {oldest} at {d.weight_version}"
        for d in delivered
        if (oldest := min(v for v, _ in d.sample["weight_versions"])) < d.weight_version - bound
    ]


def find_epoch_regressions(records: Iterable[dict], event: str) -> list[str]:
    """Find orders or reports that an upstream accepted after one of a later epoch."""
    newest: dict[str, int] = {}
    violations = []
    for record in sorted((r for r in records if r["event"] == event), key=lambda r: r["t"]):
        upstream_name = record["file"]
        if record["fencing"] < newest.get(upstream_name, 0):
            violations.append(
                f"{upstream_name}: epoch {record['fencing']} after {newest[upstream_name]}"
            )
        newest[upstream_name] = max(record["fencing"], newest.get(upstream_name, 0))
    return violations


def find_conflicting_reports(records: Iterable[dict]) -> list[str]:
    """Find usage windows of a customer that were reported with different figures."""
    figures: dict[tuple[str, int], dict] = {}
    violations = []
    for record in records:
        if record["event"] != "report":
            continue
        window = (record["customer"], record["window"])
        if figures.setdefault(window, record["figures"]) != record["figures"]:
            violations.append(f"{window} was reported with different figures")
    return violations


def count_reported_requests(records: Iterable[dict]) -> Counter[str]:
    """Return the reported requests of each customer, with corrections, each window counted once."""
    total: Counter[str] = Counter()
    counted_windows = set()
    for record in records:
        window = (record.get("customer"), record.get("window"))
        if record["event"] != "report" or window in counted_windows:
            continue
        counted_windows.add(window)
        figures = record["figures"]
        total[record["customer"]] += figures["requests"]
        total[record["customer"]] += sum(c["requests"] for c in figures["corrections"].values())
    return total


def find_revision_regressions(revisions: Iterable[tuple[str, str, int]]) -> list[str]:
    """Find daemon incarnations that show a lower revision after a higher one."""
    highest: dict[str, int] = {}
    violations = []
    for daemon, incarnation, revision in revisions:
        if revision < highest.get(incarnation, 0):
            violations.append(f"{daemon}: {revision} after {highest[incarnation]}")
        highest[incarnation] = max(revision, highest.get(incarnation, 0))
    return violations


def find_leaked_secrets(records: Iterable[dict], secret: str) -> list[str]:
    """Find upstream records that contain a client's secret."""
    return [f"{r['file']}: {r['event']}" for r in records if secret in str(r)]


def find_foreign_cache_hits(records: Iterable[dict], kinds: tuple[str, ...]) -> list[str]:
    """Find requests of the given kinds that hit a prefix cached for another customer.

    `kinds` are id prefixes of requests whose prompt is new for their customer.
    """
    return [
        f"{r['request_id']} hit a cached prefix that its customer never sent"
        for r in records
        if r["event"] == "run" and r["cached"] and r["request_id"].startswith(kinds)
    ]


def find_served_after(calls: Iterable[Call], key: str, moment: float) -> list[str]:
    """Find requests with a key that were sent after its withdrawal and served."""
    return [
        f"{call.id} was served at {call.daemon}"
        for call in calls
        if call.key == key and call.sent_at > moment and call.status == 200
    ]
