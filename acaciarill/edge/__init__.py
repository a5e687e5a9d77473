"""Provide an HTTP/1.1 server and client that control each connection themselves."""

from ._checks import check_event_size, check_request, is_final_status
from ._client import (
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    Exchange,
    HttpPool,
)
from ._requests import EdgeLimits, Request
from ._responder import Responder
from ._responses import BodyReader, HttpResponse, ResponseBuffers, ResponseHead
from ._server import EdgeServer

__all__ = [
    "BodyReader",
    "CONNECTION_LOST",
    "CONNECTION_REFUSED",
    "EdgeLimits",
    "EdgeServer",
    "Exchange",
    "ResponseBuffers",
    "ResponseHead",
    "HttpPool",
    "HttpResponse",
    "Request",
    "Responder",
    "check_event_size",
    "check_request",
    "is_final_status",
]
