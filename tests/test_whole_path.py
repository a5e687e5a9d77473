"""Test client requests and a trainer's step through daemons in separate processes."""

import random
import unittest

import anyio
import httpx

from tests.fakes.fleet import SAMPLE_KEY_SECRET, bearer_header, example_config, running_fleet

REQUESTS = 1000
GROUPS, GROUP_SIZE = 64, 8
MAX_CONCURRENCY = 32
SEED = 11


class WholePathTest(unittest.TestCase):
    """Send traffic through a fleet and compare the results with the upstreams' event records."""

    def test_requests_and_training_step_through_three_daemons(self) -> None:
        text = example_config("almaty")
        with running_fleet(text, ["almaty-1", "almaty-2", "almaty-3"]) as fleet:
            responses, samples = anyio.run(self.send_traffic, fleet)
            exit_codes = fleet.stop()
            self.check_responses(responses)
            self.check_samples(fleet, samples)
            self.check_no_credentials_upstream(fleet)
        self.assertEqual(exit_codes, [0, 0, 0])

    async def send_traffic(self, fleet) -> tuple[list, list]:
        responses: list = []
        samples: list = []
        concurrency = anyio.Semaphore(MAX_CONCURRENCY)
        rng = random.Random(SEED)
        limits = httpx.Limits(max_connections=MAX_CONCURRENCY * 2)
        async with (
            httpx.AsyncClient(timeout=60, trust_env=False, limits=limits) as client,
            anyio.create_task_group() as task_group,
        ):
            task_group.start_soon(self.run_trainer, client, fleet, samples)
            for number in range(REQUESTS):
                daemon = rng.choice(fleet.daemons)
                await concurrency.acquire()
                task_group.start_soon(
                    self.send_request, client, daemon, number, responses, concurrency
                )
        return responses, samples

    async def send_request(self, client, daemon, number, responses, concurrency) -> None:
        try:
            request_id = f"req-{number}"
            headers = bearer_header("filers-sample") | {"x-request-id": request_id}
            if number % 10 == 0:
                body = {"prompt": f"p{number}", "max_tokens": 8, "stream": True}
                url = daemon.callers + "/almaty/ledger"
                response = await client.post(url, json=body, headers=headers)
            else:
                url = daemon.callers + "/almaty/filings/" + request_id
                response = await client.post(url, content=request_id, headers=headers)
            responses.append((number, response.status_code, response.content))
        finally:
            concurrency.release()

    async def run_trainer(self, client, fleet, samples) -> None:
        headers = bearer_header("trainers-sample")
        groups = [
            {"prompt": f"group {g}", "samples": GROUP_SIZE, "max_tokens": 24} for g in range(GROUPS)
        ]
        path = "/v1/steps/trainer-1/step-1"
        body = {"model": "ledger", "groups": groups}
        submission = await client.post(fleet.daemons[0].callers + path, json=body, headers=headers)
        submission.raise_for_status()
        cursor, remaining = submission.json()["cursors"][0], 1
        pull_count = 0
        while remaining:
            daemon = fleet.daemons[pull_count % len(fleet.daemons)]
            pull_count += 1
            body = {"cursor": cursor, "weight_version": 1, "wait_ms": 5000}
            pull_response = await client.post(
                daemon.callers + path + "/pull", json=body, headers=headers
            )
            pull_response.raise_for_status()
            page = pull_response.json()
            samples += page["samples"]
            cursor, remaining = page["cursor"], page["remaining"]

    def check_responses(self, responses: list) -> None:
        self.assertEqual(len(responses), REQUESTS)
        for number, status, content in responses:
            self.assertEqual(status, 200, content)
            if number % 10 == 0:
                self.assertIn(b'"done":true', content)
            else:
                self.assertIn(f'"echo":"req-{number}"'.encode(), content)

    def check_samples(self, fleet, samples: list) -> None:
        positions = [(sample["group"], sample["index"]) for sample in samples]
        expected = [(group, index) for group in range(GROUPS) for index in range(GROUP_SIZE)]
        self.assertEqual(sorted(positions), expected)
        generated_spans = {
            event["request_id"]: [[span["version"], span["tokens"]] for span in event["spans"]]
            for event in fleet.records("ledger-*")
            if event["event"] == "generated"
        }
        for sample in samples:
            self.assertEqual(generated_spans[sample["sample_id"]], sample["weight_versions"])

    def check_no_credentials_upstream(self, fleet) -> None:
        run_count = 0
        for pattern in ("ledger-*", "portal-*"):
            for event in fleet.records(pattern):
                run_count += event["event"] == "run"
                self.assertNotIn(SAMPLE_KEY_SECRET, str(event))
                self.assertNotIn("authorization", event.get("headers", {}))
        self.assertGreaterEqual(run_count, REQUESTS + GROUPS * GROUP_SIZE)
