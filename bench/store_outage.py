"""Measure the calls that reach the Object API when it comes back after an outage."""

import tempfile
import time
from pathlib import Path

import click
import httpx

from bench.slopes import DATA_CENTRES, Layout, make_config
from tests.fakes.fleet import Fleet

SAMPLE_S = 0.25


def _calls(client: httpx.Client, store: str) -> int:
    return sum(client.get(store + "/counts").json().values())


def _rates(client: httpx.Client, store: str, seconds: float) -> list[float]:
    """Return the calls a second in each sample."""
    rates = []
    last, at = _calls(client, store), time.monotonic()
    end = at + seconds
    while at < end:
        time.sleep(SAMPLE_S)
        now, moment = _calls(client, store), time.monotonic()
        rates.append((now - last) / (moment - at))
        last, at = now, moment
    return rates


def measure(daemons: int, outage_s: float) -> tuple[float, float, float, float]:
    """Return calls a second before, in the outage, at the peak after it, and 5 s later."""
    places = [DATA_CENTRES[number % 3] for number in range(daemons)]
    with tempfile.TemporaryDirectory() as folder, httpx.Client(trust_env=False) as client:
        text = make_config(Layout(daemons, data_centres=3))
        fleet = Fleet(text, places, Path(folder), port_count=1200)
        store = fleet.platform_url("object_api")
        try:
            time.sleep(10)
            before = _rates(client, store, 5)
            fleet.set_fault(store, "down")
            time.sleep(outage_s / 2)
            during = _rates(client, store, outage_s / 2)
            fleet.set_fault(store, "")
            after = _rates(client, store, 5)
            later = _rates(client, store, 5)
        finally:
            fleet.stop()
    return sum(before) / len(before), sum(during) / len(during), max(after), sum(later) / len(later)


@click.command()
@click.option("--daemons", default="6,12,24,48", show_default=True)
@click.option("--outage", default=16.0, show_default=True, help="Seconds that the store is down.")
def main(daemons: str, outage: float) -> None:
    """Print one row for each size."""
    print("| daemons | before, calls/s | in the outage | peak of 0.25 s after | 5 s later |")
    print("| --- | --- | --- | --- | --- |")
    for size in map(int, daemons.split(",")):
        row = measure(size, outage)
        print(f"| {size} | " + " | ".join(f"{value:.1f}" for value in row) + " |", flush=True)


if __name__ == "__main__":
    main()
