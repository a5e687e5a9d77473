"""Encode and decode messages in thrift's binary protocol."""

from typing import Any, TypeVar

from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from ..errors import BadRequestError, Step

T = TypeVar("T")

_FACTORY = TCyBinaryProtocolFactory()


def encode(message: Any) -> bytes:
    """Return the bytes of a message."""
    return serialize(message, _FACTORY)


def decode(kind: type[T], data: bytes) -> T:
    """Read a message; raise BadRequestError when the bytes are not one."""
    message = kind()
    try:
        deserialize(message, data, _FACTORY)
    except Exception as error:  # the codec raises many types on malformed bytes
        raise BadRequestError(
            f"malformed {kind.__name__}", step=Step.PARSE, code="bad-message"
        ) from error
    return message
