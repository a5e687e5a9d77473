"""Serve callers and a trainer through daemons that run as separate processes."""

import random
import unittest

import anyio
import httpx

from tests.fakes.fleet import SAMPLE_KEY_SECRET, bearer_header, example_config, running_fleet

REQUESTS = 1000
GROUPS, GROUP_SIZE = 64, 8
AT_ONCE = 32
SEED = 11


class WholePathTest(unittest.TestCase):
    """Run the main job on real input and check the stand-ins' records."""

    def test_callers_and_a_step_through_three_daemons(self) -> None:
        text = example_config("almaty")
        with running_fleet(text, ["almaty-1", "almaty-2", "almaty-3"]) as fleet:
            answers, samples = anyio.run(self.drive, fleet)
            codes = fleet.stop()
            self.check_answers(answers)
            self.check_samples(fleet, samples)
            self.check_no_key_upstream(fleet)
        self.assertEqual(codes, [0, 0, 0])

    async def drive(self, fleet) -> tuple[list, list]:
        answers: list = []
        samples: list = []
        limit = anyio.Semaphore(AT_ONCE)
        rng = random.Random(SEED)
        limits = httpx.Limits(max_connections=AT_ONCE * 2)
        async with (
            httpx.AsyncClient(timeout=60, trust_env=False, limits=limits) as client,
            anyio.create_task_group() as task_group,
        ):
            task_group.start_soon(self.run_trainer, client, fleet, samples)
            for number in range(REQUESTS):
                daemon = rng.choice(fleet.daemons)
                await limit.acquire()
                task_group.start_soon(self.call, client, daemon, number, answers, limit)
        return answers, samples

    async def call(self, client, daemon, number, answers, limit) -> None:
        try:
            name = f"req-{number}"
            headers = bearer_header("filers-sample") | {"x-request-id": name}
            if number % 10 == 0:
                body = {"prompt": f"p{number}", "max_tokens": 8, "stream": True}
                url = daemon.callers + "/almaty/ledger"
                response = await client.post(url, json=body, headers=headers)
            else:
                url = daemon.callers + "/almaty/filings/" + name
                response = await client.post(url, content=name, headers=headers)
            answers.append((number, response.status_code, response.content))
        finally:
            limit.release()

    async def run_trainer(self, client, fleet, samples) -> None:
        headers = bearer_header("trainers-sample")
        groups = [
            {"prompt": f"group {g}", "samples": GROUP_SIZE, "max_tokens": 24} for g in range(GROUPS)
        ]
        path = "/v1/steps/trainer-1/step-1"
        body = {"model": "ledger", "groups": groups}
        first = await client.post(fleet.daemons[0].callers + path, json=body, headers=headers)
        first.raise_for_status()
        cursor, remaining = first.json()["cursors"][0], 1
        turn = 0
        while remaining:
            daemon = fleet.daemons[turn % len(fleet.daemons)]
            turn += 1
            body = {"cursor": cursor, "weight_version": 1, "wait_ms": 5000}
            pulled = await client.post(daemon.callers + path + "/pull", json=body, headers=headers)
            pulled.raise_for_status()
            answer = pulled.json()
            samples += answer["samples"]
            cursor, remaining = answer["cursor"], answer["remaining"]

    def check_answers(self, answers: list) -> None:
        self.assertEqual(len(answers), REQUESTS)
        for number, status, content in answers:
            self.assertEqual(status, 200, content)
            if number % 10 == 0:
                self.assertIn(b'"done":true', content)
            else:
                self.assertIn(f'"echo":"req-{number}"'.encode(), content)

    def check_samples(self, fleet, samples: list) -> None:
        slots = [(sample["group"], sample["index"]) for sample in samples]
        expected = [(group, index) for group in range(GROUPS) for index in range(GROUP_SIZE)]
        self.assertEqual(sorted(slots), expected)
        made = {
            event["request_id"]: [[span["version"], span["tokens"]] for span in event["spans"]]
            for event in fleet.records("ledger-*")
            if event["event"] == "generated"
        }
        for sample in samples:
            self.assertEqual(made[sample["sample_id"]], sample["weight_versions"])

    def check_no_key_upstream(self, fleet) -> None:
        ran = 0
        for pattern in ("ledger-*", "portal-*"):
            for event in fleet.records(pattern):
                ran += event["event"] == "run"
                self.assertNotIn(SAMPLE_KEY_SECRET, str(event))
                self.assertNotIn("authorization", event.get("headers", {}))
        self.assertGreaterEqual(ran, REQUESTS + GROUPS * GROUP_SIZE)
