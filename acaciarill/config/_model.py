"""Define the data classes of the checked configuration, with the indexes that requests use."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from .const import (
    ACCESS_KEYED,
    DEFAULT_SHARE,
    DEFAULT_SPARE_SHARE,
    DEFAULT_STALENESS_BOUND,
    DEFAULT_TIMEOUT_MS,
    DEFAULT_UPSTREAM_SLOTS,
    DEFAULT_USAGE_WINDOW_S,
    KIND_ENGINE,
)


@dataclass(slots=True, frozen=True)
class Customer:
    """Describe a customer of one owner; `share` is its weight in fair sharing."""

    name: str
    owner: str
    share: float = DEFAULT_SHARE


@dataclass(slots=True, frozen=True)
class ApiKey:
    """Describe a granted key; only the SHA-256 of its secret is stored, as hexadecimal `digest`."""

    id: str
    customer: str
    digest: str


@dataclass(slots=True, frozen=True)
class Model:
    """Describe a model.

    `staleness_bound` is the largest number of weight versions that a sample may lag behind the
    newest one, and `scorer` the `ip:port` of the service that scores samples, if any.
    """

    name: str
    owner: str
    staleness_bound: int = DEFAULT_STALENESS_BOUND
    scorer: str = ""


@dataclass(slots=True, frozen=True)
class Service:
    """Describe a service that is not a model."""

    name: str
    owner: str


@dataclass(slots=True, frozen=True)
class Upstream:
    """Describe an upstream.

    `serves` is the name of its model or service, `address` its `ip:port`, `slots` the number of
    requests that it runs at once, and `price_per_hour` its price in the platform's currency.
    `kind` is KIND_ENGINE, a model engine, or KIND_PLAIN, any other HTTP service. All `cheap`
    upstreams may be lost at once. With `checks_fencing`, it rejects orders with an outdated fencing
    token. With `declares_not_run`, its responses may declare that a request was not executed.
    """

    name: str
    serves: str
    data_centre: str
    address: str
    kind: str = KIND_ENGINE
    price_per_hour: float = 0.0
    cheap: bool = False
    checks_fencing: bool = False
    declares_not_run: bool = False
    slots: int = DEFAULT_UPSTREAM_SLOTS


@dataclass(slots=True, frozen=True)
class Route:
    """Describe a path prefix for callers and the model or service that it leads to.

    `access` is ACCESS_KEYED or ACCESS_OPEN, which needs no key. An `idempotent` request may be
    retried after an unknown outcome. With `claims`, each idempotency key is accepted only once.
    `timeout_ms` is the longest deadline of a request, in milliseconds.
    """

    path: str
    owner: str
    target: str
    access: str = ACCESS_KEYED
    idempotent: bool = False
    claims: bool = False
    timeout_ms: int = DEFAULT_TIMEOUT_MS


@dataclass(slots=True, frozen=True)
class SpendLimits:
    """Limit the number of upstreams ordered for one target in one data centre.

    `spare_share` is the capacity beyond the demand, as a fraction of the demand.
    """

    target: str
    minimum: int = 1
    maximum: int = 8
    spare_share: float = DEFAULT_SPARE_SHARE


@dataclass(slots=True)
class Section:
    """Hold one owner's section of the document; `window_s` is its usage window in seconds."""

    owner: str
    customers: list[Customer] = field(default_factory=list)
    keys: list[ApiKey] = field(default_factory=list)
    models: list[Model] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    upstreams: list[Upstream] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)
    spend: list[SpendLimits] = field(default_factory=list)
    window_s: int = DEFAULT_USAGE_WINDOW_S


class Document:
    """Hold one revision of the merged document; sections are indexed by owner."""

    def __init__(
        self, revision: int, sections: dict[str, Section], raw_sections: dict[str, dict[str, Any]]
    ) -> None:
        self.revision = revision
        self.sections = sections
        self.raw_sections = raw_sections

    @cached_property
    def customers(self) -> dict[str, Customer]:
        """Return the customers by name."""
        return {item.name: item for section in self.sections.values() for item in section.customers}

    @cached_property
    def keys(self) -> dict[str, ApiKey]:
        """Return the granted keys by id."""
        return {item.id: item for section in self.sections.values() for item in section.keys}

    @cached_property
    def models(self) -> dict[str, Model]:
        """Return the models by name."""
        return {item.name: item for section in self.sections.values() for item in section.models}

    @cached_property
    def upstreams(self) -> dict[str, Upstream]:
        """Return the upstreams by name."""
        return {item.name: item for section in self.sections.values() for item in section.upstreams}

    @cached_property
    def upstreams_by_target(self) -> dict[str, list[Upstream]]:
        """Return the upstreams that serve each model or service."""
        grouped: dict[str, list[Upstream]] = {}
        for upstream in self.upstreams.values():
            grouped.setdefault(upstream.serves, []).append(upstream)
        return grouped

    @cached_property
    def routes(self) -> list[Route]:
        """Return the routes, the longest path first."""
        all_routes = [route for section in self.sections.values() for route in section.routes]
        return sorted(all_routes, key=lambda route: -len(route.path))

    def find_route(self, path: str) -> Route | None:
        """Return the route whose path is the longest prefix in whole segments, or None."""
        for route in self.routes:
            if path == route.path or path.startswith(route.path.rstrip("/") + "/"):
                return route
        return None


EMPTY_DOCUMENT = Document(0, {}, {})
