"""Send the calls of singleton duties to the platform and weight load orders to its replicas."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import orjson

from ..control import OrderOutcome
from ..edge import HttpPool, HttpResponse
from ..errors import LeaseLostError, Step, UpstreamError
from ..fleet import UpstreamState
from ..fleet.const import ORDER_TIMEOUT_S
from ..leases import Lease
from ..mirrors import DECODE_ERRORS
from ..untrusted_json import decode_value, require_integer, require_string
from .const import HEADER_DUTY_HOLDER, HEADER_EXPECTED_UPSTREAM, HEADER_FENCING_TOKEN

LeaseCheck = Callable[[int], bool]
"""Return whether this daemon still holds the duty's lease of an epoch."""

OUTCOMES_BY_STATUS = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
}


class DutyClient:
    """Make the calls that only the holder of the duty's lease may make."""

    def __init__(self, host: str, address: str, pool: HttpPool, holds_lease: LeaseCheck) -> None:
        self.host = host
        self.address = address
        self.pool = pool
        self.holds_lease = holds_lease

    async def report_usage(self, window: int, counts: dict[str, int], lease: Lease) -> bool:
        """Report a usage window; return whether it was accepted. Raise AcaciarillError."""
        body = orjson.dumps({"window": window, "counts": counts})
        return (await self._post_as_holder(self.address, "/usage", body, lease)).head.status == 200

    async def order_upstream_count(
        self, service: str, data_centre: str, count: int, lease: Lease
    ) -> bool:
        """Order a number of upstreams; return whether it was accepted. Raise AcaciarillError."""
        body = orjson.dumps({"service": service, "zone": data_centre, "desired": count})
        return (await self._post_as_holder(self.address, "/scale", body, lease)).head.status == 200

    async def read_loaded_version(self, state: UpstreamState, model: str) -> int | None:
        """Return the version of a model that a replica has loaded; raise UpstreamError."""
        return (await self._read_report(state)).versions.get(model)

    async def _read_report(self, state: UpstreamState) -> "_Report":
        upstream = state.upstream
        headers = [(HEADER_EXPECTED_UPSTREAM, upstream.id.encode())]
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                response = await self.pool.request(upstream.address, "GET", "/report", headers)
        except TimeoutError as error:
            raise UpstreamError(
                "replica did not return its state report within the timeout",
                step=Step.ORDER,
                peer=upstream.id,
            ) from error
        if response.head.status != 200:
            raise UpstreamError(
                "replica returned an error instead of its state report",
                step=Step.ORDER,
                peer=upstream.id,
            )
        try:
            return _decode_report(response.body)
        except DECODE_ERRORS as error:
            raise UpstreamError(
                "replica returned a malformed state report", step=Step.ORDER, peer=upstream.id
            ) from error

    async def order_weight_load(
        self, state: UpstreamState, model: str, version: int, only_idle: bool, lease: Lease
    ) -> OrderOutcome:
        """Order a replica to load a weight version; raise AcaciarillError.

        The order carries the replica's sequence number as a precondition, so the replica rejects it
        if it has accepted another order since its report.
        """
        upstream = state.upstream
        headers = [(HEADER_EXPECTED_UPSTREAM, upstream.id.encode())]
        report = await self._read_report(state)
        if report.is_busy:
            return OrderOutcome.BUSY
        if only_idle and report.has_requests:
            return OrderOutcome.IN_USE
        order = {
            "op": "version",
            "model": model,
            "version": version,
            "mode": "retain",
            "holder": self.host,
            "fence": lease.epoch,
            "precondition": report.sequence,
        }
        response = await self._post_as_holder(
            upstream.address, "/order", orjson.dumps(order), lease, headers
        )
        return OUTCOMES_BY_STATUS.get(response.head.status, OrderOutcome.REFUSED)

    async def _post_as_holder(
        self,
        address: str,
        target: str,
        body: bytes,
        lease: Lease,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> HttpResponse:
        def check_lease() -> None:
            if not self.holds_lease(lease.epoch):
                raise LeaseLostError("lease expired or was lost", step=Step.ORDER, peer=address)

        request_headers = [
            (b"Content-Type", b"application/json"),
            (HEADER_DUTY_HOLDER, self.host.encode()),
            (HEADER_FENCING_TOKEN, str(lease.epoch).encode()),
            *(headers or []),
        ]
        try:
            with anyio.fail_after(ORDER_TIMEOUT_S):
                return await self.pool.request(
                    address, "POST", target, request_headers, body, before_send=check_lease
                )
        except TimeoutError as error:
            raise UpstreamError(
                "no response within the timeout", step=Step.ORDER, peer=address
            ) from error


@dataclass(slots=True)
class _Report:
    """Hold what a replica reports: whether it loads weights, its load and its loaded versions."""

    is_busy: bool
    has_requests: bool
    sequence: int
    versions: dict[str, int]


def _decode_report(body: bytes) -> _Report:
    """Decode a state report; raise one of DECODE_ERRORS."""
    report = decode_value(body)
    return _Report(
        bool(report.get("busy")),
        bool(report.get("running") or report.get("waiting")),
        require_integer(report["sequence"]),
        {
            require_string(loaded["name"]): require_integer(loaded["version"])
            for loaded in report.get("models") or []
        },
    )
