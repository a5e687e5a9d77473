"""Decode JSON from outside, part by part where the whole cannot be decoded."""

import re
from typing import Any

import orjson

MAX_NESTING = 100
"""Values that are nested deeper could be decoded here, but not encoded again for a peer."""

MAX_SHOWN_CHARACTERS = 80
MAX_INTEGER = 2**63 - 1
"""Limit of integers, which are sent to peers as 64-bit ones."""

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|["\[\]{},:]', re.DOTALL)
_CLOSING = {b"[": b"]", b"{": b"}"}


class UnreadableValueError(ValueError):
    """Report a value that is not valid JSON or is nested too deep."""


def decode_value(data: bytes) -> Any:
    """Decode a JSON value; raise UnreadableValueError."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise UnreadableValueError(str(error)) from error
    check_nesting(value)
    return value


def check_nesting(value: Any) -> None:
    """Raise UnreadableValueError if a decoded value is nested deeper than MAX_NESTING."""
    depth = 0
    level = [value] if isinstance(value, (dict, list)) else []
    while level:
        depth += 1
        if depth > MAX_NESTING:
            raise UnreadableValueError(f"value is nested deeper than {MAX_NESTING} levels")
        level = [
            child
            for parent in level
            for child in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(child, (dict, list))
        ]


def split_array(data: bytes) -> list[bytes]:
    """Return the encoded elements of an array without decoding them."""
    return [part for _, part in _split(data, b"[")]


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the encoded members of an object without decoding them."""
    return {decode_value(name): part for name, part in _split(data, b"{")}


def _split(data: bytes, opening: bytes) -> list[tuple[bytes, bytes]]:
    """Return the top-level parts of an array or object with their names, if they have any.

    Only quotes and brackets are read, so the nesting of a part is not limited.
    """
    data = data.strip()
    if not data.startswith(opening):
        raise UnreadableValueError(f"expected a value that begins with {opening.decode()}")
    parts: list[tuple[bytes, bytes]] = []
    open_brackets: list[bytes] = []
    name = b""
    begin = 1
    for token in _TOKEN.finditer(data):
        text = token[0]
        if text == b'"':
            raise UnreadableValueError("a string has no end")
        if text in _CLOSING:
            open_brackets.append(_CLOSING[text])
        elif text in (b"]", b"}"):
            if not open_brackets or open_brackets.pop() != text:
                raise UnreadableValueError("brackets do not match")
        elif len(open_brackets) != 1:
            continue
        if len(open_brackets) == 1 and text == b":" and not name:
            name, begin = data[begin : token.start()].strip(), token.end()
        elif not open_brackets or (len(open_brackets) == 1 and text == b","):
            part = data[begin : token.start()].strip()
            if part:
                parts.append((name, part))
            name, begin = b"", token.end()
        if not open_brackets:
            if token.end() != len(data):
                raise UnreadableValueError("bytes follow the end of the value")
            return parts
    raise UnreadableValueError("a bracket has no end")


def require_string(value: Any) -> str:
    """Return a string; raise TypeError if the value is none."""
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {_shorten(value)}")
    return value


def require_integer(value: Any) -> int:
    """Return an integer from 0 to MAX_INTEGER; raise TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected an integer, got {_shorten(value)}")
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"expected an integer from 0 to {MAX_INTEGER}, got {_shorten(value)}")
    return value


def require_boolean(value: Any) -> bool:
    """Return a truth value; raise TypeError if the value is none."""
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, got {_shorten(value)}")
    return value


def require_list(value: Any) -> list[Any]:
    """Return a list; raise TypeError if the value is none."""
    if not isinstance(value, list):
        raise TypeError(f"expected a list, got {_shorten(value)}")
    return value


def require_object(value: Any) -> dict[str, Any]:
    """Return an object; raise TypeError if the value is none."""
    if not isinstance(value, dict):
        raise TypeError(f"expected an object, got {_shorten(value)}")
    return value


def _shorten(value: Any) -> str:
    """Return the begin of a value's text, for error messages."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."
