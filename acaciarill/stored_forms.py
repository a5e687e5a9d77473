"""Read stored records that another build of this project may have written."""

from collections.abc import Mapping
from dataclasses import fields
from typing import Any, TypeVar

T = TypeVar("T")


def build_record(record_type: type[T], value: Mapping[str, Any]) -> T:
    """Create a dataclass from its stored fields, leaving out those that a later build added.

    Raise TypeError if a field without a default is missing.
    """
    names = {item.name for item in fields(record_type)}  # type: ignore[arg-type]
    return record_type(**{name: value[name] for name in value if name in names})
