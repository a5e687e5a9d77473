"""Assemble a daemon that serves a shared fleet over ports built by its caller."""

from ._daemon import ROLE_KEEPER, FleetDaemon, FleetKinds, FleetPorts, FleetSettings
from ._peers import PeerService

__all__ = [
    "ROLE_KEEPER",
    "FleetDaemon",
    "FleetKinds",
    "FleetPorts",
    "FleetSettings",
    "PeerService",
]
