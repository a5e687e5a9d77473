"""Test that a daemon calls external systems only through the ports passed to it."""

import unittest
from typing import Any

import anyio

from acaciarill.config import Document
from acaciarill.daemon import Daemon
from acaciarill.dev import read_sample_config
from acaciarill.leases import Lease
from acaciarill.ports import build_ports
from acaciarill.settings import Settings
from acaciarill.stand_ins.everything import load_document
from tests.fakes.ports import free_port
from tests.fakes.store import FakeStore

UNREACHABLE_URL = "http://127.0.0.1:9"
"""URL of the discard port, where nothing listens: a request to it fails the test."""


class PortsTest(unittest.IsolatedAsyncioTestCase):
    """Run a duty of a daemon with ports that record their calls."""

    def setUp(self) -> None:
        self.orders: list[tuple[str, int, dict[str, Any]]] = []
        self.settings = Settings(
            host="h1",
            data_centre="almaty-1",
            callers=f"127.0.0.1:{free_port()}",
            operators=f"127.0.0.1:{free_port()}",
            daemons=f"127.0.0.1:{free_port()}",
            object_api=UNREACHABLE_URL,
            host_list=UNREACHABLE_URL,
            capacity=UNREACHABLE_URL,
            usage=UNREACHABLE_URL,
            weight_store=UNREACHABLE_URL,
        )

    async def record_order(
        self, sender: Any, data_centre: str, epoch: int, order: dict[str, Any]
    ) -> Any:
        self.orders.append((data_centre, epoch, order["counts"]))
        return {"granted": {}}

    async def test_capacity_order_uses_the_given_port(self) -> None:
        ports = build_ports(self.settings)
        ports.store = FakeStore()  # type: ignore[assignment]
        ports.send_capacity_order = self.record_order
        document: Document = load_document(read_sample_config(), "sample")
        async with anyio.create_task_group() as task_group:
            daemon = Daemon(self.settings, ports, task_group)
            daemon.config.document = document
            orders = daemon.duties.duties["orders/almaty-1"]
            await orders.work(Lease(3, 1e9))
            task_group.cancel_scope.cancel()
        await ports.upstreams.aclose()
        self.assertEqual(
            [(data_centre, epoch) for data_centre, epoch, _ in self.orders], [("almaty-1", 3)]
        )
        intents = [key for key in ports.store.objects if key.endswith("almaty-1")]
        self.assertEqual(len(intents), 1)

    async def test_daemon_uses_the_given_clients(self) -> None:
        ports = build_ports(self.settings)
        async with anyio.create_task_group() as task_group:
            daemon = Daemon(self.settings, ports, task_group)
            task_group.cancel_scope.cancel()
        self.assertIs(daemon.upstream_client, ports.upstreams)
        self.assertIs(daemon.store, ports.store)
        self.assertIs(daemon.heartbeats.host_list, ports.host_list)
        self.assertIs(daemon.sample_producer.scorers, ports.scorer)
        await ports.upstreams.aclose()
