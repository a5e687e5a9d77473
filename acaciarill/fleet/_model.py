"""Describe routes, services, customers and upstreams as this product sees them."""

from bisect import bisect
from dataclasses import dataclass, field
from enum import StrEnum

from ..edge import EdgeLimits


class RouteKind(StrEnum):
    """Tell what may be done with the requests of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(slots=True, frozen=True)
class Route:
    """Hold where requests go and under which bounds; times are in seconds."""

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
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def choose_service(self, drawn: float) -> str:
        """Return the service for a number drawn from 0 to 1, by the weights of the split."""
        total = 0.0
        bounds = []
        for _, weight in self.service_weights:
            total += weight
            bounds.append(total)
        index = min(bisect(bounds, drawn * total), len(self.service_weights) - 1)
        return self.service_weights[index][0]


@dataclass(slots=True, frozen=True)
class Scaling:
    """Bound how many upstreams of a service may be ordered in each data centre."""

    minimum: int
    maximum: int
    boot_s: float
    cheap_price: float
    prices: dict[str, float]


@dataclass(slots=True, frozen=True)
class Engine:
    """Describe the model engines of a service."""

    slots: int
    cache_tokens: int
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
    """Hold one accepted version of the configuration."""

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: EdgeLimits
    customers: dict[str, str]
    customer_priorities: dict[str, int] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
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
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in grouped.items()
    }


@dataclass(slots=True, frozen=True)
class Upstream:
    """Describe one lifetime of an upstream as it registered itself."""

    id: str
    lifetime: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    cheap: bool = False


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Hold what an upstream says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class ResponseMetadata:
    """Hold what the head of an upstream's answer says besides the status."""

    request_id: str = ""
    not_run: bool = False
    server_stamp: str = ""
    load: LoadReport | None = None
    weight_version: int | None = None
