"""Measure the load on the Object API when it recovers from an outage."""

import tempfile
import time
from pathlib import Path

import click
import httpx

from bench.slopes import DATA_CENTRES, Layout, make_config
from tests.fakes.fleet import Fleet

SAMPLE_PERIOD_S = 0.25


def _count_calls(client: httpx.Client, store_url: str) -> int:
    return sum(client.get(store_url + "/counts").json().values())


def _sample_call_rates(client: httpx.Client, store_url: str, seconds: float) -> list[float]:
    """Return the calls per second in each sampling period."""
    rates = []
    previous_count, sampled_at = _count_calls(client, store_url), time.monotonic()
    end = sampled_at + seconds
    while sampled_at < end:
        time.sleep(SAMPLE_PERIOD_S)
        count, now = _count_calls(client, store_url), time.monotonic()
        rates.append((count - previous_count) / (now - sampled_at))
        previous_count, sampled_at = count, now
    return rates


def measure(daemons: int, outage_s: float) -> tuple[float, float, float, float]:
    """Return the calls per second before and during the outage, at the peak after it, 5 s later."""
    daemon_data_centres = [DATA_CENTRES[number % 3] for number in range(daemons)]
    with tempfile.TemporaryDirectory() as folder, httpx.Client(trust_env=False) as client:
        config_text = make_config(Layout(daemons, data_centres=3))
        fleet = Fleet(config_text, daemon_data_centres, Path(folder), port_count=1200)
        store_url = fleet.platform_url("object_api")
        try:
            time.sleep(10)
            before = _sample_call_rates(client, store_url, 5)
            fleet.set_fault(store_url, "down")
            time.sleep(outage_s / 2)
            during = _sample_call_rates(client, store_url, outage_s / 2)
            fleet.set_fault(store_url, "")
            after = _sample_call_rates(client, store_url, 5)
            later = _sample_call_rates(client, store_url, 5)
        finally:
            fleet.stop()
    return sum(before) / len(before), sum(during) / len(during), max(after), sum(later) / len(later)


@click.command()
@click.option("--daemons", default="6,12,24,48", show_default=True)
@click.option("--outage", default=16.0, show_default=True, help="Seconds that the store is down.")
def main(daemons: str, outage: float) -> None:
    """Print one row per fleet size."""
    print("| daemons | before, calls/s | in the outage | peak of 0.25 s after | 5 s later |")
    print("| --- | --- | --- | --- | --- |")
    for size in map(int, daemons.split(",")):
        row = measure(size, outage)
        print(f"| {size} | " + " | ".join(f"{value:.1f}" for value in row) + " |", flush=True)


if __name__ == "__main__":
    main()
