"""Build the ports to the platform and run one process on them."""

import signal
import sys
from pathlib import Path

import anyio
from eliot import log_message

from ..errors import ConfigError
from ..fleet import ROLE_FRONT
from ..fleet_daemon import ROLE_KEEPER, FleetDaemon, FleetKinds, FleetPorts, FleetSettings
from ..logs import add_log_output
from ..mirrors import Record
from ._decode import (
    EventReader,
    decode_configuration,
    decode_named_versions,
    decode_submission,
    decode_upstream,
)
from ._duties import DutyCalls
from ._front import Front
from ._headers import CODEC
from ._settings import PlatformSettings, load_settings, settings_path
from ._store import PlatformStore
from .const import (
    KIND_CONFIG,
    KIND_RETIREMENTS,
    KIND_SERVERS,
    KIND_VERSIONS,
    STATE_COMPLETED,
)

STANDARD_OUTPUT = 1
EXIT_BAD_SETTINGS = 2
SETTINGS_PERIOD_S = 2.0
"""How often the settings file is compared; only the seeds may change, and they are hints."""


def build_ports(settings: PlatformSettings) -> FleetPorts:
    """Return the translations to the platform that the settings describe."""

    def request_handler(daemon: FleetDaemon) -> Front:
        return Front(
            lambda: daemon.configuration,
            daemon.forwarder,
            daemon.book,
            daemon.clock,
            daemon.metrics.observe_request,
        ).serve

    def duty_calls(daemon: FleetDaemon) -> DutyCalls:
        return DutyCalls(settings.host, settings.duty_api, daemon.pool, daemon.holds_duty)

    def is_retired(record: Record) -> bool:
        return (record.status or {}).get("state") == STATE_COMPLETED

    return FleetPorts(
        kinds=FleetKinds(KIND_CONFIG, KIND_SERVERS, KIND_VERSIONS, KIND_RETIREMENTS),
        store=PlatformStore,
        codec=CODEC,
        decode_configuration=decode_configuration,
        decode_upstream=decode_upstream,
        decode_versions=decode_named_versions,
        decode_submission=decode_submission,
        event_reader=EventReader,
        request_handler=request_handler,
        duty_calls=duty_calls,
        is_retired=is_retired,
        retirement_status={"state": STATE_COMPLETED},
    )


def fleet_settings(settings: PlatformSettings) -> FleetSettings:
    """Return the product's settings of this process."""
    return FleetSettings(
        host=settings.host,
        data_centre=settings.data_centre,
        role=ROLE_FRONT if settings.serves_callers else ROLE_KEEPER,
        callers=settings.callers,
        readiness=settings.readiness,
        peers=settings.peers,
        seeds=settings.seeds,
        store=settings.store,
        drain_s=settings.drain_s,
        usage_window_s=settings.usage_window_s,
        metrics_address=settings.metrics,
    )


async def follow_settings(daemon: FleetDaemon, path: Path) -> None:
    """Take the settings that may change while a process runs, with or without a signal."""
    known = path.read_bytes()
    while True:
        await anyio.sleep(SETTINGS_PERIOD_S)
        try:
            found = path.read_bytes()
            if found == known:
                continue
            known = found
            settings = load_settings(path)
        except (OSError, ConfigError) as error:
            log_message(message_type="daemon:reload_failed", reason=str(error))
            continue
        daemon.peers.seeds = settings.seeds
        log_message(message_type="daemon:reloaded", seeds=settings.seeds)


async def run_process(settings: PlatformSettings) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = anyio.Event()

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for received in signals:
                log_message(message_type="daemon:signal", signal=int(received))
                if received != signal.SIGHUP:
                    stop.set()

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(watch_signals)
        daemon = FleetDaemon(fleet_settings(settings), build_ports(settings), task_group)
        task_group.start_soon(follow_settings, daemon, settings_path())
        await daemon.run(stop)
        task_group.cancel_scope.cancel()


def main() -> None:
    """Run one process as its settings file says."""
    add_log_output(STANDARD_OUTPUT)
    try:
        settings = load_settings(settings_path())
    except ConfigError as error:
        log_message(message_type="daemon:bad_settings", reason=str(error))
        sys.exit(EXIT_BAD_SETTINGS)
    anyio.run(run_process, settings)
