"""Encode the contact ages: the time since the last contact to the store and each data centre."""

import struct
import zlib
from collections.abc import Mapping, Sequence

from ..const import DIGEST_MASK, MS_PER_S
from .const import SOURCE_STORE, UNKNOWN_AGE_MS


def data_centres_digest(data_centres: Sequence[str]) -> int:
    """Return a checksum of the list of data centres, whose order the packed ages follow."""
    return zlib.crc32("\n".join(data_centres).encode()) & DIGEST_MASK


def pack_ages(ages_s: Mapping[str, float], data_centres: Sequence[str]) -> bytes:
    """Return the ages as 16-bit milliseconds, rounded up, the store's first."""
    values = []
    for source in (SOURCE_STORE, *data_centres):
        age_s = ages_s.get(source)
        fits = age_s is not None and age_s * MS_PER_S < UNKNOWN_AGE_MS - 1
        values.append(int(age_s * MS_PER_S) + 1 if fits else UNKNOWN_AGE_MS)
    return struct.pack(f">{len(values)}H", *values)


def unpack_ages(
    packed: bytes, data_centres: Sequence[str], same_data_centres: bool
) -> dict[str, float]:
    """Return the known ages in seconds; only the store's when the data centres differ."""
    if len(packed) % 2:
        return {}
    values = struct.unpack(f">{len(packed) // 2}H", packed)
    sources = (SOURCE_STORE, *data_centres) if same_data_centres else (SOURCE_STORE,)
    return {
        source: value / MS_PER_S
        for source, value in zip(sources, values, strict=False)
        if value != UNKNOWN_AGE_MS
    }
