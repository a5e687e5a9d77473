"""Run a daemon that serves a shared fleet, over ports to its platform."""

from ._daemon import FleetDaemon
from ._peers import PeerService
from ._ports import FleetKinds, FleetPorts, FleetSettings
from .const import DEFAULT_MAX_OBJECT_BYTES, DEFAULT_MEMORY_BYTES, ROLE_KEEPER

__all__ = [
    "DEFAULT_MAX_OBJECT_BYTES",
    "DEFAULT_MEMORY_BYTES",
    "ROLE_KEEPER",
    "FleetDaemon",
    "FleetKinds",
    "FleetPorts",
    "FleetSettings",
    "PeerService",
]
