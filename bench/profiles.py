"""Measure the users' service metrics with each member's own configuration.

A trainer runs consecutive steps and publishes weights after each, while every customer calls a
model and one of them floods it; 2 % of the generations are ten times slower. Baselines: no fair
share, no hedged attempts.
"""

import random
import time
import tomllib
from collections import Counter
from dataclasses import dataclass, field

import anyio
import click
import httpx

from tests.fakes.fleet import Fleet, example_config, running_fleet
from tests.proofs import checkers
from tests.proofs.history import Client, History, run_step

STEP_COUNT = 4
GROUP_COUNT, GROUP_SIZE = 24, 8
TRAINING_S = 1.5
SLOW_GENERATION_SHARE = 0.02
CUSTOMER_RATE_PER_S = 1.0
FLOOD_RATE_PER_S = 30.0
MAX_TOKENS = 64
LATENCY_LIMIT_S = 2.0
REPORT_WINDOW_S = 4


@dataclass(slots=True)
class MemberProfile:
    """Describe the configuration of one member, its trainer and its flooding customer."""

    name: str
    data_centres: list[str]
    model: str
    route: str
    trainer: str
    flooding_customer: str
    engines: int


MEMBER_PROFILES = (
    MemberProfile(
        "almaty",
        ["almaty-1", "almaty-2", "almaty-3"],
        "ledger",
        "/almaty/ledger",
        "trainers",
        "audit-office",
        4,
    ),
    MemberProfile(
        "cwmdu",
        ["cwmdu-1", "cwmdu-2", "cwmdu-3", "cwmdu-4"],
        "note-writer",
        "/cwmdu/notes",
        "trainers-cwmdu",
        "north-club",
        5,
    ),
)


@dataclass(slots=True)
class RunMetrics:
    """Hold the metrics of one run; counters are by customer, staleness by versions."""

    waited_s: float = 0.0
    trained_s: float = 0.0
    staleness: Counter[int] = field(default_factory=Counter)
    request_count: Counter[str] = field(default_factory=Counter)
    in_time_count: Counter[str] = field(default_factory=Counter)
    wrong_reports: int = 0


class ProfileRun:
    """Generate the load on one member's fleet and collect the metrics."""

    def __init__(self, member: MemberProfile, fleet: Fleet, seed: int) -> None:
        self.member = member
        self.fleet = fleet
        self.seed = seed
        self.metrics = RunMetrics()
        self.version = 1
        member_section = tomllib.loads(example_config(member.name))[member.name]
        key_by_customer = {key["customer"]: key["id"] for key in member_section["keys"]}
        self.key_by_customer = {
            name: key for name, key in key_by_customer.items() if name != member.trainer
        }

    async def run(self) -> None:
        """Run all steps of the trainer during client requests, then check the usage reports."""
        client = Client(History(), self.seed)
        async with anyio.create_task_group() as callers:
            for name in self.key_by_customer:
                rate = (
                    FLOOD_RATE_PER_S
                    if name == self.member.flooding_customer
                    else CUSTOMER_RATE_PER_S
                )
                callers.start_soon(self._send_requests, client, name, rate)
            await self._train(client)
            callers.cancel_scope.cancel()
        await anyio.sleep(REPORT_WINDOW_S * 2.5)  # until the last window is sealed and reported
        self._check_reports(client.history)
        await client.http.aclose()

    async def _train(self, client: Client) -> None:
        for number in range(STEP_COUNT):
            started = time.monotonic()
            await run_step(
                client,
                self.fleet,
                f"{self.member.trainer}-sample",
                self.member.model,
                GROUP_COUNT,
                GROUP_SIZE,
                lambda: self.version,
                120.0,
                response_loss_ratio=0.0,
                pull_pause_s=0.0,
                limit=256,
                step=f"step-{number}",
            )
            self.metrics.waited_s += time.monotonic() - started
            await anyio.sleep(TRAINING_S)
            self.metrics.trained_s += TRAINING_S
            self.version += 1
            store = self.fleet.platform_url("weight_store")
            await client.http.put(f"{store}/models/{self.member.model}/{self.version}")
        for item in client.history.delivered:
            oldest = min(version for version, _ in item.sample["weight_versions"])
            self.metrics.staleness[item.weight_version - oldest] += 1

    async def _send_requests(self, client: Client, name: str, rate: float) -> None:
        rng = random.Random(f"{self.seed} {name}")

        async def send_one() -> None:
            daemon = rng.choice(self.fleet.daemons)
            self.metrics.request_count[name] += 1
            call = await client.generate(
                daemon.callers, self.member.route, self.key_by_customer[name], MAX_TOKENS
            )
            completed = call.status == 200 and not call.connection_failed
            self.metrics.in_time_count[name] += (
                completed and call.ended_at - call.sent_at <= LATENCY_LIMIT_S
            )

        async with anyio.create_task_group() as task_group:
            while True:
                task_group.start_soon(send_one)
                await anyio.sleep(rng.expovariate(rate))

    def _check_reports(self, history: History) -> None:
        records = list(self.fleet.records("usage"))
        finished_calls = [
            c for c in history.calls if c.ended_at and c.status == 200 and not c.connection_failed
        ]
        served = Counter(call.key for call in finished_calls)
        reported = checkers.count_reported_requests(records)
        # Requests cancelled at the end of the run may have been served without the client's
        # knowledge, so a report may exceed the client's count.
        self.metrics.wrong_reports = sum(
            reported[name] < served[key] for name, key in self.key_by_customer.items()
        ) + len(checkers.find_conflicting_reports(records))

    def row(self) -> str:
        """Return the metrics as table cells."""
        metrics = self.metrics
        others = [name for name in self.key_by_customer if name != self.member.flooding_customer]
        worst = min(
            metrics.in_time_count[name] / max(1, metrics.request_count[name]) for name in others
        )
        total = max(1, metrics.staleness.total())
        ages = ", ".join(f"{age}: {n / total:.0%}" for age, n in sorted(metrics.staleness.items()))
        idle_share = metrics.waited_s / (metrics.waited_s + metrics.trained_s)
        return (
            f"{idle_share:.0%} | {metrics.waited_s / STEP_COUNT:.2f} | {ages} "
            f"| {worst:.2f} | {metrics.wrong_reports}"
        )


def _inject_slow_generations(fleet: Fleet, member: MemberProfile) -> None:
    member_section = tomllib.loads((fleet.folder / "config.toml").read_text())[member.name]
    for upstream in member_section["upstreams"]:
        if upstream["serves"] == member.model:
            body = {"kind": "set_faults", "slow_share": SLOW_GENERATION_SHARE}
            httpx.post(f"http://{upstream['address']}/orders", json=body, trust_env=False)


@click.command()
@click.option("--seeds", default="1,2", show_default=True)
def main(seeds: str) -> None:
    """Print one row per member, seed and baseline."""
    print(
        f"{STEP_COUNT} steps of {GROUP_COUNT * GROUP_SIZE} samples, "
        f"{TRAINING_S} s of training after each"
    )
    print("| member | run | trainer idle | step, s | staleness | worst other | reports wrong |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for member in MEMBER_PROFILES:
        for label, weakening in (
            ("acaciarill", ""),
            ("no fair share", "fair-share"),
            ("no hedged attempts", "second-attempts"),
        ):
            for seed in (int(part) for part in seeds.split(",")):
                text = example_config(member.name).replace(
                    "window_s = 60", f"window_s = {REPORT_WINDOW_S}"
                )
                with running_fleet(text, member.data_centres, weakening=weakening) as fleet:
                    _inject_slow_generations(fleet, member)
                    run = ProfileRun(member, fleet, seed)
                    anyio.run(run.run)
                    print(f"| {member.name} | {label}, seed {seed} | {run.row()} |", flush=True)


if __name__ == "__main__":
    main()
