"""Serve and call HTTP/1.1 with control of each single connection."""

from ._client import Exchange, HttpPool, Reply, ResponseHead
from ._server import EdgeLimits, EdgeServer, Request, Responder

__all__ = [
    "EdgeLimits",
    "EdgeServer",
    "Exchange",
    "ResponseHead",
    "HttpPool",
    "Reply",
    "Request",
    "Responder",
]
