"""Serve and call HTTP/1.1 with control of each single connection."""

from ._client import Exchange, Head, HttpPool, Reply
from ._server import EdgeLimits, EdgeServer, Request, Responder

__all__ = [
    "EdgeLimits",
    "EdgeServer",
    "Exchange",
    "Head",
    "HttpPool",
    "Reply",
    "Request",
    "Responder",
]
