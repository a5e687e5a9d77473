"""Test that a daemon speaks to outside systems only through the ports that it is handed."""

import unittest
from typing import Any

import anyio

from acaciarill.config import Document
from acaciarill.daemon import Daemon
from acaciarill.dev import sample_text
from acaciarill.leases import Lease
from acaciarill.ports import build_ports
from acaciarill.settings import Settings
from acaciarill.stand_ins.everything import load_document
from tests.fakes.ports import free_port
from tests.fakes.store import FakeStore

NOWHERE = "http://127.0.0.1:9"
"""The discard port: what is sent there fails the test."""


class PortsTest(unittest.IsolatedAsyncioTestCase):
    """Run the duties of a daemon on ports that keep what they are given."""

    def setUp(self) -> None:
        self.orders: list[tuple[str, int, dict[str, Any]]] = []
        self.settings = Settings(
            host="h1",
            data_centre="almaty-1",
            callers=f"127.0.0.1:{free_port()}",
            operators=f"127.0.0.1:{free_port()}",
            daemons=f"127.0.0.1:{free_port()}",
            object_api=NOWHERE,
            host_list=NOWHERE,
            capacity=NOWHERE,
            usage=NOWHERE,
            weight_store=NOWHERE,
        )

    async def order(self, sender: Any, data_centre: str, epoch: int, order: dict[str, Any]) -> Any:
        self.orders.append((data_centre, epoch, order["counts"]))
        return {"granted": {}}

    async def test_capacity_is_ordered_through_the_port(self) -> None:
        ports = build_ports(self.settings)
        ports.store = FakeStore()  # type: ignore[assignment]
        ports.order_counts = self.order
        document: Document = load_document(sample_text(), "sample")
        async with anyio.create_task_group() as tasks:
            daemon = Daemon(self.settings, ports, tasks)
            daemon.config.document = document
            orders = daemon.duties.duties["orders/almaty-1"]
            await orders.work(Lease(3, 1e9))
            tasks.cancel_scope.cancel()
        await ports.upstreams.aclose()
        self.assertEqual([(place, epoch) for place, epoch, _ in self.orders], [("almaty-1", 3)])
        intents = [key for key in ports.store.objects if key.endswith("almaty-1")]
        self.assertEqual(len(intents), 1)

    async def test_every_client_of_the_daemon_is_one_of_the_ports(self) -> None:
        ports = build_ports(self.settings)
        async with anyio.create_task_group() as tasks:
            daemon = Daemon(self.settings, ports, tasks)
            tasks.cancel_scope.cancel()
        self.assertIs(daemon.client, ports.upstreams)
        self.assertIs(daemon.store, ports.store)
        self.assertIs(daemon.heartbeats.host_list, ports.host_list)
        self.assertIs(daemon.holder.scorers, ports.scorer)
        await ports.upstreams.aclose()
