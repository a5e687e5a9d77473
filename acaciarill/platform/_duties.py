"""Send the calls of singleton duties to the platform and orders to its replicas."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson

from ..control import OrderOutcome
from ..edge import HttpPool, HttpResponse
from ..errors import LeaseLostError, Step, UpstreamError
from ..fleet import UpstreamState
from ..fleet.const import ORDER_TIMEOUT_S
from ..leases import Lease
from .const import HEADER_EXPECT_INSTANCE, HEADER_FENCE, HEADER_HOLDER

Held = Callable[[int], bool]

ORDER_OUTCOMES = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
}


class DutyCalls:
    """Make calls that only the holder of the duty may make."""

    def __init__(self, host: str, address: str, pool: HttpPool, held: Held) -> None:
        self.host = host
        self.address = address
        self.pool = pool
        self.held = held

    async def report_usage(self, window: int, counts: dict[str, int], lease: Lease) -> bool:
        """Report a window; tell whether the platform has it now."""
        body = orjson.dumps({"window": window, "counts": counts})
        return (await self._post(self.address, "/usage", body, lease)).head.status == 200

    async def order_upstream_count(
        self, service: str, data_centre: str, count: int, lease: Lease
    ) -> bool:
        """Order a number of replicas of a service in a zone; tell whether it was taken."""
        body = orjson.dumps({"service": service, "zone": data_centre, "desired": count})
        return (await self._post(self.address, "/scale", body, lease)).head.status == 200

    async def read_loaded_version(self, state: UpstreamState, model: str) -> int | None:
        """Return the version of a model that a replica reports; raise UpstreamError."""
        facts = await self._report(state)
        for held in facts.get("models") or []:
            if held.get("name") == model:
                return held.get("version")
        return None

    async def _report(self, state: UpstreamState) -> dict[str, Any]:
        upstream = state.upstream
        expect = [(HEADER_EXPECT_INSTANCE, upstream.id.encode())]
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                report = await self.pool.request(upstream.address, "GET", "/report", expect)
        except TimeoutError as error:
            raise UpstreamError("no report in time", step=Step.ORDER, peer=upstream.id) from error
        if report.head.status != 200:
            raise UpstreamError("no report", step=Step.ORDER, peer=upstream.id)
        try:
            return orjson.loads(report.body)
        except orjson.JSONDecodeError as error:
            raise UpstreamError("malformed report", step=Step.ORDER, peer=upstream.id) from error

    async def order_weight_load(
        self, state: UpstreamState, model: str, version: int, only_idle: bool, lease: Lease
    ) -> OrderOutcome:
        """Order a replica to load a version unless it has taken another order meanwhile."""
        upstream = state.upstream
        expect = [(HEADER_EXPECT_INSTANCE, upstream.id.encode())]
        facts = await self._report(state)
        if facts.get("busy"):
            return OrderOutcome.BUSY
        if only_idle and (facts.get("running") or facts.get("waiting")):
            return OrderOutcome.IN_USE
        order = {
            "op": "version",
            "model": model,
            "version": version,
            "mode": "retain",
            "holder": self.host,
            "fence": lease.epoch,
            "precondition": facts["sequence"],
        }
        reply = await self._post(upstream.address, "/order", orjson.dumps(order), lease, expect)
        return ORDER_OUTCOMES.get(reply.head.status, OrderOutcome.REFUSED)

    async def _post(
        self,
        address: str,
        target: str,
        body: bytes,
        lease: Lease,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> HttpResponse:
        def check() -> None:
            if not self.held(lease.epoch):
                raise LeaseLostError("the lease has ended", step=Step.ORDER, peer=address)

        fields = [
            (b"Content-Type", b"application/json"),
            (HEADER_HOLDER, self.host.encode()),
            (HEADER_FENCE, str(lease.epoch).encode()),
            *(headers or []),
        ]
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                return await self.pool.request(address, "POST", target, fields, body, check=check)
        except TimeoutError as error:
            raise UpstreamError("no answer in time", step=Step.ORDER, peer=address) from error
