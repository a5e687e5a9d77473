"""Print the processor time that a request costs beside bare hypercorn and httpx."""

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


async def _load(url: str, headers: dict[str, str], requests: int, at_once: int) -> None:
    limits = httpx.Limits(max_connections=at_once, max_keepalive_connections=at_once)
    async with httpx.AsyncClient(trust_env=False, timeout=30, limits=limits) as client:
        left = iter(range(requests))

        async def worker() -> None:
            for _ in left:
                response = await client.post(url, content=BODY, headers=headers)
                response.raise_for_status()

        async with anyio.create_task_group() as task_group:
            for _ in range(at_once):
                task_group.start_soon(worker)


def _cost_ms(pid: int, url: str, headers: dict[str, str], requests: int, at_once: int) -> float:
    """Return the processor time of a process for each request, in milliseconds."""
    anyio.run(_load, url, headers, WARM_UP, at_once)
    process = psutil.Process(pid)
    before = process.cpu_times()
    anyio.run(_load, url, headers, requests, at_once)
    after = process.cpu_times()
    spent = after.user - before.user + after.system - before.system
    return spent * 1000 / requests


@click.command()
@click.option("--requests", default=2000, show_default=True)
@click.option("--at-once", default=16, show_default=True)
@click.option("--rounds", default=3, show_default=True)
def main(requests: int, at_once: int, rounds: int) -> None:
    """Measure both in turn and print medians."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        fleet = Fleet(example_config("almaty"), ["almaty-1"], folder)
        upstream = f"http://127.0.0.1:{fleet.base_port + 30}"
        bare_address = f"127.0.0.1:{fleet.base_port + 350}"
        bare = Process("bare", ["bench._bare", bare_address, upstream], folder)
        try:
            wait_for(lambda: httpx.get(f"http://{bare_address}/x", trust_env=False).is_success)
            daemon = fleet.daemons[0]
            keyed = bearer_header("filers-sample")
            bare_costs, own_costs = [], []
            for _ in range(rounds):
                bare_url = f"http://{bare_address}/almaty/filings/x"
                bare_costs.append(_cost_ms(bare.process.pid, bare_url, {}, requests, at_once))
                own_url = daemon.callers + "/almaty/filings/x"
                own_costs.append(_cost_ms(daemon.process.pid, own_url, keyed, requests, at_once))
        finally:
            bare.stop()
            fleet.stop()
    ratios = [own / base for own, base in zip(own_costs, bare_costs, strict=True)]
    print(f"requests a round: {requests}, at once: {at_once}, rounds: {rounds}")
    print("                    min    median  max   (ms of processor time a request)")
    for label, row in (("bare proxy", bare_costs), ("acaciarill", own_costs), ("ratio", ratios)):
        middle = statistics.median(row)
        print(f"{label:<18}{min(row):>6.2f}  {middle:>6.2f}  {max(row):>6.2f}")


if __name__ == "__main__":
    main()
