"""Measure how long a new version takes to every engine of a data centre, against their number.

The weight store admits 40 fetches a second after a burst of 40; a swap takes 0.1 s, in which the
engine is out of service.
"""

import tempfile
import time
from pathlib import Path

import click
import httpx

from bench.slopes import DATA_CENTRES, Layout, make_config
from tests.fakes.fleet import Fleet, wait_for

WAIT_S = 90.0
SWAP_S = 0.1
VERSIONS = (2, 3)


def _swaps(fleet: Fleet, version: int) -> list[float]:
    records = (r for r in fleet.records("e*") if r["event"] == "swapped")
    return sorted(r["t"] for r in records if r["version"] == version)


def measure(engines: int, places: int) -> list[tuple[float, float]]:
    """Return for each version the seconds to all engines and the most out of service at once."""
    config = make_config(Layout(3, data_centres=places, upstreams=engines))
    homes = [DATA_CENTRES[number % places] for number in range(max(3, 2 * places))]
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(config, homes, Path(folder), port_count=1200)
        try:
            time.sleep(6.0)  # the lease of the roll-out is taken
            for version in VERSIONS:
                url = f"{fleet.platform_url('weight_store')}/models/m/{version}"
                published = time.clock_gettime(time.CLOCK_BOOTTIME)
                httpx.put(url, trust_env=False).raise_for_status()
                wait_for(lambda v=version: len(_swaps(fleet, v)) == engines, WAIT_S, "all swaps")
                ends = _swaps(fleet, version)
                most = max(sum(t <= end < t + SWAP_S for end in ends) for t in ends)
                rows.append((ends[-1] - published, most / engines))
                time.sleep(3.0)
        finally:
            fleet.stop()
    return rows


@click.command()
@click.option("--engines", default="4,27,54,107", show_default=True)
@click.option("--places", default=1, show_default=True, help="Data centres.")
def main(engines: str, places: int) -> None:
    """Print one row for each number of engines and version."""
    print("| engines | version | to all, s | most at once |")
    print("| --- | --- | --- | --- |")
    for size in (int(part) for part in engines.split(",")):
        for version, (seconds, most) in zip(VERSIONS, measure(size, places), strict=True):
            print(f"| {size} | {version} | {seconds:.2f} | {most:.0%} |", flush=True)


if __name__ == "__main__":
    main()
