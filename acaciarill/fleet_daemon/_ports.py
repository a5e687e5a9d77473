"""Define the settings of a fleet daemon and the ports to its platform."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from ..batches import EventParser, ObjectAccess, Submission
from ..batches.const import DEFAULT_RETENTION_S
from ..connection_budget import ConnectionLimits
from ..control import OrderOutcome
from ..edge import Request, Responder
from ..fleet import Configuration, StoreChannel, Upstream, UpstreamCodec, UpstreamState
from ..fleet.const import DUTY_LEASE_TTL_S, MAX_STREAM_VERSIONS
from ..leases import Lease
from ..mirrors import KindSource, Record
from .const import DEFAULT_MAX_OBJECT_BYTES, DEFAULT_MEMORY_BYTES

if TYPE_CHECKING:
    from ._daemon import FleetDaemon


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Hold the settings of one process; addresses are `ip:port`, times are in seconds.

    `max_object_bytes` is the store's limit of one object, `memory_bytes` that of the process.
    `duty_return_delay_s` is how long after it has last acted for a duty a daemon does not succeed
    another holder of that duty. `batch_retention_s` is how long after their submission the results
    of batches that have been ended can still be read. `connection_limits` bound what the
    connections at all listeners hold together, `max_stream_records` how many streams are known.
    """

    host: str
    data_centre: str
    role: str
    callers: str
    readiness: str
    peers: str
    seeds: tuple[str, ...]
    store: str
    drain_s: float
    usage_window_s: float
    metrics_address: str
    max_object_bytes: int = DEFAULT_MAX_OBJECT_BYTES
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    duty_return_delay_s: float = DUTY_LEASE_TTL_S
    batch_retention_s: float = DEFAULT_RETENTION_S
    connection_limits: ConnectionLimits = field(default_factory=ConnectionLimits)
    max_stream_records: int = MAX_STREAM_VERSIONS


@dataclass(slots=True, frozen=True)
class FleetKinds:
    """Name the kinds of store objects that the platform and its users write."""

    configuration: str
    upstreams: str
    versions: str
    retirements: str


@dataclass(slots=True)
class FleetPorts:
    """Hold the functions that translate between this daemon and its platform.

    Those that decode a single record raise one of `mirrors.DECODE_ERRORS` if it is malformed.
    """

    kinds: FleetKinds
    store: Callable[[StoreChannel], "FleetStore"]
    codec: UpstreamCodec
    decode_configuration: Callable[[dict[str, Record]], Configuration | None]
    decode_upstream: Callable[[Record], Upstream]
    decode_version: Callable[[Record], tuple[str, int]]
    decode_submission: Callable[[bytes], Submission]
    event_reader: Callable[[], EventParser]
    request_handler: Callable[["FleetDaemon"], "RequestPort"]
    duty_calls: Callable[["FleetDaemon"], "DutyPort"]
    is_retirement_completed: Callable[[Record], bool]
    completed_retirement_status: dict[str, str]


class RequestPort(Protocol):
    """Serve the requests of clients."""

    def check_head(self, request: Request) -> Exception | None:
        """Return why a request cannot be served whatever its body is, or None."""

    async def serve(self, request: Request, responder: Responder) -> None:
        """Respond to one request."""


class FleetStore(ObjectAccess, KindSource, Protocol):
    """Read, write, list and watch the objects of the store."""

    async def put_status(self, key: str, version: int, value: Any) -> None:
        """Replace the status of an object if it has that version; raise StoreError."""


class DutyPort(Protocol):
    """Make the calls that only the holder of the control duty may make."""

    async def report_usage(self, window: int, counts: dict[str, int], lease: Lease) -> bool:
        """Report a usage window; return whether it was accepted. Raise AcaciarillError."""

    async def order_upstream_count(
        self, service: str, data_centre: str, count: int, lease: Lease
    ) -> bool:
        """Order the upstreams of a service in a data centre; raise AcaciarillError.

        Return whether the order was accepted.
        """

    async def order_weight_load(
        self, state: UpstreamState, model: str, version: int, only_idle: bool, lease: Lease
    ) -> OrderOutcome:
        """Order an engine to load a weight version; raise AcaciarillError."""

    async def read_loaded_version(self, state: UpstreamState, model: str) -> int | None:
        """Return the version of a model that an engine has loaded; raise AcaciarillError."""
