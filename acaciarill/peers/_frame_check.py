"""Check the structure of an encoded message before it is decoded; pure functions.

The decoder trusts the sizes of containers, also those of fields that it skips: a frame of 200 bytes
can make it work for seconds and take gigabytes.
"""

import struct

from .const import MAX_ELEMENTS, MAX_STRUCT_DEPTH

_STOP, _STRING, _STRUCT, _MAP, _SET, _LIST = 0, 11, 12, 13, 14, 15
_FIXED_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
"""Bytes of booleans, bytes, doubles and integers by the type's number in the Thrift protocol."""
_FIELD_HEAD_BYTES = 3
_SIZE = struct.Struct("!i")


class _Checker:
    """Walk over an encoded message and count the elements of its containers."""

    __slots__ = ("data", "elements")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.elements = 0

    def skip_struct(self, position: int, depth: int) -> int:
        """Return the position after a struct."""
        if depth > MAX_STRUCT_DEPTH:
            raise ValueError("structs are nested too deep")
        data = self.data
        while (kind := data[position]) != _STOP:
            position = self.skip_value(kind, position + _FIELD_HEAD_BYTES, depth)
        return position + 1

    def skip_value(self, kind: int, position: int, depth: int) -> int:
        """Return the position after a value of some type."""
        size = _FIXED_SIZES.get(kind)
        if size is not None:
            position += size
        elif kind == _STRING:
            position += _SIZE.size + self._read_size(position)
        elif kind == _STRUCT:
            return self.skip_struct(position, depth + 1)
        elif kind in (_LIST, _SET):
            element_kind = self.data[position]
            count = self._read_size(position + 1)
            position = self._skip_elements((element_kind,), count, position + 5, depth)
        elif kind == _MAP:
            kinds = (self.data[position], self.data[position + 1])
            count = self._read_size(position + 2)
            position = self._skip_elements(kinds, count, position + 6, depth)
        else:
            raise ValueError("value of an unknown type")
        if position > len(self.data):
            raise ValueError("value is cut off")
        return position

    def _skip_elements(self, kinds: tuple[int, ...], count: int, position: int, depth: int) -> int:
        if depth > MAX_STRUCT_DEPTH:
            raise ValueError("containers are nested too deep")
        self.elements += count
        if self.elements > MAX_ELEMENTS:
            raise ValueError("containers have too many elements")
        if all(kind in _FIXED_SIZES for kind in kinds):
            return position + count * sum(_FIXED_SIZES[kind] for kind in kinds)
        for _ in range(count):
            for kind in kinds:
                position = self.skip_value(kind, position, depth + 1)
        return position

    def _read_size(self, position: int) -> int:
        size: int = _SIZE.unpack_from(self.data, position)[0]
        if size < 0:
            raise ValueError("size is negative")
        return size


def check_structure(data: bytes) -> None:
    """Raise ValueError if the bytes are not one message, or a message with too many elements."""
    try:
        end = _Checker(data).skip_struct(0, 0)
    except (IndexError, struct.error) as error:
        raise ValueError("message is cut off") from error
    if end > len(data):
        raise ValueError("message is cut off")
