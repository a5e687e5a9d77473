"""Split what is sent into pieces."""

from collections.abc import Iterator

from .const import READ_CHUNK_BYTES


def split_bytes(data: bytes) -> Iterator[bytes | memoryview]:
    """Yield pieces of at most READ_CHUNK_BYTES without a copy.

    A transport copies what the socket does not take at once.
    """
    if len(data) <= READ_CHUNK_BYTES:
        yield data
        return
    view = memoryview(data)
    for start in range(0, len(data), READ_CHUNK_BYTES):
        yield view[start : start + READ_CHUNK_BYTES]
