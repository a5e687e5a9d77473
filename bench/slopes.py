"""Measure a daemon's control overhead against the numbers of daemons, upstreams and customers.

Prints the tables of docs/CAPACITY.md: CPU time, resident memory, control bytes and store calls of
each daemon, with a linear fit and its largest residual.
"""

import re
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import httpx
import numpy as np
import psutil
import tomli_w

from tests.fakes.fleet import Fleet

DATA_CENTRES = [f"dc-{number}" for number in range(1, 8)]
WARM_UP_S = 12.0
FIRST_UPSTREAM_PORT = 18_240
TARGET_LOCAL_DAEMONS, TARGET_LOCAL_UPSTREAMS = 51, 107
"""Number of the target's 360 daemons and 750 replicas that are in one data centre."""


@dataclass(slots=True)
class Layout:
    """Describe one run; daemons and upstreams are distributed evenly over the data centres."""

    daemons: int
    data_centres: int = 1
    upstreams: int = 6
    customers: int = 8


@dataclass(slots=True)
class DaemonCost:
    """Hold one daemon's overhead: % of a core, MB, control bytes and store calls per second."""

    cpu: float
    memory: float
    control_bytes: float
    store: float
    relay: bool
    duties: int


def make_config(layout: Layout) -> str:
    """Return a configuration of one owner with the upstreams and customers of a layout."""
    customers = range(layout.customers)
    section = {
        "customers": [{"name": f"c{number}", "share": 1} for number in customers],
        "keys": [
            {"id": f"c{number}-sample", "customer": f"c{number}", "digest": "0" * 64}
            for number in customers
        ],
        "models": [{"name": "m"}],
        "upstreams": [
            {
                "name": f"e{number}",
                "serves": "m",
                "data_centre": DATA_CENTRES[number % layout.data_centres],
                "address": f"127.0.0.1:{FIRST_UPSTREAM_PORT + number}",
            }
            for number in range(layout.upstreams)
        ],
        "routes": [{"path": "/m", "target": "m"}],
    }
    return tomli_w.dumps({"bench": section})


def _sample_daemons(fleet: Fleet) -> list[tuple[float, dict]]:
    samples = []
    for daemon in fleet.daemons:
        times = psutil.Process(daemon.process.pid).cpu_times()
        samples.append((times.user + times.system, daemon.status()))
    return samples


def measure(layout: Layout, seconds: float) -> list[DaemonCost]:
    """Run daemons without client requests and return the overhead of each."""
    daemon_data_centres = [DATA_CENTRES[n % layout.data_centres] for n in range(layout.daemons)]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(make_config(layout), daemon_data_centres, Path(folder), port_count=1200)
        try:
            time.sleep(WARM_UP_S)
            before, started = _sample_daemons(fleet), time.monotonic()
            time.sleep(seconds)
            after, elapsed_s = _sample_daemons(fleet), time.monotonic() - started
            costs = []
            for daemon, (cpu_0, status_0), (cpu_1, status_1) in zip(
                fleet.daemons, before, after, strict=True
            ):
                memory = psutil.Process(daemon.process.pid).memory_info().rss / 1e6
                costs.append(
                    DaemonCost(
                        100 * (cpu_1 - cpu_0) / elapsed_s,
                        memory,
                        (status_1["control_bytes"] - status_0["control_bytes"]) / elapsed_s,
                        (status_1["store_calls"] - status_0["store_calls"]) / elapsed_s,
                        status_1["relay"],
                        len(status_1["duties"]),
                    )
                )
            watches = httpx.get(fleet.platform_url("object_api") + "/watches", trust_env=False)
            print(f"    maximum of concurrent watches: {watches.json()['most']}")
            return costs
        finally:
            fleet.stop()


ROLE_FILTERS: dict[str, Callable[[DaemonCost], bool]] = {
    "entry": lambda f: not f.relay and not f.duties,
    "relay": lambda f: f.relay,
    "duty holder": lambda f: f.duties > 0,
}


def fit_line(sizes: list[int], values: list[float], target: int) -> str:
    """Return the linear fit, its largest residual and its value at the target, as text."""
    if len(set(sizes)) < 2:
        return "-"
    slope, offset = np.polyfit(sizes, values, 1)
    residual = max(abs(offset + slope * x - y) for x, y in zip(sizes, values, strict=True))
    return f"{offset:.3g} + {slope:.3g} n (residual {residual:.2g}); {offset + slope * target:.4g}"


COLUMNS = "| role | n | processor, % of a core | memory, MB | control, B/s | store calls/s |"


def print_table(title: str, runs: list[tuple[int, list[DaemonCost]]], target: int) -> None:
    """Print one table of means by role, and a linear fit of each metric against the size."""
    print(f"\n### {title}\n\n{COLUMNS}")
    print("| --- | --- | --- | --- | --- | --- |")
    for role, has_role in ROLE_FILTERS.items():
        rows: list[tuple[int, list[float]]] = []
        for size, costs in runs:
            role_costs = [f for f in costs if has_role(f)]
            if not role_costs:
                continue
            row = [
                float(np.mean([getattr(f, name) for f in role_costs]))
                for name in ("cpu", "memory", "control_bytes", "store")
            ]
            rows.append((size, row))
            print(f"| {role} | {size} | " + " | ".join(f"{value:.2f}" for value in row) + " |")
        if len(rows) > 1:
            fits = [
                fit_line([s for s, _ in rows], [r[i] for _, r in rows], target) for i in range(4)
            ]
            print(f"| {role}, fit; at {target} | | " + " | ".join(fits) + " |", flush=True)


def _parse_sizes(text: str) -> list[int]:
    return [int(part) for part in re.split(r"[, ]+", text)]


@click.command()
@click.option("--daemons", default="6,15,30,51", show_default=True, help="In one data centre.")
@click.option("--places", default="1,2,4,7", show_default=True, help="Eight daemons in each.")
@click.option("--upstreams", default="6,30,60,107", show_default=True)
@click.option("--customers", default="8,64,256,512", show_default=True)
@click.option("--seconds", default=15.0, show_default=True)
def main(daemons: str, places: str, upstreams: str, customers: str, seconds: float) -> None:
    """Measure each series, then one data centre of the target fleet."""
    print(f"{psutil.cpu_count()} cores; {seconds:.0f} s each, after {WARM_UP_S:.0f} s of warm-up")
    series = (
        ("daemons in one data centre", daemons, 51, lambda n: Layout(n)),
        ("data centres of 8 daemons", places, 7, lambda n: Layout(8 * n, data_centres=n)),
        ("upstreams here, 15 daemons", upstreams, 107, lambda n: Layout(15, upstreams=n)),
        ("customers, 6 daemons", customers, 512, lambda n: Layout(6, customers=n)),
    )
    for title, sizes, target, layout in series:
        runs = [(size, measure(layout(size), seconds)) for size in _parse_sizes(sizes)]
        print_table(f"Against {title}", runs, target)
    one_data_centre = Layout(TARGET_LOCAL_DAEMONS, upstreams=TARGET_LOCAL_UPSTREAMS, customers=64)
    runs = [(TARGET_LOCAL_DAEMONS, measure(one_data_centre, seconds))]
    print_table(f"One data centre of the target: {one_data_centre}", runs, TARGET_LOCAL_DAEMONS)


if __name__ == "__main__":
    main()
