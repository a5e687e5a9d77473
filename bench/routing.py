"""Compare the choice of upstreams with round robin and random choice, on a virtual clock.

Daemons choose by load reports that are seconds old; engines cache prompt prefixes, which shorten a
generation that hits.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import click
import numpy as np

from acaciarill.config import Upstream
from acaciarill.upstreams import UpstreamState, choose_upstream
from acaciarill.upstreams.const import AFFINITY_LOAD_FACTOR, AFFINITY_LOAD_SLACK

DAEMONS, ENGINES, SLOTS = 12, 12, 8
SERVICE_S, HIT_FACTOR = 2.0, 0.6
PREFIXES, CACHED = 300, 40
REPORT_PERIOD_S, REPORT_LAG_S = 2.0, 2.5
UTILISATION = 0.85

EVENT_LAG_S, EVENT_GAP_SHARE = 1.5, 0.1

Holders = dict[str, set[int]]
"""Engines that hold each prefix, as far as late cache events with gaps tell."""
Chooser = Callable[[int, list[UpstreamState], str, float, random.Random, Holders], UpstreamState]


@dataclass(slots=True)
class Engine:
    """Run up to its slots at once; the rest wait in order."""

    running: int = 0
    queue: list[tuple[float, int, str]] = field(default_factory=list)
    cache: OrderedDict[str, bool] = field(default_factory=OrderedDict)

    def touch(self, prefix: str) -> tuple[bool, str]:
        """Look a prefix up and keep it; tell whether it was there and which one was evicted."""
        hit, evicted = prefix in self.cache, ""
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED:
            evicted, _ = self.cache.popitem(last=False)
        return hit, evicted


def run(chooser: Chooser, requests: int, seed: int) -> tuple[np.ndarray, float, float]:
    """Return durations, the share of hits, and the highest queue over the mean one."""
    rng = random.Random(seed)
    engines = [Engine() for _ in range(ENGINES)]
    views = [
        [
            UpstreamState(Upstream(f"e{n}", "m", "dc", f"127.0.0.1:{n + 1}", slots=SLOTS))
            for n in range(ENGINES)
        ]
        for _ in range(DAEMONS)
    ]
    weights = [1 / (rank + 1) for rank in range(PREFIXES)]
    order = itertools.count()
    events: list[tuple[float, int, str, tuple]] = []
    rate = UTILISATION * ENGINES * SLOTS / SERVICE_S
    at = 0.0
    for _ in range(requests):
        at += rng.expovariate(rate)
        heapq.heappush(events, (at, next(order), "arrive", ()))
    for moment in np.arange(0, at, REPORT_PERIOD_S):
        heapq.heappush(events, (float(moment), next(order), "measure", ()))
    durations: list[float] = []
    hits, spread = 0, []
    holders: Holders = {}

    def publish(now: float, number: int, prefix: str, stored: bool) -> None:
        if prefix and rng.random() >= EVENT_GAP_SHARE:
            event = (now + EVENT_LAG_S, next(order), "cache", (number, prefix, stored))
            heapq.heappush(events, event)

    def start(number: int, now: float, daemon: int, arrived: float, prefix: str) -> None:
        nonlocal hits
        engine = engines[number]
        engine.running += 1
        hit, evicted = engine.touch(prefix)
        hits += hit
        if not hit:
            publish(now, number, prefix, True)
        publish(now, number, evicted, False)
        seconds = rng.expovariate(1 / SERVICE_S) * (HIT_FACTOR if hit else 1.0)
        entry = (now + seconds, next(order), "end", (number, daemon, arrived))
        heapq.heappush(events, entry)

    while events:
        now, _, kind, data = heapq.heappop(events)
        if kind == "arrive":
            daemon = rng.randrange(DAEMONS)
            prefix = f"p{rng.choices(range(PREFIXES), weights)[0]}"
            state = chooser(daemon, views[daemon], prefix, now, rng, holders)
            state.in_flight += 1
            number = int(state.upstream.name[1:])
            if engines[number].running < SLOTS:
                start(number, now, daemon, now, prefix)
            else:
                engines[number].queue.append((now, daemon, prefix))
        elif kind == "end":
            number, daemon, arrived = data
            durations.append(now - arrived)
            views[daemon][number].in_flight -= 1
            engine = engines[number]
            engine.running -= 1
            if engine.queue:
                arrived, daemon, prefix = engine.queue.pop(0)
                start(number, now, daemon, arrived, prefix)
        elif kind == "cache":
            number, prefix, stored = data
            known = holders.setdefault(prefix, set())
            known.add(number) if stored else known.discard(number)
        elif kind == "measure":
            loads = tuple(engine.running + len(engine.queue) for engine in engines)
            spread.append(max(loads) / max(1.0, sum(loads) / ENGINES))
            heapq.heappush(events, (now + REPORT_LAG_S, next(order), "report", loads))
        else:
            for view in views:
                for state, load in zip(view, data, strict=True):
                    state.apply_report(load, 1)
    return np.array(durations), hits / requests, float(np.mean(spread))


def _round_robin() -> Chooser:
    turns = [itertools.count(daemon) for daemon in range(DAEMONS)]
    return lambda daemon, states, *_: states[next(turns[daemon]) % len(states)]


def _least_reported(daemon, states, prefix, now, rng, holders) -> UpstreamState:  # noqa: ANN001
    return min(states, key=lambda state: state.reported_load)


def _by_cache_events(daemon, states, prefix, now, rng, holders) -> UpstreamState:  # noqa: ANN001
    """Prefer the least loaded engine that is known to hold the prefix, within bounded load."""
    known = [states[number] for number in holders.get(prefix, ())]
    if known:
        preferred = min(known, key=lambda state: state.load_score(now))
        mean = sum(state.load_score(now) for state in states) / len(states)
        if preferred.load_score(now) <= mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK:
            return preferred
    return choose_upstream(states, "dc", prefix, now, rng)


def _by_own_memory() -> Chooser:
    """Prefer the engine that this daemon last sent the prefix to, within bounded load."""
    memories: list[OrderedDict[str, int]] = [OrderedDict() for _ in range(DAEMONS)]

    def chooser(daemon, states, prefix, now, rng, holders) -> UpstreamState:  # noqa: ANN001
        memory = memories[daemon]
        last = memory.get(prefix)
        own = {} if last is None else {prefix: {last}}
        state = _by_cache_events(daemon, states, prefix, now, rng, own)
        memory[prefix] = int(state.upstream.name[1:])
        return state

    return chooser


def choosers() -> dict[str, Chooser]:
    """Return the ways of choosing that are compared, by label."""
    return {
        "acaciarill": lambda d, s, p, now, r, h: choose_upstream(s, "dc", p, now, r),
        "hash and cache events": _by_cache_events,
        "hash and own memory": _by_own_memory(),
        "without prefixes": lambda d, s, p, now, r, h: choose_upstream(s, "dc", "", now, r),
        "round robin": _round_robin(),
        "least reported load": _least_reported,
        "random": lambda d, s, p, now, r, h: r.choice(s),
    }


@click.command()
@click.option("--requests", default=30_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(requests: int, seed: int) -> None:
    """Print one row for each way of choosing."""
    print(f"{DAEMONS} daemons, {ENGINES} engines of {SLOTS} slots, load {UTILISATION:.0%}")
    print("| choice | p50, s | p99, s | prefix hits | highest over mean queue |")
    print("| --- | --- | --- | --- | --- |")
    for label, chooser in choosers().items():
        durations, hits, spread = run(chooser, requests, seed)
        p50, p99 = np.percentile(durations, [50, 99])
        print(f"| {label} | {p50:.2f} | {p99:.2f} | {hits:.1%} | {spread:.2f} |", flush=True)


if __name__ == "__main__":
    main()
