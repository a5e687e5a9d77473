"""Check the document against its schema and across its sections."""

import hashlib
import tomllib
from collections.abc import Iterable
from typing import Any

import orjson
import voluptuous as vol
from returns.result import Failure, Result, Success

from ..errors import ConfigFault
from ..validation import collect_faults, ip_address_and_port
from ._model import Customer, Document, Key, Model, Route, Section, Service, SpendLimits, Upstream
from .const import (
    ACCESS_KEYED,
    ACCESS_OPEN,
    ATTR_CUSTOMERS,
    ATTR_KEYS,
    ATTR_MODELS,
    ATTR_ROUTES,
    ATTR_SERVICES,
    ATTR_SPEND,
    ATTR_UPSTREAMS,
    ATTR_USAGE,
    DEFAULT_SHARE,
    DEFAULT_SPARE_SHARE,
    DEFAULT_STALENESS_BOUND,
    DEFAULT_TIMEOUT_MS,
    DEFAULT_UPSTREAM_SLOTS,
    DEFAULT_USAGE_WINDOW_S,
    KIND_ENGINE,
    KIND_PLAIN,
    MAX_FACTOR,
)

_NAME = vol.All(str, vol.Match(r"^[a-z0-9][a-z0-9._-]{0,62}$", "expected a lower-case name"))
_PATH = vol.All(str, vol.Match(r"^/[A-Za-z0-9._~/-]+$", "expected a path such as /lookup"))
_COUNT = vol.All(int, vol.Range(min=0, max=100_000))
_POSITIVE = vol.All(vol.Coerce(float), vol.Range(min=0, max=MAX_FACTOR, min_included=False))
_RESERVED_PATHS = ("/v1/steps", "/healthz", "/readyz")

SECTION_SCHEMA = vol.Schema(
    {
        vol.Optional(ATTR_CUSTOMERS, default=list): [
            {vol.Required("name"): _NAME, vol.Optional("share", default=DEFAULT_SHARE): _POSITIVE}
        ],
        vol.Optional(ATTR_KEYS, default=list): [
            {
                vol.Required("id"): _NAME,
                vol.Required("customer"): _NAME,
                vol.Required("digest"): vol.All(
                    str, vol.Match(r"^[0-9a-f]{64}$", "expected a SHA-256 in hex")
                ),
            }
        ],
        vol.Optional(ATTR_MODELS, default=list): [
            {
                vol.Required("name"): _NAME,
                vol.Optional("staleness_bound", default=DEFAULT_STALENESS_BOUND): _COUNT,
                vol.Optional("scorer", default=""): vol.Any("", ip_address_and_port),
            }
        ],
        vol.Optional(ATTR_SERVICES, default=list): [{vol.Required("name"): _NAME}],
        vol.Optional(ATTR_UPSTREAMS, default=list): [
            {
                vol.Required("name"): _NAME,
                vol.Required("serves"): _NAME,
                vol.Required("data_centre"): _NAME,
                vol.Required("address"): ip_address_and_port,
                vol.Optional("kind", default=KIND_ENGINE): vol.In([KIND_ENGINE, KIND_PLAIN]),
                vol.Optional("price_per_hour", default=0.0): vol.All(
                    vol.Coerce(float), vol.Range(min=0, max=MAX_FACTOR)
                ),
                vol.Optional("cheap", default=False): bool,
                vol.Optional("checks_fencing", default=False): bool,
                vol.Optional("declares_not_run", default=False): bool,
                vol.Optional("slots", default=DEFAULT_UPSTREAM_SLOTS): vol.All(
                    int, vol.Range(min=1, max=4096)
                ),
            }
        ],
        vol.Optional(ATTR_ROUTES, default=list): [
            {
                vol.Required("path"): _PATH,
                vol.Required("target"): _NAME,
                vol.Optional("access", default=ACCESS_KEYED): vol.In([ACCESS_KEYED, ACCESS_OPEN]),
                vol.Optional("idempotent", default=False): bool,
                vol.Optional("claims", default=False): bool,
                vol.Optional("timeout_ms", default=DEFAULT_TIMEOUT_MS): vol.All(
                    int, vol.Range(min=1, max=3_600_000)
                ),
            }
        ],
        vol.Optional(ATTR_SPEND, default=list): [
            {
                vol.Required("target"): _NAME,
                vol.Optional("minimum", default=1): _COUNT,
                vol.Optional("maximum", default=8): _COUNT,
                vol.Optional("spare_share", default=DEFAULT_SPARE_SHARE): vol.All(
                    vol.Coerce(float), vol.Range(min=0, max=1)
                ),
            }
        ],
        vol.Optional(ATTR_USAGE, default=dict): {
            vol.Optional("window_s", default=DEFAULT_USAGE_WINDOW_S): vol.All(
                int, vol.Range(min=1, max=86_400)
            ),
        },
    }
)


def section_bytes(raw: dict[str, Any]) -> bytes:
    """Return the canonical bytes of a section; equal sections give equal bytes."""
    return orjson.dumps(raw, option=orjson.OPT_SORT_KEYS)


def section_digest(raw: dict[str, Any]) -> str:
    """Return the SHA-256 of a section in hex."""
    return hashlib.sha256(section_bytes(raw)).hexdigest()


def parse_document(text: str, file: str) -> Result[dict[str, dict[str, Any]], list[ConfigFault]]:
    """Parse TOML into raw sections by owner."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure([ConfigFault(file, "", "", str(error))])
    faults = [
        ConfigFault(file, "", owner, "expected a section for one owner")
        for owner, section in raw.items()
        if not isinstance(section, dict)
    ]
    if not raw:
        faults.append(ConfigFault(file, "", "", "the document has no section"))
    return Failure(faults) if faults else Success(raw)


def check_document(text: str, file: str) -> Result[Document, list[ConfigFault]]:
    """Parse and check a whole document."""
    return parse_document(text, file).bind(lambda raw: check_sections(raw, 0, file))


def check_sections(
    raw: dict[str, dict[str, Any]], revision: int, file: str
) -> Result[Document, list[ConfigFault]]:
    """Check every section and what they say about each other."""
    sections: dict[str, Section] = {}
    faults: list[ConfigFault] = []
    for owner, part in raw.items():
        try:
            sections[owner] = _build_section(owner, SECTION_SCHEMA(part))
        except vol.MultipleInvalid as error:
            for fault in collect_faults(error, file):
                fault.section = f"{owner}.{fault.section}".rstrip(".")
                faults.append(fault)
    faults += _check_references(sections, file)
    if faults:
        return Failure(faults)
    return Success(Document(revision, sections, raw))


def _build_section(owner: str, checked: dict[str, Any]) -> Section:
    return Section(
        owner=owner,
        customers=[Customer(owner=owner, **item) for item in checked[ATTR_CUSTOMERS]],
        keys=[Key(**item) for item in checked[ATTR_KEYS]],
        models=[Model(owner=owner, **item) for item in checked[ATTR_MODELS]],
        services=[Service(owner=owner, **item) for item in checked[ATTR_SERVICES]],
        upstreams=[Upstream(**item) for item in checked[ATTR_UPSTREAMS]],
        routes=[Route(owner=owner, **item) for item in checked[ATTR_ROUTES]],
        spend=[SpendLimits(**item) for item in checked[ATTR_SPEND]],
        window_s=checked[ATTR_USAGE]["window_s"],
    )


def _check_references(sections: dict[str, Section], file: str) -> list[ConfigFault]:
    faults: list[ConfigFault] = []
    parts = list(sections.values())
    faults += _check_unique(
        file, ATTR_CUSTOMERS, [(p.owner, c.name) for p in parts for c in p.customers]
    )
    faults += _check_unique(file, ATTR_KEYS, [(p.owner, k.id) for p in parts for k in p.keys])
    faults += _check_unique(file, ATTR_ROUTES, [(p.owner, r.path) for p in parts for r in p.routes])
    faults += _check_unique(
        file, ATTR_UPSTREAMS, [(p.owner, u.name) for p in parts for u in p.upstreams]
    )
    faults += _check_unique(
        file, "targets", [(p.owner, t.name) for p in parts for t in (*p.models, *p.services)]
    )
    for part in parts:
        faults += _check_section_references(part, file)
    return faults


def _check_section_references(part: Section, file: str) -> list[ConfigFault]:
    customers = {customer.name for customer in part.customers}
    targets = {target.name for target in (*part.models, *part.services)}
    faults: list[ConfigFault] = []

    def require(attribute: str, key: str, value: str, known: set[str]) -> None:
        if value not in known:
            message = f"{value!r} is not defined in the section of {part.owner}"
            faults.append(ConfigFault(file, f"{part.owner}.{attribute}", key, message))

    for key in part.keys:
        require(ATTR_KEYS, "customer", key.customer, customers)
    for upstream in part.upstreams:
        require(ATTR_UPSTREAMS, "serves", upstream.serves, targets)
    for route in part.routes:
        require(ATTR_ROUTES, "target", route.target, targets)
        if route.path.startswith(_RESERVED_PATHS):
            message = f"{route.path} is reserved"
            faults.append(ConfigFault(file, f"{part.owner}.{ATTR_ROUTES}", "path", message))
    for spend in part.spend:
        require(ATTR_SPEND, "target", spend.target, targets)
        if spend.minimum > spend.maximum:
            message = "minimum is above maximum"
            faults.append(ConfigFault(file, f"{part.owner}.{ATTR_SPEND}", "minimum", message))
    return faults


def _check_unique(file: str, attribute: str, names: Iterable[tuple[str, str]]) -> list[ConfigFault]:
    seen: set[str] = set()
    faults: list[ConfigFault] = []
    for owner, name in names:
        if name in seen:
            faults.append(ConfigFault(file, f"{owner}.{attribute}", name, "is defined twice"))
        seen.add(name)
    return faults
