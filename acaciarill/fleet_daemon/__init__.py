"""Assemble a daemon that serves a shared fleet over ports built by its caller."""

from ._daemon import FleetDaemon, FleetPorts, FleetSettings
from ._peers import PeerService

__all__ = ["FleetDaemon", "FleetPorts", "FleetSettings", "PeerService"]
