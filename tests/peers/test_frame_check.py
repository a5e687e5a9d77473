"""Test that malformed frames are rejected before they cost memory or time."""

import random
import resource
import unittest

from acaciarill.errors import BadRequestError
from acaciarill.peers import messages
from acaciarill.peers._codec import decode, encode
from acaciarill.peers._frame_check import check_structure
from acaciarill.peers.const import MAX_ELEMENTS

MB = 1024 * 1024
MAX_GROWTH_BYTES = 64 * MB
SEEDS = range(20)
FRAMES_PER_SEED = 200


def peak_bytes() -> int:
    """Return the most memory that this process has used."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class FrameCheckTest(unittest.TestCase):
    """Guard against frames whose sizes the decoder trusts.

    Found by the soak of odd clients: 200 random bytes took a daemon to 1.6 GB.
    """

    def assert_rejected(self, data: bytes) -> None:
        with self.assertRaises(BadRequestError):
            decode(messages.Frame, data)

    def test_random_frames_cost_little_memory(self) -> None:
        before = peak_bytes()
        for seed in SEEDS:
            rng = random.Random(seed)
            for _ in range(FRAMES_PER_SEED):
                data = rng.randbytes(rng.choice((3, 200, 2000)))
                try:
                    decode(messages.Frame, data)
                except BadRequestError:
                    continue
        self.assertLess(peak_bytes() - before, MAX_GROWTH_BYTES)

    def test_containers_larger_than_their_frame_are_rejected(self) -> None:
        for element_kind in (2, 8, 11, 12, 15):
            size = (2**31 - 1).to_bytes(4, "big")
            self.assert_rejected(b"\x0f\x7f\xff" + bytes([element_kind]) + size)
            self.assert_rejected(b"\x0d\x7f\xff" + bytes([element_kind, element_kind]) + size)

    def test_too_many_elements_are_rejected(self) -> None:
        count = MAX_ELEMENTS + 1
        empty_structs = b"\x0f\x7f\xff\x0c" + count.to_bytes(4, "big") + b"\x00" * count + b"\x00"
        self.assert_rejected(empty_structs)

    def test_deep_nesting_is_rejected(self) -> None:
        self.assert_rejected(b"\x0c\x7f\xff" * 100_000 + b"\x00" * 100_001)
        self.assert_rejected(b"\x0f\x7f\xff" + b"\x0f\x00\x00\x00\x01" * 100_000)

    def test_cut_and_mutated_frames_are_decoded_or_rejected(self) -> None:
        rng = random.Random(1)
        headers = [messages.Header(name=b"n", value=b"v" * 50) for _ in range(5)]
        ping = messages.Ping(daemon="d", newest={"a": 1, "b": 2}, store_reached=True)
        for frame in (
            messages.Frame(call_id=1, ping=ping),
            messages.Frame(call_id=2, relay=messages.Relay(headers=headers, body=b"x" * 100)),
        ):
            data = encode(frame)
            check_structure(data)
            self.assertEqual(decode(messages.Frame, data), frame)
            for end in range(len(data)):
                self.assert_rejected(data[:end])
            for _ in range(2000):
                mutated = bytearray(data)
                mutated[rng.randrange(len(data))] = rng.randrange(256)
                try:
                    decode(messages.Frame, bytes(mutated))
                except BadRequestError as error:
                    self.assertEqual(error.code, "bad-message")
