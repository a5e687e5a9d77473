"""Compare upstream selection with round robin and random selection, on a virtual clock.

Daemons select by load reports that are seconds old; engines cache prompt prefixes, and a cache hit
shortens the generation.
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
SERVICE_S, CACHE_HIT_DURATION_FACTOR = 2.0, 0.6
PREFIX_COUNT, CACHE_CAPACITY = 300, 40
REPORT_PERIOD_S, REPORT_LAG_S = 2.0, 2.5
UTILISATION = 0.85

EVENT_LAG_S, EVENT_LOSS_SHARE = 1.5, 0.1

PrefixHolders = dict[str, set[int]]
"""Engines that cache each prefix, according to cache events that are late and partly lost."""
Chooser = Callable[
    [int, list[UpstreamState], str, float, random.Random, PrefixHolders], UpstreamState
]


@dataclass(slots=True)
class Engine:
    """Simulate an engine: run up to SLOTS requests concurrently, queue the rest in FIFO order."""

    running: int = 0
    queue: list[tuple[float, int, str]] = field(default_factory=list)
    cache: OrderedDict[str, bool] = field(default_factory=OrderedDict)

    def access(self, prefix: str) -> tuple[bool, str]:
        """Cache a prefix as the most recent; return whether it was a hit, and what was evicted."""
        hit, evicted = prefix in self.cache, ""
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHE_CAPACITY:
            evicted, _ = self.cache.popitem(last=False)
        return hit, evicted


def run(chooser: Chooser, requests: int, seed: int) -> tuple[np.ndarray, float, float]:
    """Return the durations in seconds, the cache hit rate and the mean of max over mean load."""
    rng = random.Random(seed)
    engines = [Engine() for _ in range(ENGINES)]
    daemon_states = [
        [
            UpstreamState(Upstream(f"e{n}", "m", "dc", f"127.0.0.1:{n + 1}", slots=SLOTS))
            for n in range(ENGINES)
        ]
        for _ in range(DAEMONS)
    ]
    weights = [1 / (rank + 1) for rank in range(PREFIX_COUNT)]
    order = itertools.count()
    events: list[tuple[float, int, str, tuple]] = []
    rate = UTILISATION * ENGINES * SLOTS / SERVICE_S
    arrived_at = 0.0
    for _ in range(requests):
        arrived_at += rng.expovariate(rate)
        heapq.heappush(events, (arrived_at, next(order), "arrive", ()))
    for report_time in np.arange(0, arrived_at, REPORT_PERIOD_S):
        heapq.heappush(events, (float(report_time), next(order), "measure", ()))
    durations: list[float] = []
    hit_count, imbalance = 0, []
    holders: PrefixHolders = {}

    def publish(now: float, engine_number: int, prefix: str, stored: bool) -> None:
        if prefix and rng.random() >= EVENT_LOSS_SHARE:
            event = (now + EVENT_LAG_S, next(order), "cache", (engine_number, prefix, stored))
            heapq.heappush(events, event)

    def start(engine_number: int, now: float, daemon: int, arrived: float, prefix: str) -> None:
        nonlocal hit_count
        engine = engines[engine_number]
        engine.running += 1
        hit, evicted = engine.access(prefix)
        hit_count += hit
        if not hit:
            publish(now, engine_number, prefix, True)
        publish(now, engine_number, evicted, False)
        seconds = rng.expovariate(1 / SERVICE_S) * (CACHE_HIT_DURATION_FACTOR if hit else 1.0)
        entry = (now + seconds, next(order), "end", (engine_number, daemon, arrived))
        heapq.heappush(events, entry)

    while events:
        now, _, kind, data = heapq.heappop(events)
        if kind == "arrive":
            daemon = rng.randrange(DAEMONS)
            prefix = f"p{rng.choices(range(PREFIX_COUNT), weights)[0]}"
            state = chooser(daemon, daemon_states[daemon], prefix, now, rng, holders)
            state.in_flight += 1
            engine_number = int(state.upstream.name[1:])
            if engines[engine_number].running < SLOTS:
                start(engine_number, now, daemon, now, prefix)
            else:
                engines[engine_number].queue.append((now, daemon, prefix))
        elif kind == "end":
            engine_number, daemon, arrived = data
            durations.append(now - arrived)
            daemon_states[daemon][engine_number].in_flight -= 1
            engine = engines[engine_number]
            engine.running -= 1
            if engine.queue:
                arrived, daemon, prefix = engine.queue.pop(0)
                start(engine_number, now, daemon, arrived, prefix)
        elif kind == "cache":
            engine_number, prefix, stored = data
            holder_numbers = holders.setdefault(prefix, set())
            holder_numbers.add(engine_number) if stored else holder_numbers.discard(engine_number)
        elif kind == "measure":
            loads = tuple(engine.running + len(engine.queue) for engine in engines)
            imbalance.append(max(loads) / max(1.0, sum(loads) / ENGINES))
            heapq.heappush(events, (now + REPORT_LAG_S, next(order), "report", loads))
        else:
            for states_of_daemon in daemon_states:
                for state, load in zip(states_of_daemon, data, strict=True):
                    state.apply_report(load, 1)
    return np.array(durations), hit_count / requests, float(np.mean(imbalance))


def _round_robin() -> Chooser:
    counters = [itertools.count(daemon) for daemon in range(DAEMONS)]
    return lambda daemon, states, *_: states[next(counters[daemon]) % len(states)]


def _least_reported(daemon, states, prefix, now, rng, holders) -> UpstreamState:  # noqa: ANN001
    return min(states, key=lambda state: state.reported_load)


def _by_cache_events(daemon, states, prefix, now, rng, holders) -> UpstreamState:  # noqa: ANN001
    """Prefer the least loaded engine that caches the prefix, unless its load exceeds the bound."""
    holding_states = [states[engine_number] for engine_number in holders.get(prefix, ())]
    if holding_states:
        preferred = min(holding_states, key=lambda state: state.load_score(now))
        mean = sum(state.load_score(now) for state in states) / len(states)
        if preferred.load_score(now) <= mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK:
            return preferred
    return choose_upstream(states, "dc", prefix, now, rng)


def _by_own_history() -> Chooser:
    """Prefer the last engine this daemon used for the prefix, unless its load exceeds the bound."""
    last_engines: list[OrderedDict[str, int]] = [OrderedDict() for _ in range(DAEMONS)]

    def chooser(daemon, states, prefix, now, rng, holders) -> UpstreamState:  # noqa: ANN001
        last_engine = last_engines[daemon]
        previous = last_engine.get(prefix)
        own_holders = {} if previous is None else {prefix: {previous}}
        state = _by_cache_events(daemon, states, prefix, now, rng, own_holders)
        last_engine[prefix] = int(state.upstream.name[1:])
        return state

    return chooser


def choosers() -> dict[str, Chooser]:
    """Return the compared selection policies by label."""
    return {
        "acaciarill": lambda d, s, p, now, r, h: choose_upstream(s, "dc", p, now, r),
        "hash and cache events": _by_cache_events,
        "hash and own memory": _by_own_history(),
        "without prefixes": lambda d, s, p, now, r, h: choose_upstream(s, "dc", "", now, r),
        "round robin": _round_robin(),
        "least reported load": _least_reported,
        "random": lambda d, s, p, now, r, h: r.choice(s),
    }


@click.command()
@click.option("--requests", default=30_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(requests: int, seed: int) -> None:
    """Print one row per selection policy."""
    print(f"{DAEMONS} daemons, {ENGINES} engines of {SLOTS} slots, load {UTILISATION:.0%}")
    print("| choice | p50, s | p99, s | prefix hits | highest over mean queue |")
    print("| --- | --- | --- | --- | --- |")
    for label, chooser in choosers().items():
        durations, hit_count, imbalance = run(chooser, requests, seed)
        p50, p99 = np.percentile(durations, [50, 99])
        print(
            f"| {label} | {p50:.2f} | {p99:.2f} | {hit_count:.1%} | {imbalance:.2f} |", flush=True
        )


if __name__ == "__main__":
    main()
