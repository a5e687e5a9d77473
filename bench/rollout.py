"""Measure the rollout time of a weight version against the number of engines of a data centre.

The weight store admits 40 fetches per second after a burst of 40; a swap takes 0.1 s, during which
the engine is out of service.
"""

import tempfile
import time
from pathlib import Path

import click
import httpx

from bench.slopes import DATA_CENTRES, Layout, make_config
from tests.fakes.fleet import Fleet, wait_for

ROLLOUT_TIMEOUT_S = 90.0
SWAP_DURATION_S = 0.1
VERSIONS = (2, 3)


def _swap_times(fleet: Fleet, version: int) -> list[float]:
    records = (r for r in fleet.records("e*") if r["event"] == "swapped")
    return sorted(r["t"] for r in records if r["version"] == version)


def measure(engines: int, places: int) -> list[tuple[float, float]]:
    """Return per version the rollout seconds and the maximum share of engines out of service."""
    config = make_config(Layout(3, data_centres=places, upstreams=engines))
    daemon_data_centres = [DATA_CENTRES[number % places] for number in range(max(3, 2 * places))]
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(config, daemon_data_centres, Path(folder), port_count=1200)
        try:
            time.sleep(6.0)  # until a daemon holds the lease of the rollout duty
            for version in VERSIONS:
                url = f"{fleet.platform_url('weight_store')}/models/m/{version}"
                published_at = time.clock_gettime(time.CLOCK_BOOTTIME)
                httpx.put(url, trust_env=False).raise_for_status()
                wait_for(
                    lambda v=version: len(_swap_times(fleet, v)) == engines,
                    ROLLOUT_TIMEOUT_S,
                    "all swaps",
                )
                swap_times = _swap_times(fleet, version)
                max_out_of_service = max(
                    sum(t <= end < t + SWAP_DURATION_S for end in swap_times) for t in swap_times
                )
                rows.append((swap_times[-1] - published_at, max_out_of_service / engines))
                time.sleep(3.0)
        finally:
            fleet.stop()
    return rows


@click.command()
@click.option("--engines", default="4,27,54,107", show_default=True)
@click.option("--places", default=1, show_default=True, help="Data centres.")
def main(engines: str, places: int) -> None:
    """Print one row per number of engines and version."""
    print("| engines | version | to all, s | most at once |")
    print("| --- | --- | --- | --- |")
    for size in (int(part) for part in engines.split(",")):
        for version, (seconds, max_out_of_service) in zip(
            VERSIONS, measure(size, places), strict=True
        ):
            print(f"| {size} | {version} | {seconds:.2f} | {max_out_of_service:.0%} |", flush=True)


if __name__ == "__main__":
    main()
