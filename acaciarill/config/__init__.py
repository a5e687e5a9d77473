"""Validate, merge, store and distribute the shared configuration document."""

from ._acceptance import ApplyResult, ConfigChange, ConfigHead, ConfigStore, build_document
from ._coordinator import ConfigCoordinator
from ._document import (
    check_document,
    check_sections,
    parse_document,
    section_bytes,
    section_digest,
)
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

__all__ = [
    "ApplyResult",
    "ConfigChange",
    "ConfigCoordinator",
    "ConfigStore",
    "Customer",
    "Document",
    "ConfigHead",
    "ApiKey",
    "Model",
    "Route",
    "Section",
    "Service",
    "SpendLimits",
    "Upstream",
    "build_document",
    "check_document",
    "check_sections",
    "parse_document",
    "section_bytes",
    "section_digest",
]
