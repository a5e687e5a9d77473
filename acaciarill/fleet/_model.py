"""Define routes, services, the configuration and upstreams, independent of the platform."""

from bisect import bisect
from dataclasses import dataclass, field
from enum import StrEnum

from ..edge import EdgeLimits


class RouteKind(StrEnum):
    """Classify the requests of a route by how they may be forwarded and retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(slots=True, frozen=True)
class Route:
    """Describe where the requests of a route go and under which limits.

    `single_version` requires all tokens of a text to come from one weight version.
    `result_deadline_s`, added to a batch's submission time, ranks its items. They get no new
    attempt once `max_queue_s` has passed since the submission (0: no limit).
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    service_weights: tuple[tuple[str, float], ...]
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int
    public: bool = False
    resumable: bool = False
    single_version: bool = False
    result_deadline_s: float = 0.0
    max_queue_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def choose_service(self, fraction: float) -> str:
        """Return the service at a fraction from 0 to 1 of the total weight."""
        total = 0.0
        cumulative_weights = []
        for _, weight in self.service_weights:
            total += weight
            cumulative_weights.append(total)
        index = min(bisect(cumulative_weights, fraction * total), len(self.service_weights) - 1)
        return self.service_weights[index][0]


@dataclass(slots=True, frozen=True)
class Scaling:
    """Limit how many upstreams of a service may be ordered in each data centre.

    `boot_s` is the start-up time of an upstream; `prices` are by data centre; `cheap_price`
    applies to spot upstreams.
    """

    minimum: int
    maximum: int
    boot_s: float
    cheap_price: float
    prices: dict[str, float]


@dataclass(slots=True, frozen=True)
class Engine:
    """Describe the inference engines of a service; `slots` is the concurrency of each engine."""

    slots: int
    kv_cache_capacity_tokens: int
    models: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Service:
    """Describe a set of interchangeable upstreams."""

    name: str
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclass(slots=True, frozen=True)
class Configuration:
    """Hold one accepted version of the configuration.

    `routes` are by host, `services` by name; `customers` maps an API key to its customer, and is
    None if requests need no key. An empty map means that no key is valid.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: EdgeLimits
    customers: dict[str, str] | None
    customer_priorities: dict[str, int] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches a path, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def group_routes_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
        for host, host_routes in grouped.items()
    }


@dataclass(slots=True, frozen=True)
class Upstream:
    """Describe one lifetime of an upstream, from its registration until it restarts.

    `versions` maps a model to its loaded weight version. `cheap` marks a spot upstream.
    Upstreams of several software versions may serve side by side; a stream that one of them began
    continues only at others of the same version.
    """

    id: str
    lifetime: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    cheap: bool = False
    software_version: str = ""


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Hold the load that an upstream reports in a response."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class ResponseMetadata:
    """Hold the metadata in the head of an upstream's response.

    `not_run` says that the upstream did not run the request; `server_stamp` proves that it did.
    `rate_limit` is how many requests per second the upstream accepts from all daemons together, or
    None without a limit. `is_leaving` says that the upstream leaves and must get no new requests.
    """

    request_id: str = ""
    not_run: bool = False
    server_stamp: str = ""
    load: LoadReport | None = None
    weight_version: int | None = None
    rate_limit: float | None = None
    is_leaving: bool = False
