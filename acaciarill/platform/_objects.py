"""Decode the store's objects, listings and changes, each object by itself."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
from eliot import log_message

from ..mirrors import DECODE_ERRORS, Change, Record
from ..untrusted_json import (
    UnreadableValueError,
    check_nesting,
    decode_value,
    require_string,
    split_array,
    split_object,
)


@dataclass(slots=True)
class Listing:
    """Hold one page of objects and the store's revision; unreadable objects have a fault."""

    position: int
    records: list[Record]
    has_more: bool


def decode_listing(body: bytes) -> Listing:
    """Decode one page of a listing; raise one of DECODE_ERRORS if the page itself is malformed."""
    page, items = _split_page(body, "items")
    records = _decode_each(items, decode_object)
    has_more = bool(page.get("has_more")) and bool(items)
    if has_more and not records:
        raise ValueError("no object of the page has a readable name")
    return Listing(int(page["current_rev"]), records, has_more)


def decode_changes(body: bytes) -> tuple[int, list[Change]]:
    """Decode the response to a watch; raise one of DECODE_ERRORS if it is malformed."""
    page, events = _split_page(body, "events")
    return int(page["current_rev"]), _decode_each(events, _decode_change)


def decode_object(data: Any) -> Record:
    """Decode one object, encoded or already a dict; what of it is unreadable is its fault.

    Raise one of DECODE_ERRORS if the object cannot even be identified.
    """
    members = _read_members(data)
    metadata = _read_member(members, "metadata")
    record = Record(require_string(metadata["name"]), int(metadata["rev"]), None)
    try:
        record.value = _read_member(members, "spec")
        record.status = _read_member(members, "status")
    except UnreadableValueError as error:
        record.value = record.status = None
        record.fault = str(error)
    return record


def _decode_change(data: Any) -> Change:
    members = _read_members(data)
    return Change(decode_object(members["object"]), bool(_read_member(members, "deleted")))


def _read_members(data: Any) -> dict[str, Any]:
    """Return the members of an object, still encoded if one of them is unreadable."""
    if not isinstance(data, bytes):
        return data
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        return dict(split_object(data))


def _split_page(body: bytes, list_name: str) -> tuple[dict[str, Any], list[Any]]:
    """Return the members of a page and the entries of its list, encoded if one is unreadable."""
    try:
        page = orjson.loads(body)
        return page, list(page[list_name])
    except orjson.JSONDecodeError:
        members = split_object(body)
        entries = split_array(members.pop(list_name))
        return {name: decode_value(part) for name, part in members.items()}, list(entries)


def _decode_each(entries: list[Any], decode: Callable[[Any], Any]) -> list[Any]:
    """Decode the entries; log and leave out those whose object cannot even be identified."""
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode(entry))
        except DECODE_ERRORS as error:
            log_message(message_type="store:object_unreadable", reason=repr(error)[:200])
    return decoded


def _read_member(members: dict[str, Any], name: str) -> Any:
    """Return a member, decoded if it is not yet, or None if it is missing."""
    value = members.get(name)
    if isinstance(value, bytes):
        return decode_value(value)
    check_nesting(value)
    return value
