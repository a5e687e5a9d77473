"""Print the CPU time per request, compared with a proxy of only hypercorn and httpx."""

import statistics
import tempfile
from pathlib import Path

import anyio
import click
import httpx
import psutil

from tests.fakes.fleet import Fleet, Process, bearer_header, example_config, wait_for

BODY = b"x" * 500
WARM_UP = 300


async def _send_requests(url: str, headers: dict[str, str], requests: int, at_once: int) -> None:
    limits = httpx.Limits(max_connections=at_once, max_keepalive_connections=at_once)
    async with httpx.AsyncClient(trust_env=False, timeout=30, limits=limits) as client:
        remaining = iter(range(requests))

        async def worker() -> None:
            for _ in remaining:
                response = await client.post(url, content=BODY, headers=headers)
                response.raise_for_status()

        async with anyio.create_task_group() as task_group:
            for _ in range(at_once):
                task_group.start_soon(worker)


def _cpu_ms_per_request(
    pid: int, url: str, headers: dict[str, str], requests: int, at_once: int
) -> float:
    """Return the CPU time per request of a process, in milliseconds."""
    anyio.run(_send_requests, url, headers, WARM_UP, at_once)
    process = psutil.Process(pid)
    before = process.cpu_times()
    anyio.run(_send_requests, url, headers, requests, at_once)
    after = process.cpu_times()
    cpu_s = after.user - before.user + after.system - before.system
    return cpu_s * 1000 / requests


@click.command()
@click.option("--requests", default=2000, show_default=True)
@click.option("--at-once", default=16, show_default=True)
@click.option("--rounds", default=3, show_default=True)
def main(requests: int, at_once: int, rounds: int) -> None:
    """Measure both proxies alternately and print minimum, median and maximum."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        fleet = Fleet(example_config("almaty"), ["almaty-1"], folder)
        upstream = f"http://127.0.0.1:{fleet.base_port + 30}"
        bare_address = f"127.0.0.1:{fleet.base_port + 350}"
        bare = Process("bare", ["bench._bare", bare_address, upstream], folder)
        try:
            wait_for(lambda: httpx.get(f"http://{bare_address}/x", trust_env=False).is_success)
            daemon = fleet.daemons[0]
            headers = bearer_header("filers-sample")
            bare_costs, acaciarill_costs = [], []
            for _ in range(rounds):
                bare_url = f"http://{bare_address}/almaty/filings/x"
                bare_costs.append(
                    _cpu_ms_per_request(bare.process.pid, bare_url, {}, requests, at_once)
                )
                acaciarill_url = daemon.callers + "/almaty/filings/x"
                acaciarill_costs.append(
                    _cpu_ms_per_request(
                        daemon.process.pid, acaciarill_url, headers, requests, at_once
                    )
                )
        finally:
            bare.stop()
            fleet.stop()
    ratios = [
        acaciarill_cost / bare_cost
        for acaciarill_cost, bare_cost in zip(acaciarill_costs, bare_costs, strict=True)
    ]
    print(f"requests per round: {requests}, concurrency: {at_once}, rounds: {rounds}")
    print("                    min    median  max   (CPU ms per request)")
    for label, row in (
        ("bare proxy", bare_costs),
        ("acaciarill", acaciarill_costs),
        ("ratio", ratios),
    ):
        median_cost = statistics.median(row)
        print(f"{label:<18}{min(row):>6.2f}  {median_cost:>6.2f}  {max(row):>6.2f}")


if __name__ == "__main__":
    main()
