"""Validate the document against its schema and check the references in its sections."""

import hashlib
import tomllib
from collections.abc import Iterable
from typing import Any

import orjson
import voluptuous as vol
from returns.result import Failure, Result, Success

from ..errors import ConfigFault
from ..validation import collect_faults, ip_address_and_port
from ._model import (
    ApiKey,
    Customer,
    Document,
    Model,
    Route,
    Section,
    Service,
    SpendLimits,
    Upstream,
)
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
    MAX_SHARE_OR_PRICE,
)

_NAME = vol.All(
    str,
    vol.Match(
        r"^[a-z0-9][a-z0-9._-]{0,62}$",
        "expected a name of lower-case letters, digits, '.', '_', '-'",
    ),
)
_PATH = vol.All(str, vol.Match(r"^/[A-Za-z0-9._~/-]+$", "expected a path such as /lookup"))
_COUNT = vol.All(int, vol.Range(min=0, max=100_000))
_POSITIVE_NUMBER = vol.All(
    vol.Coerce(float), vol.Range(min=0, max=MAX_SHARE_OR_PRICE, min_included=False)
)
_RESERVED_PATHS = ("/v1/steps", "/healthz", "/readyz")

SECTION_SCHEMA = vol.Schema(
    {
        vol.Optional(ATTR_CUSTOMERS, default=list): [
            {
                vol.Required("name"): _NAME,
                vol.Optional("share", default=DEFAULT_SHARE): _POSITIVE_NUMBER,
            }
        ],
        vol.Optional(ATTR_KEYS, default=list): [
            {
                vol.Required("id"): _NAME,
                vol.Required("customer"): _NAME,
                vol.Required("digest"): vol.All(
                    str,
                    vol.Match(r"^[0-9a-f]{64}$", "expected a SHA-256 in lower-case hexadecimal"),
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
                    vol.Coerce(float), vol.Range(min=0, max=MAX_SHARE_OR_PRICE)
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
    """Return the canonical encoding of a section; equal sections give equal bytes."""
    return orjson.dumps(raw, option=orjson.OPT_SORT_KEYS)


def section_digest(raw: dict[str, Any]) -> str:
    """Return the SHA-256 of a section's canonical encoding, in hexadecimal."""
    return hashlib.sha256(section_bytes(raw)).hexdigest()


def parse_document(text: str, file: str) -> Result[dict[str, dict[str, Any]], list[ConfigFault]]:
    """Parse TOML into unchecked sections by owner."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure([ConfigFault(file, "", "", str(error))])
    faults = [
        ConfigFault(file, "", owner, "expected a table; each top-level key is an owner")
        for owner, section in raw.items()
        if not isinstance(section, dict)
    ]
    if not raw:
        faults.append(
            ConfigFault(file, "", "", "the document is empty; expected one table per owner")
        )
    return Failure(faults) if faults else Success(raw)


def check_document(text: str, file: str) -> Result[Document, list[ConfigFault]]:
    """Parse and check the TOML text of a document; `file` is the name shown in faults."""
    return parse_document(text, file).bind(lambda raw: check_sections(raw, 0, file))


def check_sections(
    raw_sections: dict[str, dict[str, Any]], revision: int, file: str
) -> Result[Document, list[ConfigFault]]:
    """Check every section against the schema, and the names and references in all of them."""
    sections: dict[str, Section] = {}
    faults: list[ConfigFault] = []
    for owner, raw_section in raw_sections.items():
        try:
            sections[owner] = _build_section(owner, SECTION_SCHEMA(raw_section))
        except vol.MultipleInvalid as error:
            for fault in collect_faults(error, file):
                fault.section = f"{owner}.{fault.section}".rstrip(".")
                faults.append(fault)
    faults += _check_across_sections(sections, file)
    if faults:
        return Failure(faults)
    return Success(Document(revision, sections, raw_sections))


def _build_section(owner: str, checked: dict[str, Any]) -> Section:
    return Section(
        owner=owner,
        customers=[Customer(owner=owner, **item) for item in checked[ATTR_CUSTOMERS]],
        keys=[ApiKey(**item) for item in checked[ATTR_KEYS]],
        models=[Model(owner=owner, **item) for item in checked[ATTR_MODELS]],
        services=[Service(owner=owner, **item) for item in checked[ATTR_SERVICES]],
        upstreams=[Upstream(**item) for item in checked[ATTR_UPSTREAMS]],
        routes=[Route(owner=owner, **item) for item in checked[ATTR_ROUTES]],
        spend=[SpendLimits(**item) for item in checked[ATTR_SPEND]],
        window_s=checked[ATTR_USAGE]["window_s"],
    )


def _check_across_sections(sections: dict[str, Section], file: str) -> list[ConfigFault]:
    """Check that names are unique in the whole document, and the references in each section."""
    faults: list[ConfigFault] = []
    all_sections = list(sections.values())
    faults += _check_unique(
        file, ATTR_CUSTOMERS, [(s.owner, c.name) for s in all_sections for c in s.customers]
    )
    faults += _check_unique(
        file, ATTR_KEYS, [(s.owner, k.id) for s in all_sections for k in s.keys]
    )
    faults += _check_unique(
        file, ATTR_ROUTES, [(s.owner, r.path) for s in all_sections for r in s.routes]
    )
    faults += _check_unique(
        file, ATTR_UPSTREAMS, [(s.owner, u.name) for s in all_sections for u in s.upstreams]
    )
    faults += _check_unique(
        file, "targets", [(s.owner, t.name) for s in all_sections for t in (*s.models, *s.services)]
    )
    for section in all_sections:
        faults += _check_section_references(section, file)
    return faults


def _check_section_references(section: Section, file: str) -> list[ConfigFault]:
    customers = {customer.name for customer in section.customers}
    targets = {target.name for target in (*section.models, *section.services)}
    faults: list[ConfigFault] = []

    def check_reference(attribute: str, key: str, value: str, defined_names: set[str]) -> None:
        if value not in defined_names:
            message = f"{value!r} is not defined in the section of {section.owner}"
            faults.append(ConfigFault(file, f"{section.owner}.{attribute}", key, message))

    for key in section.keys:
        check_reference(ATTR_KEYS, "customer", key.customer, customers)
    for upstream in section.upstreams:
        check_reference(ATTR_UPSTREAMS, "serves", upstream.serves, targets)
    for route in section.routes:
        check_reference(ATTR_ROUTES, "target", route.target, targets)
        if route.path.startswith(_RESERVED_PATHS):
            message = f"{route.path} is reserved for the daemon; use another path"
            faults.append(ConfigFault(file, f"{section.owner}.{ATTR_ROUTES}", "path", message))
    for spend in section.spend:
        check_reference(ATTR_SPEND, "target", spend.target, targets)
        if spend.minimum > spend.maximum:
            message = "minimum is greater than maximum"
            faults.append(ConfigFault(file, f"{section.owner}.{ATTR_SPEND}", "minimum", message))
    return faults


def _check_unique(file: str, attribute: str, names: Iterable[tuple[str, str]]) -> list[ConfigFault]:
    seen: set[str] = set()
    faults: list[ConfigFault] = []
    for owner, name in names:
        if name in seen:
            faults.append(ConfigFault(file, f"{owner}.{attribute}", name, "is defined twice"))
        seen.add(name)
    return faults
