"""Prove what holds for orders and usage reports."""

import os
import signal
import tempfile
import time
import tomllib
from contextlib import contextmanager, suppress
from pathlib import Path

import anyio
import httpx

from tests.fakes.fleet import Fleet, example_config, running_fleet, wait_for
from tests.fakes.weakened import PAUSE_FILE
from tests.proofs import checkers
from tests.proofs.history import Client
from tests.proofs.scenario_base import (
    ALMATY,
    FILINGS,
    Report,
    drive,
)


@contextmanager
def _pause_file(folder: Path):
    path = folder / "pause"
    os.environ[PAUSE_FILE] = str(path)
    try:
        yield path
    finally:
        del os.environ[PAUSE_FILE]


def _stopped_daemon(fleet: Fleet):
    for daemon in fleet.daemons:
        state = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(") ")[2][0]
        if state == "T":
            return daemon
    return None


def duties(seed: int, weakening: str = "") -> Report:
    """Freeze a holder between its decision and its write, let a successor act, thaw it."""
    injected = 0
    text = example_config("almaty")
    with (
        tempfile.TemporaryDirectory() as name,
        _pause_file(Path(name)) as pause,
        running_fleet(text, ["almaty-1"] * 3, weakening=weakening or "nothing") as fleet,
    ):
        for round_number in range(2):
            wait_for(lambda: _epoch(fleet) > 0, what="the first order")
            before = _epoch(fleet)
            pause.touch()
            _set_minimum(fleet, 2 + 2 * round_number)
            wait_for(lambda: _stopped_daemon(fleet) is not None, what="a frozen holder")
            frozen = _stopped_daemon(fleet)
            injected += 1
            others = [daemon for daemon in fleet.daemons if daemon is not frozen]
            _set_minimum(fleet, 3 + 2 * round_number, others)
            wait_for(lambda b=before: _epoch(fleet) > b, what="a successor's order")
            if round_number:
                fleet.set_fault(fleet.platform_url("object_api"), "lose_answers")
                injected += 1
            frozen.send_signal(signal.SIGCONT)
            time.sleep(4.0)
            fleet.set_fault(fleet.platform_url("object_api"), "")
        orders = [r for r in fleet.records("capacity") if r["event"] == "order"]
        swaps = list(fleet.records("ledger-*"))
    found = {"one in charge": checkers.fenced(orders, "order") + checkers.fenced(swaps, "order")}
    return Report("duties", injected, len(orders), found)


def _epoch(fleet: Fleet) -> int:
    records = [r for r in fleet.records("capacity") if r["event"] == "order"]
    return max((r["fencing"] for r in records), default=0)


def _set_minimum(fleet: Fleet, minimum: int, daemons=None) -> None:
    """Accept a new minimum for the ledger, which makes the holder order."""
    text = (fleet.folder / "config.toml").read_text()
    section = tomllib.loads(text)["almaty"]
    for spend in section["spend"]:
        if spend["target"] == "ledger":
            spend["minimum"] = minimum

    def apply() -> bool:
        for daemon in daemons or fleet.daemons:
            with suppress(httpx.HTTPError):
                body = {"sections": {"almaty": section}}
                url = daemon.operators + "/config/apply"
                if httpx.post(url, json=body, timeout=3, trust_env=False).is_success:
                    return True
        return False

    wait_for(apply, what="an accepted configuration")


def usage(seed: int, weakening: str = "") -> Report:
    """Restart a daemon, freeze the reporter and stop the store across the ends of windows."""
    text = example_config("almaty").replace("window_s = 60", "window_s = 4")
    with running_fleet(text, ALMATY, weakening=weakening) as fleet:
        down = fleet.platform_url("object_api")

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_disturb_usage, client, fleet, down)
                for _ in range(16):
                    await client.many(12, 6, lambda number: _serve_one(client, fleet))
                    await anyio.sleep(0.5)
            await anyio.sleep(16)

        history = drive(seed, work)
        records = list(fleet.records("usage"))
        served = sum(call.status == 200 for call in history.calls)
        reported = checkers.count_reported_requests(records)["filers"]
        wrong = [] if served == reported else [f"served {served}, reported {reported}"]
        found = {
            "one figure a window": checkers.find_conflicting_reports(records),
            "one reporter": checkers.fenced(records, "report"),
            "sum of reports": wrong,
        }
        return Report("usage", len(history.injected), served, found)


async def _serve_one(client: Client, fleet: Fleet) -> None:
    daemon = client.rng.choice([d for d in fleet.daemons if d.name != "h3"])
    await client.call(daemon.callers, FILINGS, "filers-sample")


async def _disturb_usage(client: Client, fleet: Fleet, store: str) -> None:
    await anyio.sleep(2)
    client.history.inject("store down over a window's end")
    await client.http.post(store + "/control", json={"fault": "down"})
    await anyio.sleep(5)
    await client.http.post(store + "/control", json={"fault": "lose_answers"})
    client.history.inject("store answers lost")
    await anyio.sleep(1)
    await client.http.post(store + "/control", json={"fault": ""})
    await anyio.sleep(2)
    holder = await _holder_of(client, fleet, "reports/almaty")
    if holder is not None:
        client.history.inject(f"froze the reporter {holder.name}")
        holder.send_signal(signal.SIGSTOP)
        await anyio.sleep(7)
        holder.send_signal(signal.SIGCONT)
    client.history.inject("restarted h3")
    fleet.daemons[2].terminate()


async def _holder_of(client: Client, fleet: Fleet, duty: str):
    for daemon in fleet.daemons:
        with suppress(httpx.HTTPError):
            status = (await client.http.get(daemon.operators + "/status", timeout=2)).json()
            if duty in status["duties"]:
                return daemon
    return None
