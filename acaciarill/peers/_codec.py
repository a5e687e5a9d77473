"""Encode and decode messages in the Thrift binary protocol."""

from typing import Any, TypeVar

from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from ..errors import BadRequestError, Step
from ._frame_check import check_structure

T = TypeVar("T")

_PROTOCOL_FACTORY = TCyBinaryProtocolFactory()


def encode(message: Any) -> bytes:
    """Return a message in its binary encoding."""
    return serialize(message, _PROTOCOL_FACTORY)


def decode(message_type: type[T], data: bytes) -> T:
    """Return the message that the bytes encode; raise BadRequestError if they are malformed."""
    message = message_type()
    try:
        check_structure(data)
        deserialize(message, data, _PROTOCOL_FACTORY)
    except Exception as error:  # thriftpy2 raises errors of many types for malformed bytes
        raise BadRequestError(
            f"malformed {message_type.__name__}", step=Step.PARSE, code="bad-message"
        ) from error
    return message
