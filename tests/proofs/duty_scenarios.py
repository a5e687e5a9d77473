"""Verify the guarantees of orders and usage reports."""

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
    run_workload,
)


@contextmanager
def _pause_file(folder: Path):
    path = folder / "pause"
    os.environ[PAUSE_FILE] = str(path)
    try:
        yield path
    finally:
        del os.environ[PAUSE_FILE]


def _find_paused_daemon(fleet: Fleet):
    for daemon in fleet.daemons:
        state = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(") ")[2][0]
        if state == "T":
            return daemon
    return None


def duties(seed: int, weakening: str = "") -> Report:
    """Pause a duty holder between its decision and its write until a successor has sent orders.

    Guards against an outdated order: when the paused holder resumes, its lease has expired and an
    upstream must not accept its order after one of a later epoch.
    """
    injected_failures = 0
    text = example_config("almaty")
    with (
        tempfile.TemporaryDirectory() as name,
        _pause_file(Path(name)) as pause_file,
        running_fleet(text, ["almaty-1"] * 3, weakening=weakening or "nothing") as fleet,
    ):
        for round_number in range(2):
            wait_for(lambda: _latest_epoch(fleet) > 0, description="the first order")
            previous_epoch = _latest_epoch(fleet)
            pause_file.touch()
            _set_minimum(fleet, 2 + 2 * round_number)
            wait_for(lambda: _find_paused_daemon(fleet) is not None, description="a paused holder")
            paused = _find_paused_daemon(fleet)
            injected_failures += 1
            others = [daemon for daemon in fleet.daemons if daemon is not paused]
            _set_minimum(fleet, 3 + 2 * round_number, others)
            wait_for(
                lambda b=previous_epoch: _latest_epoch(fleet) > b, description="a successor's order"
            )
            if round_number:
                fleet.set_fault(fleet.platform_url("object_api"), "lose_answers")
                injected_failures += 1
            paused.send_signal(signal.SIGCONT)
            time.sleep(4.0)
            fleet.set_fault(fleet.platform_url("object_api"), "")
        orders = [r for r in fleet.records("capacity") if r["event"] == "order"]
        engine_orders = list(fleet.records("ledger-*"))
    violations = {
        "one in charge": checkers.find_epoch_regressions(orders, "order")
        + checkers.find_epoch_regressions(engine_orders, "order")
    }
    return Report("duties", injected_failures, len(orders), violations)


def _latest_epoch(fleet: Fleet) -> int:
    records = [r for r in fleet.records("capacity") if r["event"] == "order"]
    return max((r["fencing"] for r in records), default=0)


def _set_minimum(fleet: Fleet, minimum: int, daemons=None) -> None:
    """Apply a new minimum for the ledger, which makes the holder send an order."""
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

    wait_for(apply, description="an accepted configuration")


def usage(seed: int, weakening: str = "") -> Report:
    """Stop the store, pause the reporter and stop a daemon across the ends of usage windows.

    Guards against requests that are reported twice or not at all, and against two reporters that
    report different figures for one window.
    """
    text = example_config("almaty").replace("window_s = 60", "window_s = 4")
    with running_fleet(text, ALMATY, weakening=weakening) as fleet:
        store_url = fleet.platform_url("object_api")

        async def work(client: Client) -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_inject_usage_failures, client, fleet, store_url)
                for _ in range(16):
                    await client.run_concurrently(12, 6, lambda number: _send_filing(client, fleet))
                    await anyio.sleep(0.5)
            await anyio.sleep(16)

        history = run_workload(seed, work)
        records = list(fleet.records("usage"))
        served = sum(call.status == 200 for call in history.calls)
        reported = checkers.count_reported_requests(records)["filers"]
        sum_mismatch = [] if served == reported else [f"served {served}, reported {reported}"]
        violations = {
            "one figure a window": checkers.find_conflicting_reports(records),
            "one reporter": checkers.find_epoch_regressions(records, "report"),
            "sum of reports": sum_mismatch,
        }
        return Report("usage", len(history.injected_failures), served, violations)


async def _send_filing(client: Client, fleet: Fleet) -> None:
    daemon = client.rng.choice([d for d in fleet.daemons if d.name != "h3"])
    await client.call(daemon.callers, FILINGS, "filers-sample")


async def _inject_usage_failures(client: Client, fleet: Fleet, store: str) -> None:
    await anyio.sleep(2)
    client.history.record_failure("store down at the end of a window")
    await client.http.post(store + "/control", json={"fault": "down"})
    await anyio.sleep(5)
    await client.http.post(store + "/control", json={"fault": "lose_answers"})
    client.history.record_failure("store responses lost")
    await anyio.sleep(1)
    await client.http.post(store + "/control", json={"fault": ""})
    await anyio.sleep(2)
    holder = await _find_duty_holder(client, fleet, "reports/almaty")
    if holder is not None:
        client.history.record_failure(f"paused the reporter {holder.name}")
        holder.send_signal(signal.SIGSTOP)
        await anyio.sleep(7)
        holder.send_signal(signal.SIGCONT)
    client.history.record_failure("stopped h3")
    fleet.daemons[2].terminate()


async def _find_duty_holder(client: Client, fleet: Fleet, duty: str):
    for daemon in fleet.daemons:
        with suppress(httpx.HTTPError):
            status = (await client.http.get(daemon.operators + "/status", timeout=2)).json()
            if duty in status["duties"]:
                return daemon
    return None
