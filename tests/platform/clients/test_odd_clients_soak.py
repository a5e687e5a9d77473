"""Soak the processes of the deploy file with odd clients beside ordinary ones.

SOAK_SEED and SOAK_S set the seed and the duration; a run in CI is short.
"""

import os
import random
from collections import deque
from contextlib import suppress

import anyio
import orjson

from acaciarill.edge import HttpResponse
from acaciarill.errors import Outcome, UpstreamError
from tests.fakes.event_loop import PlainLoopTestCase
from tests.platform.clients.cases import CLIENT_LIMITS, LIMITS, MAX_BODY_BYTES, PeakUsage
from tests.platform.clients.deployment import MB, Deployment, running_deployment
from tests.platform.clients.odd_clients import OddClient

SEED = int(os.environ.get("SOAK_SEED", "1"))
SOAK_S = float(os.environ.get("SOAK_S", "15"))
ODD_CLIENTS_AT_ONCE = 40
MAX_OPEN_ODD_CLIENTS = 250
"""More than the limits leave connections for callers."""
ORDINARY_CLIENTS = 4
MAX_ORDINARY_BODY_BYTES = 60_000
KINDS = ("front",) * 8 + ("ready", "metrics", "peer")
LOG_END_CHARACTERS = 3000
FREED_TIMEOUT_S = 30.0
"""Only ends a test that hangs."""


class OddClientsSoakTest(PlainLoopTestCase):
    """Check all that holds at any time: memory, descriptors, answers, and who has run."""

    maxDiff = None

    def setUp(self) -> None:
        self.rng = random.Random(SEED)
        self.answered = 0
        self.refused: list[str] = []
        self.unexpected: list[str] = []

    async def test_ordinary_clients_beside_odd_ones(self) -> None:
        usage = {name: PeakUsage() for name in ("front", "store")}
        async with running_deployment(LIMITS, CLIENT_LIMITS) as deployment:
            async with anyio.create_task_group() as tasks:
                for name, peak in usage.items():
                    tasks.start_soon(peak.watch, deployment.daemons[name])
                open_clients: deque[OddClient] = deque()
                with anyio.move_on_after(SOAK_S):
                    async with anyio.create_task_group() as clients:
                        for number in range(ORDINARY_CLIENTS):
                            clients.start_soon(self.send_ordinary_requests, deployment, number)
                        await self.start_odd_clients(deployment, open_clients)
                last_status = await deployment.status()
                last_ready_status = await deployment.status("ready", "/ready")
                for client in open_clients:
                    client.close()
                held = await self.held_when_all_are_gone(deployment)
                tasks.cancel_scope.cancel()
            ended = {
                name: daemon.log_path.read_text()[-LOG_END_CHARACTERS:]
                for name, daemon in deployment.daemons.items()
                if not daemon.is_running()
            }
            ran = set(deployment.web.request_ids)
        self.assertEqual(ended, {})
        for name, peak in usage.items():
            self.assertLess(peak.memory_bytes, LIMITS.memory_mb * MB, name)
            self.assertLess(peak.descriptors, LIMITS.max_fds, name)
        self.assertEqual(self.unexpected, [])
        self.assertGreater(self.answered, 0)
        self.assertEqual((last_status, last_ready_status), (200, 200))
        self.assertEqual(held, 0)
        self.assertEqual([name for name in self.refused if name in ran], [])
        self.assertNotIn("smuggled", ran)

    async def start_odd_clients(
        self, deployment: Deployment, open_clients: deque[OddClient]
    ) -> None:
        """Start odd clients one after the other, until cancelled; the oldest are closed."""
        turns = anyio.Semaphore(ODD_CLIENTS_AT_ONCE)
        daemons = list(deployment.daemons.values())

        async def run(client: OddClient, address: str, is_peer: bool) -> None:
            try:
                await client.run(address, is_peer)
            finally:
                open_clients.append(client)
                turns.release()

        number = 0
        async with anyio.create_task_group() as clients:
            while True:
                await turns.acquire()
                number += 1
                kind = self.rng.choice(KINDS)
                is_everywhere = kind in ("metrics", "peer")
                daemon = self.rng.choice(daemons) if is_everywhere else deployment.front
                seed = self.rng.getrandbits(60)
                client = OddClient(random.Random(seed), number, MAX_BODY_BYTES)
                if len(open_clients) > MAX_OPEN_ODD_CLIENTS:
                    open_clients.popleft().close()
                clients.start_soon(run, client, daemon.address(kind), kind == "peer")

    async def send_ordinary_requests(self, deployment: Deployment, client: int) -> None:
        """Send requests one after the other, each on a new connection, until cancelled."""
        number = 0
        rng = random.Random(SEED * 1000 + client)
        while True:
            number += 1
            name = f"ordinary-{client}-{number}"
            body = b"x" * rng.randrange(MAX_ORDINARY_BODY_BYTES)
            try:
                response = await deployment.call("front", "POST", "/p/1", body, name)
            except UpstreamError as error:
                if error.outcome is Outcome.NOT_RUN:
                    self.refused.append(name)
                await anyio.sleep(0.05)
                continue
            self.check_response(name, body, response)
            await anyio.sleep(rng.random() * 0.05)

    def check_response(self, name: str, body: bytes, response: HttpResponse) -> None:
        """Note a response that an ordinary client may not get."""
        head = response.head
        if head.status == 200:
            self.answered += 1
            expected = (name, b"%d bytes" % len(body))
            if (head.get(b"x-acaciarill-attempt-id"), response.body) != expected:
                self.unexpected.append(f"{name}: another response")
        elif head.status in (429, 503):
            self.refused.append(name)
            if head.get(b"retry-after") is None:
                self.unexpected.append(f"{name}: {head.status} without Retry-After")
        elif head.status not in (502, 504):
            self.unexpected.append(f"{name}: status {head.status}")

    async def held_when_all_are_gone(self, deployment: Deployment) -> int:
        """Return what connections hold once all odd ones are closed; wait until it is nothing."""
        held = -1
        with anyio.move_on_after(FREED_TIMEOUT_S):
            while held != 0 and deployment.front.is_running():
                with suppress(UpstreamError):
                    response = await deployment.call("metrics", "GET", "/v1/status")
                    held = orjson.loads(response.body)["connections"]["held_bytes"]
                await anyio.sleep(0.1)
        return held
