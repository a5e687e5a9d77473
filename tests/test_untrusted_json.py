"""Test decoding JSON part by part."""

import unittest

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarill.untrusted_json import (
    MAX_NESTING,
    UnreadableValueError,
    check_nesting,
    decode_value,
    require_integer,
    require_list,
    require_string,
    split_array,
    split_object,
)

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
    lambda children: st.lists(children, max_size=4) | st.dictionaries(st.text(), children),
    max_leaves=20,
)
UNREADABLE_PARTS = (
    b"[" * 5000 + b"]" * 5000,
    b"1e400",
    b"NaN",
    b"-Infinity",
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"\x01"',
    b'"\\x"',
    b"tru",
    b'{"a" 1}',
    b'{"a":"}],\\""}x',
)


class SplitTest(unittest.TestCase):
    """Split arrays and objects without decoding their parts."""

    @settings(max_examples=200, derandomize=True)
    @given(st.lists(VALUES, max_size=5), st.booleans())
    def test_split_array_has_the_elements(self, values: list[object], indented: bool) -> None:
        data = orjson.dumps(values, option=orjson.OPT_INDENT_2 if indented else None)
        self.assertEqual([orjson.loads(part) for part in split_array(data)], values)

    @settings(max_examples=200, derandomize=True)
    @given(st.dictionaries(st.text(), VALUES, max_size=5), st.booleans())
    def test_split_object_has_the_members(self, value: dict[str, object], indented: bool) -> None:
        data = orjson.dumps(value, option=orjson.OPT_INDENT_2 if indented else None)
        decoded = {name: orjson.loads(part) for name, part in split_object(data).items()}
        self.assertEqual(decoded, value)

    def test_unreadable_part_leaves_its_neighbours_readable(self) -> None:
        for part in UNREADABLE_PARTS:
            with self.subTest(part[:20]):
                self.assertEqual(split_array(b'[1, %s ,"x"]' % part), [b"1", part, b'"x"'])
                members = split_object(b'{"a":1,"b":%s,"c":[2]}' % part)
                self.assertEqual(members, {"a": b"1", "b": part, "c": b"[2]"})
                with self.assertRaises(UnreadableValueError):
                    decode_value(part)

    @settings(max_examples=300, derandomize=True)
    @given(st.binary(max_size=40) | st.text('[]{},:"\\ 1', max_size=30).map(str.encode))
    def test_any_bytes_are_split_or_raise_the_typed_error(self, data: bytes) -> None:
        for split in (split_array, split_object):
            try:
                split(data)
            except UnreadableValueError:
                continue

    def test_value_without_an_end_or_with_bytes_after_it_is_unreadable(self) -> None:
        for data in (b"", b"[1", b"[1]2", b'["a]', b"[1}", b"{}"):
            with self.subTest(data), self.assertRaises(UnreadableValueError):
                split_array(data)


class NestingTest(unittest.TestCase):
    """Limit the nesting of values."""

    def test_value_nested_too_deep_is_unreadable(self) -> None:
        def nested(depth: int) -> bytes:
            return b"[" * depth + b"]" * depth

        decode_value(nested(MAX_NESTING))
        with self.assertRaises(UnreadableValueError):
            decode_value(nested(MAX_NESTING + 1))

    @settings(max_examples=100, derandomize=True)
    @given(VALUES)
    def test_readable_values_can_be_encoded_again(self, value: object) -> None:
        check_nesting(value)
        orjson.dumps([[value]])


class RequiredTypeTest(unittest.TestCase):
    """Require types of decoded values."""

    def test_error_shows_only_the_begin_of_a_long_value(self) -> None:
        for require, value in (
            (require_integer, "x" * 10_000),
            (require_string, [1] * 10_000),
            (require_list, "x" * 10_000),
            (require_integer, -(10**300)),
        ):
            with self.assertRaises((TypeError, ValueError)) as caught:
                require(value)
            self.assertLess(len(str(caught.exception)), 200)
