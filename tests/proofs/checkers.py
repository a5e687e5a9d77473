"""Judge histories: each checker returns one line for each violation found."""

from collections import Counter
from collections.abc import Iterable

import orjson

from tests.proofs.history import Call, Delivered


def owner_of(request_id: str) -> str:
    """Return the caller's id inside an id that a daemon gave to an attempt."""
    return request_id.rpartition("-")[0]


def runs_by_call(records: Iterable[dict]) -> Counter[str]:
    """Count how often the upstreams ran each caller's request."""
    return Counter(owner_of(r["request_id"]) for r in records if r["event"] == "run")


def at_most_once(records: Iterable[dict]) -> list[str]:
    """Find requests that ran more than once; `ID.0` and `ID.1` are resends of one request."""
    total: Counter[str] = Counter()
    for call, count in runs_by_call(records).items():
        total[call.partition(".")[0]] += count
    return [f"{request} ran {count} times" for request, count in total.items() if count > 1]


def not_run_is_true(calls: Iterable[Call], records: Iterable[dict]) -> list[str]:
    """Find refusals that say "not run" of requests that an upstream ran."""
    ran = runs_by_call(records)
    said = {call.id for call in calls if call.status >= 400 and call.outcome == "not-run"}
    answered = {call.id for call in calls if call.status == 200}
    return [
        f"{call} was refused as not run, but ran" for call in sorted(said - answered) if ran[call]
    ]


def whole_answers(calls: Iterable[Call]) -> list[str]:
    """Find answers that ended cleanly but are not whole or not the caller's own."""
    violations = []
    for call in calls:
        if call.connection_failed or call.status != 200:
            continue
        if call.wanted_tokens:
            lines = [orjson.loads(line) for line in call.body.splitlines()]
            made = sum(line["tokens"] for line in lines if not line.get("done"))
            if made != call.wanted_tokens or not lines[-1].get("done"):
                violations.append(
                    f"{call.id}: {made} of {call.wanted_tokens} tokens, ended cleanly"
                )
        elif orjson.loads(call.body).get("echo") != call.id:
            violations.append(f"{call.id}: another's answer")
    return violations


def nothing_cut(calls: Iterable[Call]) -> list[str]:
    """Find requests that got no whole answer and no truthful refusal."""
    return [
        f"{call.id} was cut at {call.daemon}"
        for call in calls
        if call.connection_failed or (call.status != 200 and call.outcome != "not-run")
    ]


def exactly_once(
    delivered: Iterable[Delivered], groups: int, size: int, complete: bool
) -> list[str]:
    """Find slots delivered twice, and slots missing from a finished step."""
    seen = Counter((d.sample["group"], d.sample["index"]) for d in delivered)
    violations = [f"slot {slot} delivered {n} times" for slot, n in seen.items() if n > 1]
    missing = groups * size - len(seen)
    if complete and missing:
        violations.append(f"{missing} slots were never delivered")
    if not complete and not violations:
        violations.append("the step did not end")
    return violations


def true_versions(delivered: Iterable[Delivered], records: Iterable[dict]) -> list[str]:
    """Find samples whose weight versions differ from the engine's own record."""
    made = {
        r["request_id"]: [[span["version"], span["tokens"]] for span in r["spans"]]
        for r in records
        if r["event"] == "generated"
    }
    return [
        f"{d.sample['sample_id']}: {d.sample['weight_versions']}"
        for d in delivered
        if made.get(d.sample["sample_id"]) != d.sample["weight_versions"]
    ]


def fresh_enough(delivered: Iterable[Delivered], bound: int) -> list[str]:
    """Find samples with a span older than the bound at hand-over."""
    return [
        f"{d.sample['sample_id']}: version {oldest} at {d.weight_version}"
        for d in delivered
        if (oldest := min(v for v, _ in d.sample["weight_versions"])) < d.weight_version - bound
    ]


def fenced(records: Iterable[dict], event: str) -> list[str]:
    """Find orders or reports of an epoch after one of a later epoch, for each upstream."""
    newest: dict[str, int] = {}
    violations = []
    for record in sorted((r for r in records if r["event"] == event), key=lambda r: r["t"]):
        peer = record["file"]
        if record["fencing"] < newest.get(peer, 0):
            violations.append(f"{peer}: epoch {record['fencing']} after {newest[peer]}")
        newest[peer] = max(record["fencing"], newest.get(peer, 0))
    return violations


def find_conflicting_reports(records: Iterable[dict]) -> list[str]:
    """Find windows of a customer reported with different figures."""
    figures: dict[tuple[str, int], dict] = {}
    violations = []
    for record in records:
        if record["event"] != "report":
            continue
        window = (record["customer"], record["window"])
        if figures.setdefault(window, record["figures"]) != record["figures"]:
            violations.append(f"{window} reported with two figures")
    return violations


def count_reported_requests(records: Iterable[dict]) -> Counter[str]:
    """Sum the reported requests of each customer, corrections included, each window once."""
    total: Counter[str] = Counter()
    seen = set()
    for record in records:
        window = (record.get("customer"), record.get("window"))
        if record["event"] != "report" or window in seen:
            continue
        seen.add(window)
        figures = record["figures"]
        total[record["customer"]] += figures["requests"]
        total[record["customer"]] += sum(c["requests"] for c in figures["corrections"].values())
    return total


def never_back(revisions: Iterable[tuple[str, str, int]]) -> list[str]:
    """Find an incarnation of a daemon that shows a lower revision after a higher one."""
    highest: dict[str, int] = {}
    violations = []
    for daemon, incarnation, revision in revisions:
        if revision < highest.get(incarnation, 0):
            violations.append(f"{daemon}: {revision} after {highest[incarnation]}")
        highest[incarnation] = max(revision, highest.get(incarnation, 0))
    return violations


def no_secret(records: Iterable[dict], secret: str) -> list[str]:
    """Find records of upstreams in which a caller's secret stands."""
    return [f"{r['file']}: {r['event']}" for r in records if secret in str(r)]


def cached_for(records: Iterable[dict], kinds: tuple[str, ...]) -> list[str]:
    """Find first requests of a prompt by a customer that met a cached prefix all the same."""
    return [
        f"{r['request_id']} met a prefix that its customer never sent"
        for r in records
        if r["event"] == "run" and r["cached"] and r["request_id"].startswith(kinds)
    ]


def refused_after(calls: Iterable[Call], key: str, moment: float) -> list[str]:
    """Find requests with a withdrawn key that were sent after a moment and served."""
    return [
        f"{call.id} was served at {call.daemon}"
        for call in calls
        if call.key == key and call.sent_at > moment and call.status == 200
    ]
