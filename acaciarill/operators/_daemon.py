"""Declare what the operator endpoints use of a daemon, without importing its class."""

from typing import Protocol

from ..callers import Admission, CallersApp
from ..config import ConfigCoordinator, ConfigStore
from ..daemons import HeartbeatService, Membership
from ..duties import DutyManager
from ..object_store import ObjectStore
from ..peers import PeerLinks, PeerServer
from ..settings import Settings
from ..telemetry import Telemetry
from ..timer import TimerService
from ..trainers import SampleProducer
from ..upstreams import UpstreamClient, UpstreamCoordinator


class OperatedDaemon(Protocol):
    """Declare the parts of a daemon that operators see and change."""

    name: str
    incarnation: str
    settings: Settings
    timer: TimerService
    config: ConfigCoordinator
    config_store: ConfigStore
    store: ObjectStore
    membership: Membership
    heartbeats: HeartbeatService
    links: PeerLinks
    server: PeerServer
    telemetry: Telemetry
    duties: DutyManager
    admission: Admission
    callers: CallersApp
    sample_producer: SampleProducer
    upstreams: UpstreamCoordinator
    upstream_client: UpstreamClient
