"""Serve and call HTTP/1.1 with control of each single connection."""

from ._client import Exchange, HttpPool, HttpResponse, ResponseHead
from ._server import EdgeLimits, EdgeServer, Request, Responder

__all__ = [
    "EdgeLimits",
    "EdgeServer",
    "Exchange",
    "ResponseHead",
    "HttpPool",
    "HttpResponse",
    "Request",
    "Responder",
]
