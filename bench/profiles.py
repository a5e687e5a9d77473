"""Measure what the users measure, for each member's own configuration.

A trainer runs steps one after the other and publishes weights after each, while every customer
calls a model and one of them floods it; 2 in 100 generations are ten times slower. Baselines: no
fair share, no second attempts.
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

STEPS = 4
GROUPS, SIZE = 24, 8
TRAINING_S = 1.5
SLOW_SHARE = 0.02
RATE = 1.0
FLOOD_RATE = 30.0
TOKENS = 64
PATIENCE_S = 2.0
WINDOW_S = 4


@dataclass(slots=True)
class Member:
    """Describe whose configuration is run, and who floods which route."""

    name: str
    places: list[str]
    model: str
    route: str
    trainer: str
    flooding: str
    engines: int


MEMBERS = (
    Member(
        "almaty",
        ["almaty-1", "almaty-2", "almaty-3"],
        "ledger",
        "/almaty/ledger",
        "trainers",
        "audit-office",
        4,
    ),
    Member(
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
class Measures:
    """Hold one run's figures; times are in seconds."""

    waited: float = 0.0
    trained: float = 0.0
    staleness: Counter[int] = field(default_factory=Counter)
    asked: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    figures_wrong: int = 0


class ProfileRun:
    """Drive one member's fleet and take the figures."""

    def __init__(self, member: Member, fleet: Fleet, seed: int) -> None:
        self.member = member
        self.fleet = fleet
        self.seed = seed
        self.measures = Measures()
        self.version = 1
        section = tomllib.loads(example_config(member.name))[member.name]
        keys = {key["customer"]: key["id"] for key in section["keys"]}
        self.keys = {name: key for name, key in keys.items() if name != member.trainer}

    async def run(self) -> None:
        """Run the trainer to its end, with callers beside it."""
        client = Client(History(), self.seed)
        async with anyio.create_task_group() as callers:
            for name in self.keys:
                rate = FLOOD_RATE if name == self.member.flooding else RATE
                callers.start_soon(self._call, client, name, rate)
            await self._train(client)
            callers.cancel_scope.cancel()
        await anyio.sleep(WINDOW_S * 2.5)  # the last window is sealed and reported
        self._check_reports(client.history)
        await client.http.aclose()

    async def _train(self, client: Client) -> None:
        for number in range(STEPS):
            started = time.monotonic()
            await run_step(
                client,
                self.fleet,
                f"{self.member.trainer}-sample",
                self.member.model,
                GROUPS,
                SIZE,
                lambda: self.version,
                120.0,
                response_loss_ratio=0.0,
                pull_pause_s=0.0,
                limit=256,
                step=f"step-{number}",
            )
            self.measures.waited += time.monotonic() - started
            await anyio.sleep(TRAINING_S)
            self.measures.trained += TRAINING_S
            self.version += 1
            store = self.fleet.platform_url("weight_store")
            await client.http.put(f"{store}/models/{self.member.model}/{self.version}")
        for item in client.history.delivered:
            oldest = min(version for version, _ in item.sample["weight_versions"])
            self.measures.staleness[item.weight_version - oldest] += 1

    async def _call(self, client: Client, name: str, rate: float) -> None:
        rng = random.Random(f"{self.seed} {name}")

        async def one() -> None:
            daemon = rng.choice(self.fleet.daemons)
            self.measures.asked[name] += 1
            call = await client.generate(daemon.callers, self.member.route, self.keys[name], TOKENS)
            whole = call.status == 200 and not call.connection_failed
            self.measures.in_time[name] += whole and call.ended_at - call.sent_at <= PATIENCE_S

        async with anyio.create_task_group() as task_group:
            while True:
                task_group.start_soon(one)
                await anyio.sleep(rng.expovariate(rate))

    def _check_reports(self, history: History) -> None:
        records = list(self.fleet.records("usage"))
        ended = [
            c for c in history.calls if c.ended_at and c.status == 200 and not c.connection_failed
        ]
        served = Counter(call.key for call in ended)
        reported = checkers.count_reported_requests(records)
        # Calls that the end of the run cut may have been served without the client's knowledge.
        self.measures.figures_wrong = sum(
            reported[name] < served[key] for name, key in self.keys.items()
        ) + len(checkers.find_conflicting_reports(records))

    def row(self) -> str:
        """Return the figures as cells."""
        m = self.measures
        others = [name for name in self.keys if name != self.member.flooding]
        worst = min(m.in_time[name] / max(1, m.asked[name]) for name in others)
        total = max(1, m.staleness.total())
        ages = ", ".join(f"{age}: {n / total:.0%}" for age, n in sorted(m.staleness.items()))
        idle = m.waited / (m.waited + m.trained)
        return f"{idle:.0%} | {m.waited / STEPS:.2f} | {ages} | {worst:.2f} | {m.figures_wrong}"


def _slow_down(fleet: Fleet, member: Member) -> None:
    section = tomllib.loads((fleet.folder / "config.toml").read_text())[member.name]
    for upstream in section["upstreams"]:
        if upstream["serves"] == member.model:
            body = {"kind": "set_faults", "slow_share": SLOW_SHARE}
            httpx.post(f"http://{upstream['address']}/orders", json=body, trust_env=False)


@click.command()
@click.option("--seeds", default="1,2", show_default=True)
def main(seeds: str) -> None:
    """Print one row for each member, seed and baseline."""
    print(f"{STEPS} steps of {GROUPS * SIZE} samples, {TRAINING_S} s of training after each")
    print("| member | run | trainer idle | step, s | staleness | worst other | reports wrong |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for member in MEMBERS:
        for label, weakening in (
            ("acaciarill", ""),
            ("no fair share", "fair-share"),
            ("no second attempts", "second-attempts"),
        ):
            for seed in (int(part) for part in seeds.split(",")):
                text = example_config(member.name).replace(
                    "window_s = 60", f"window_s = {WINDOW_S}"
                )
                with running_fleet(text, member.places, weakening=weakening) as fleet:
                    _slow_down(fleet, member)
                    run = ProfileRun(member, fleet, seed)
                    anyio.run(run.run)
                    print(f"| {member.name} | {label}, seed {seed} | {run.row()} |", flush=True)


if __name__ == "__main__":
    main()
